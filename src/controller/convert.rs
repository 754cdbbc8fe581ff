//! Converts records of the state into the domain types that operators and policies use.

use crate::{
    domain::{Incarnation, Instance, InstanceState, MachineClass, Purchase},
    state::{GONE, Instances, LEAVING},
    wire::InstanceRecord,
};

/// Converts the instances that are not gone.
pub fn present_instances(instances: &Instances) -> Vec<Instance> {
    instances.present().filter_map(instance).collect()
}

/// Converts a record; returns `None` if its address cannot be parsed.
pub fn instance(record: &InstanceRecord) -> Option<Instance> {
    Some(Instance {
        name: record.name.as_str().into(),
        incarnation: Incarnation(record.incarnation),
        service: record.service.as_str().into(),
        zone: record.zone.as_str().into(),
        class: MachineClass(record.class.as_str().into()),
        purchase: match record.reclaimable {
            true => Purchase::Reclaimable,
            false => Purchase::OnDemand,
        },
        address: record.address.parse().ok()?,
        state: match record.state {
            GONE => InstanceState::Gone,
            LEAVING => InstanceState::Leaving,
            _ => InstanceState::Live,
        },
    })
}
