//! Divides the capacity of services among gateways by their demand, as messages to the gateways.

use std::collections::BTreeMap;

use super::fleet::Fleet;
use crate::{
    domain::Intent,
    policy::allocate::{self, Capacity, DemandRow},
    state::{Instances, LIVE},
    wire::{Demand, ShareRecord},
};

/// Divides the capacity of every service among the registered gateways. A share grows only into
/// capacity that no gateway may still use.
pub fn divide_capacity(
    intent: &Intent,
    instances: &Instances,
    fleet: &Fleet,
) -> BTreeMap<String, Vec<ShareRecord>> {
    let rows = demand_rows(intent, fleet);
    let mut shares: BTreeMap<String, Vec<ShareRecord>> = fleet
        .gateways()
        .map(|gateway| (gateway.record.name.clone(), Vec::new()))
        .collect();
    let capacities = capacities(intent, instances);
    let wanted = allocate::shares(&rows, &capacities);
    for share in allocate::limit_growth(wanted, &fleet.outstanding_shares(), &capacities) {
        let record = ShareRecord {
            service: share.service.to_string(),
            account: share.account.to_string(),
            slots: share.slots,
        };
        if let Some(list) = shares.get_mut(share.gateway.as_str()) {
            list.push(record);
        }
    }
    shares
}

fn capacities(intent: &Intent, instances: &Instances) -> Vec<Capacity> {
    let mut live = BTreeMap::<&str, u32>::new();
    for record in instances.present().filter(|record| record.state == LIVE) {
        *live.entry(&record.service).or_default() += 1;
    }
    intent
        .services
        .iter()
        .map(|service| Capacity {
            service: service.name.clone(),
            slots: service.slots_per_instance
                * live.get(service.name.as_str()).copied().unwrap_or_default(),
        })
        .collect()
}

fn demand_rows(intent: &Intent, fleet: &Fleet) -> Vec<DemandRow> {
    let mut rows = Vec::new();
    // A leaving gateway accepts no new work, so its share goes to the others.
    for gateway in fleet.gateways().filter(|gateway| !gateway.record.leaving) {
        let demand: BTreeMap<_, _> = gateway
            .demand
            .iter()
            .map(|demand| ((demand.service.as_str(), demand.account.as_str()), demand))
            .collect();
        for service in &intent.services {
            for account in &intent.accounts {
                let key = (service.name.as_str(), account.name.as_str());
                let (running, waiting) = demand.get(&key).map_or((0, 0), |d| demand_counts(d));
                let tier = intent.tiers.iter().find(|tier| tier.name == account.tier);
                rows.push(DemandRow {
                    gateway: gateway.record.name.as_str().into(),
                    service: service.name.clone(),
                    account: account.name.clone(),
                    paying: tier.is_some_and(|tier| tier.paying),
                    weight: account.weight,
                    running,
                    waiting,
                });
            }
        }
    }
    rows
}

fn demand_counts(demand: &Demand) -> (u32, u32) {
    (demand.running, demand.waiting)
}
