//! Decides what to start, drain and stop, as a pure function of the intent and of what runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    domain::{
        Incarnation, Instance, InstanceName, InstanceState, Intent, MachineClass, Money, Price,
        Purchase, ServiceName, ZoneName,
    },
    policy::place::{self, Placement, RefusedStart},
    state::{StartOrder, StartRecord},
};

/// Most orders of one round; the next round sees what they did.
const MOST_STARTS: usize = 8;

type Kind = (ServiceName, ZoneName, MachineClass, Purchase);

/// What runs, and what was ordered and is not listed yet.
#[derive(Clone, Debug, Default)]
pub struct Running {
    /// The listed instances.
    pub instances: Vec<Instance>,
    /// The open orders.
    pub ordered: Vec<StartRecord>,
}

/// What to do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Instances to order.
    pub starts: Vec<StartOrder>,
    /// Instances that are not wanted any more. They are drained if this stays so.
    pub surplus: Vec<(InstanceName, Incarnation)>,
}

/// Compares what runs with what the confirmed intent wants.
pub fn steps(intent: &Intent, running: &Running, refused: &[RefusedStart]) -> Steps {
    let live: Vec<Instance> = running
        .instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live)
        .cloned()
        .chain(running.ordered.iter().filter_map(expected))
        .collect();
    let wanted = place::plan_without(intent, &live, refused).wanted;
    let mut have = BTreeMap::<Kind, u32>::new();
    for instance in &live {
        *have.entry(kind(instance)).or_default() += 1;
    }
    let missing: Vec<_> = wanted
        .iter()
        .map(|row| (row, row.count.saturating_sub(count(&have, &row_kind(row)))))
        .filter(|(_, count)| *count > 0)
        .collect();
    Steps {
        starts: starts(intent, running, &missing),
        surplus: surplus(intent, running, &wanted, &missing),
    }
}

/// The orders that fit into the confirmed limits; leaving instances count until they are gone.
fn starts(intent: &Intent, running: &Running, missing: &[(&Placement, u32)]) -> Vec<StartOrder> {
    let expected = running.ordered.iter().filter_map(expected);
    let present: Vec<Instance> = running.instances.iter().cloned().chain(expected).collect();
    let room = (intent.limits.max_instances as usize).saturating_sub(present.len());
    let mut cost: Money = present.iter().map(|i| price_of(intent, &kind(i))).sum();
    let rows = missing
        .iter()
        .flat_map(|(row, count)| std::iter::repeat_n(row, *count as usize));
    rows.take(MOST_STARTS.min(room))
        .take_while(|row| {
            cost = cost + price_of(intent, &row_kind(row));
            cost <= intent.limits.max_micros_per_hour
        })
        .map(|row| StartOrder {
            service: row.service.to_string(),
            zone: row.zone.to_string(),
            class: row.class.0.to_string(),
            reclaimable: row.purchase == Purchase::Reclaimable,
        })
        .collect()
}

/// Live instances beyond what is wanted, of services that lack nothing and wait for nothing.
fn surplus(
    intent: &Intent,
    running: &Running,
    wanted: &[Placement],
    missing: &[(&Placement, u32)],
) -> Vec<(InstanceName, Incarnation)> {
    let mut waiting: BTreeSet<&str> = missing
        .iter()
        .map(|(row, _)| row.service.as_str())
        .collect();
    let ordered = running.ordered.iter().filter_map(|r| r.order.as_ref());
    waiting.extend(ordered.map(|order| order.service.as_str()));
    let known = |i: &&Instance| intent.services.iter().any(|s| s.name == i.service);
    let mut left: BTreeMap<Kind, u32> = wanted.iter().map(|r| (row_kind(r), r.count)).collect();
    let live = running
        .instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live)
        .filter(known)
        .filter(|instance| !waiting.contains(instance.service.as_str()));
    live.filter(|instance| match left.get_mut(&kind(instance)) {
        Some(count) if *count > 0 => {
            *count -= 1;
            false
        }
        _ => true,
    })
    .map(|instance| (instance.name.clone(), instance.incarnation))
    .collect()
}

/// Whether a leaving instance may be stopped: no gateway sends it work any more, and it is idle or
/// had the longest time of a request to finish.
pub fn may_stop(leaving_for: Duration, idle: bool, lease: Duration, longest: Duration) -> bool {
    leaving_for >= longest || (idle && leaving_for >= lease * 2)
}

fn expected(record: &StartRecord) -> Option<Instance> {
    let order = record.order.as_ref()?;
    Some(Instance {
        name: format!("ordered at {}", record.index).into(),
        incarnation: Incarnation(0),
        service: order.service.as_str().into(),
        zone: order.zone.as_str().into(),
        class: MachineClass(order.class.as_str().into()),
        purchase: match order.reclaimable {
            true => Purchase::Reclaimable,
            false => Purchase::OnDemand,
        },
        address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        state: InstanceState::Live,
    })
}

fn kind(instance: &Instance) -> Kind {
    (
        instance.service.clone(),
        instance.zone.clone(),
        instance.class.clone(),
        instance.purchase,
    )
}

fn row_kind(row: &Placement) -> Kind {
    (
        row.service.clone(),
        row.zone.clone(),
        row.class.clone(),
        row.purchase,
    )
}

fn count(have: &BTreeMap<Kind, u32>, kind: &Kind) -> u32 {
    have.get(kind).copied().unwrap_or_default()
}

fn price_of(intent: &Intent, (_, zone, class, purchase): &Kind) -> Money {
    let matches = |price: &&Price| price.zone == *zone && price.class == *class;
    let price = intent.prices.iter().find(matches);
    price.map_or(Money(0), |price| match purchase {
        Purchase::Reclaimable => price.reclaimable_micros_per_hour,
        Purchase::OnDemand => price.on_demand_micros_per_hour,
    })
}
