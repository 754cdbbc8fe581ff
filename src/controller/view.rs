//! Incremental updates of the view: what a gateway lacks of the state and of the list of gateways.

use std::time::Duration;

use bytes::Bytes;

use super::fleet::Fleet;
use crate::{
    state::State,
    wire::{GatewayRecord, ViewReply, ViewRequest},
};

/// Returns what changed since the view that a gateway holds, or `None` if nothing did.
pub fn difference(
    state: &State,
    fleet: &Fleet,
    now: Duration,
    held: &ViewRequest,
) -> Option<ViewReply> {
    let index = state.view_index();
    let first = held.held_term == 0;
    if first && fleet.gateways().next().is_none() {
        // The requester's own heartbeat has not arrived yet. An empty list has sequence zero, like a
        // list of an earlier leader, so the next list would be withheld for one lease duration.
        return None;
    }
    let gateways = gateway_list(fleet, now, held);
    if index <= held.held_index && gateways.is_none() && !first {
        return None;
    }
    let configuration = state.configuration();
    let intent = match configuration.index() > held.held_index || first {
        true => configuration.json().clone(),
        false => Bytes::new(),
    };
    let changed = match first {
        true => None,
        false => state.instances().changed_after(held.held_index),
    };
    let instances_complete = changed.is_none();
    let whole = || state.instances().present().cloned().collect();
    Some(ViewReply {
        index,
        term: fleet.term(),
        sequence: sent_sequence(fleet, held, gateways.is_some()),
        revision: configuration.revision(),
        intent,
        instances: changed.unwrap_or_else(whole),
        instances_complete,
        gateways_changed: gateways.is_some(),
        gateways: gateways.unwrap_or_default(),
    })
}

/// Returns the list of gateways if the requester's is outdated. A new leader does not know all
/// gateways yet, so a gateway with a list of an earlier leader keeps it until the new one is
/// complete; otherwise gateways would vanish from the list and come back.
fn gateway_list(fleet: &Fleet, now: Duration, held: &ViewRequest) -> Option<Vec<GatewayRecord>> {
    let same_term = held.held_term == fleet.term();
    if same_term && held.held_sequence == fleet.sequence() {
        return None;
    }
    let listed = same_term && held.held_sequence > 0;
    if held.held_term != 0 && !listed && !fleet.is_complete(now) {
        return None;
    }
    Some(
        fleet
            .gateways()
            .map(|gateway| gateway.record.clone())
            .collect(),
    )
}

/// Returns the sequence of the list that the gateway holds after this reply. Zero stands for a list
/// of an earlier leader, so that the new list is sent once it is complete.
fn sent_sequence(fleet: &Fleet, held: &ViewRequest, list_sent: bool) -> u64 {
    match (list_sent, held.held_term == fleet.term()) {
        (true, _) => fleet.sequence(),
        (false, true) => held.held_sequence,
        (false, false) => 0,
    }
}
