//! `GET /v1/addresses`: which gateways a caller should connect to, in which order.

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

/// Addresses in one answer; more would not help a caller.
const MAX_ADDRESSES: usize = 16;

#[serde_as]
#[derive(Serialize)]
struct Addresses<'a> {
    addresses: Vec<Address<'a>>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttl_ms")]
    ttl: Duration,
}

/// Answers with the addresses; a gateway without a lease may do so too, from its last view.
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

/// Tells callers apart, so that they spread over the gateways; one without a token gets any order.
fn caller_key(head: &RequestHead) -> Vec<u8> {
    match head.token_hash() {
        Some(hash) => [hash.as_slice(), &random::<[u8; 2]>()].concat(),
        None => random::<[u8; 16]>().to_vec(),
    }
}

/// Orders by rendezvous with the caller; the second address is in another availability zone than the
/// first, so that the loss of a zone leaves the caller one that works.
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
