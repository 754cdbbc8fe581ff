//! `GET /v1/addresses`: the gateways that a caller should connect to, in order of preference.

use rand::random;
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;
use warp::reply::Response;

use super::{
    error::{self, Address},
    routes::RequestHead,
};
use crate::{
    domain::{GatewayEntry, Refusal, RefusalKind},
    gateway::{core::Gateway, journal::rendezvous_hash},
    ports::{Clock, Upstreams},
};

/// Addresses in one response; more would not help a caller.
const MAX_ADDRESSES: usize = 16;

#[serde_as]
#[derive(Serialize)]
struct Addresses<'a> {
    addresses: Vec<Address<'a>>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttl_ms")]
    ttl: Duration,
}

/// Returns the addresses. A gateway without a lease may serve them too, from its last view.
pub(super) fn list_addresses<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
) -> Result<Response, Refusal> {
    let snapshot = gateway.snapshot.load();
    let leaving = gateway.leaving.is_cancelled();
    let is_self = |entry: &GatewayEntry| entry.name.as_str() == &*gateway.identity.name;
    let entries = snapshot
        .view
        .gateways
        .iter()
        .filter(|entry| !entry.leaving)
        .filter(|entry| !leaving || !is_self(entry));
    let ordered = order_for_caller(entries, &caller_key(head));
    if ordered.is_empty() {
        return Err(Refusal::not_run(
            RefusalKind::NoLease,
            "this gateway has no view of the others yet; ask another one",
        )
        .retry_after(Duration::from_secs(1)));
    }
    Ok(error::json_response(&Addresses {
        addresses: ordered.into_iter().map(Address::from).collect(),
        ttl: gateway.settings.timing.address_ttl,
    }))
}

/// Returns a hash key for the caller, so that callers spread over the gateways. A caller without a
/// token gets a random order.
fn caller_key(head: &RequestHead) -> Vec<u8> {
    match head.token_hash() {
        Some(hash) => [hash.as_slice(), &random::<[u8; 2]>()].concat(),
        None => random::<[u8; 16]>().to_vec(),
    }
}

/// Orders the gateways by rendezvous hashing with the caller's key. The second address is in another
/// availability zone than the first, so that one of the two survives the loss of a zone.
fn order_for_caller<'a>(
    entries: impl Iterator<Item = &'a GatewayEntry>,
    caller_key: &[u8],
) -> Vec<&'a GatewayEntry> {
    let mut ordered: Vec<_> = entries.collect();
    ordered.sort_by_key(|entry| rendezvous_hash(caller_key, entry));
    let other_zone = ordered
        .iter()
        .position(|entry| entry.zone != ordered[0].zone);
    if let Some(index) = other_zone {
        ordered[1..=index].rotate_right(1);
    }
    ordered.truncate(MAX_ADDRESSES);
    ordered
}
