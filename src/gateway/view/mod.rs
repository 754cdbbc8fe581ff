//! Keeps the gateway's view and lease up to date. See docs/DESIGN.md, "Configuration".

mod account;
mod decode;
mod keeper;
mod leader;
mod lease;
mod service;
mod snapshot;
mod upstream;

pub(crate) use account::{AccountEntry, decode_hex};
pub(crate) use keeper::{Addresses, Keeper};
pub(crate) use leader::Leader;
pub(crate) use lease::Lease;
pub(crate) use service::{Member, ServiceEntry};
pub(crate) use snapshot::Snapshot;
pub(crate) use upstream::{CacheBelief, InProgress, LoadReport};
