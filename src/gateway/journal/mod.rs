//! Accepted requests: those in progress here, the answers given a short while ago, and the copies
//! kept for other gateways. See docs/DESIGN.md, "Accepted requests".

mod backup;
mod entries;
mod handler;
mod held;
mod peers;
mod store;

pub(crate) use backup::Backup;
pub(crate) use handler::PeerHandler;
pub(crate) use held::{Held, resume};
pub(crate) use peers::{Peers, rendezvous};
pub(crate) use store::{Bounds, Found, Journal, Running};
