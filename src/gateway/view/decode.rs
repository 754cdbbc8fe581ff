//! Decodes the leader's messages into domain types. An unreadable record is dropped with a log
//! line, since one bad record must not stop the rest of a view from being applied.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    domain::{
        GatewayEntry, Incarnation, Instance, InstanceState, MachineClass, Purchase, Revision,
        Share, View, ViewVersion,
    },
    wire::{GatewayRecord, InstanceRecord, ShareRecord, ViewReply},
};

/// Applies a reply to the held view. Returns `None` if the reply is not newer or its intent is
/// unreadable.
pub(super) fn apply_reply(current: &View, reply: &ViewReply) -> Option<View> {
    let version = ViewVersion {
        index: reply.index,
        term: reply.term,
        sequence: reply.sequence,
    };
    if version <= current.version {
        return None;
    }
    let intent = match reply.intent.is_empty() {
        true => Arc::clone(&current.intent),
        false => Arc::new(
            serde_json::from_slice(&reply.intent)
                .inspect_err(|e| log::error!("gateway: cannot decode the leader's intent: {e}."))
                .ok()?,
        ),
    };
    let gateways = match reply.gateways_changed {
        true => reply.gateways.iter().filter_map(gateway_entry).collect(),
        false => current.gateways.clone(),
    };
    Some(View {
        version,
        revision: Revision(reply.revision),
        intent,
        instances: merge_instances(current, reply),
        gateways,
        shares: current.shares.clone(),
        shares_version: current.shares_version,
    })
}

fn merge_instances(current: &View, reply: &ViewReply) -> Vec<Arc<Instance>> {
    let changed: Vec<Arc<Instance>> = reply.instances.iter().filter_map(decode_instance).collect();
    let kept = current
        .instances
        .iter()
        .filter(|_| !reply.instances_complete)
        .filter(|old| !changed.iter().any(|new| new.name == old.name))
        .cloned();
    let mut all: Vec<_> = kept
        .chain(changed.iter().cloned())
        .filter(|instance| instance.state != InstanceState::Gone)
        .collect();
    for instance in &mut all {
        keep_leaving(current, instance);
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

/// A leaving incarnation never becomes live again, even if a delayed list shows it as live.
fn keep_leaving(current: &View, instance: &mut Arc<Instance>) {
    let was_leaving = current.instances.iter().any(|old| {
        old.name == instance.name
            && old.incarnation == instance.incarnation
            && old.state == InstanceState::Leaving
    });
    if was_leaving && instance.state == InstanceState::Live {
        Arc::make_mut(instance).state = InstanceState::Leaving;
    }
}

fn decode_instance(record: &InstanceRecord) -> Option<Arc<Instance>> {
    let state = match record.state {
        0 => InstanceState::Live,
        1 => InstanceState::Leaving,
        _ => InstanceState::Gone,
    };
    let purchase = match record.reclaimable {
        true => Purchase::Reclaimable,
        false => Purchase::OnDemand,
    };
    Some(Arc::new(Instance {
        name: record.name.as_str().into(),
        incarnation: Incarnation(record.incarnation),
        service: record.service.as_str().into(),
        zone: record.zone.as_str().into(),
        class: MachineClass(record.class.as_str().into()),
        purchase,
        address: parse_address(&record.name, &record.address)?,
        state,
    }))
}

fn gateway_entry(record: &GatewayRecord) -> Option<GatewayEntry> {
    Some(GatewayEntry {
        name: record.name.as_str().into(),
        incarnation: Incarnation(record.incarnation),
        zone: record.zone.as_str().into(),
        caller_address: parse_address(&record.name, &record.caller_address)?,
        peer_address: parse_address(&record.name, &record.peer_address)?,
        leaving: record.leaving,
    })
}

/// Decodes the shares of a lease.
pub(super) fn decode_shares(records: &[ShareRecord]) -> Vec<Share> {
    records
        .iter()
        .map(|record| Share {
            service: record.service.as_str().into(),
            account: record.account.as_str().into(),
            slots: record.slots,
        })
        .collect()
}

fn parse_address(name: &str, text: &str) -> Option<SocketAddr> {
    text.parse()
        .inspect_err(|_| log::error!("gateway: cannot parse the address {text:?} of {name}."))
        .ok()
}
