//! What gateways are sent of the state and of each other: the difference to what they hold.

use std::time::Duration;

use bytes::Bytes;

use super::fleet::Fleet;
use crate::{
    state::State,
    wire::{GatewayRecord, ViewReply, ViewRequest},
};

/// Returns what changed after the view that a gateway holds, or nothing if nothing did.
pub fn difference(
    state: &State,
    fleet: &Fleet,
    now: Duration,
    held: &ViewRequest,
) -> Option<ViewReply> {
    let index = state.view_index();
    let first = held.held_term == 0;
    if first && fleet.members().next().is_none() {
        // The asker's own heartbeat is on its way. A list without anyone would be taken for one of
        // an earlier leader, and the next one withheld for a lease.
        return None;
    }
    let gateways = gateways(fleet, now, held);
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
    let instances_whole = changed.is_none();
    let whole = || state.instances().present().cloned().collect();
    Some(ViewReply {
        index,
        term: fleet.term(),
        sequence: sequence(fleet, held, gateways.is_some()),
        revision: configuration.revision(),
        intent,
        instances: changed.unwrap_or_else(whole),
        instances_whole,
        gateways_changed: gateways.is_some(),
        gateways: gateways.unwrap_or_default(),
    })
}

/// A new leader does not know all gateways yet; a gateway with a list of an earlier leader keeps it
/// until the new one is complete, so that addresses do not flicker.
fn gateways(fleet: &Fleet, now: Duration, held: &ViewRequest) -> Option<Vec<GatewayRecord>> {
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
            .members()
            .map(|member| member.record.clone())
            .collect(),
    )
}

/// Zero stands for a list of an earlier leader, so that the new one is sent when it is complete.
fn sequence(fleet: &Fleet, held: &ViewRequest, list_sent: bool) -> u64 {
    match (list_sent, held.held_term == fleet.term()) {
        (true, _) => fleet.sequence(),
        (false, true) => held.held_sequence,
        (false, false) => 0,
    }
}
