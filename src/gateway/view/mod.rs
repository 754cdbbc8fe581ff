//! Keeps the gateway's view and lease up to date. See docs/DESIGN.md, "Views and leases".

mod decode;
mod keeper;
mod leader;
mod lease;
mod snapshot;
mod upstream;

pub(crate) use keeper::{Addresses, Keeper};
pub(crate) use leader::Leader;
pub(crate) use lease::Lease;
pub(crate) use snapshot::{AccountEntry, Member, ServiceEntry, Snapshot, decode_hex};
pub(crate) use upstream::{CacheBelief, InProgress, LoadReport};
