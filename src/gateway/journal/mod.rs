//! Journal of accepted requests: those in progress here, recent answers, and the copies kept for
//! other gateways. See docs/DESIGN.md, "Accepted requests".

mod backup;
mod entries;
mod handler;
mod peers;
mod request_copy;
mod store;

pub(crate) use backup::Backup;
pub(crate) use handler::PeerHandler;
pub(crate) use peers::{Peers, rendezvous_hash};
pub(crate) use request_copy::{RequestCopy, resume};
pub(crate) use store::{CopyLimits, FoundRequest, Journal, RunningRequest};
