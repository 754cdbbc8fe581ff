//! Keeps the gateway's view and lease up to date. See docs/DESIGN.md, "Configuration".

mod account;
mod decode;
mod leader_client;
mod lease;
mod service;
mod snapshot;
mod updater;
mod upstream;

pub(crate) use account::{AccountEntry, decode_hex};
pub(crate) use leader_client::LeaderClient;
pub(crate) use lease::Lease;
pub(crate) use service::{Member, ServiceEntry};
pub(crate) use snapshot::Snapshot;
pub(crate) use updater::{Addresses, ViewUpdater};
pub(crate) use upstream::{CachedPrefixes, InProgress, LoadReport};
