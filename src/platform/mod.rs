//! The adapter of the users' platform: translates the names, formats and calls of its documentation into
//! the types of this crate. Nothing here makes decisions, retries or waits; see docs/PLATFORM.md.

mod api;
mod control;
mod directory;
mod headers;
mod list;
mod table;

pub use api::Api;
pub use control::serve_control;
pub use directory::{serve_directory, serve_ready};
pub use list::read_page;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FLAMINGOCROFT_SETTINGS";
