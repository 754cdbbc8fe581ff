//! Plans which instances to start, drain and stop, as a pure function of the intent and the current instances.

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

/// Most starts ordered in one round; the next round takes their results into account.
const MAX_STARTS_PER_ROUND: usize = 8;

type InstanceKind = (ServiceName, ZoneName, MachineClass, Purchase);

/// The listed instances, and the starts that were ordered but are not listed yet.
#[derive(Clone, Debug, Default)]
pub struct CurrentInstances {
    /// Instances in the cloud's list.
    pub instances: Vec<Instance>,
    /// Starts that are ordered and not listed yet.
    pub open_starts: Vec<StartRecord>,
}

/// The next steps of placement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Starts to order.
    pub starts: Vec<StartOrder>,
    /// Instances that are no longer wanted. They are drained if this persists.
    pub surplus: Vec<(InstanceName, Incarnation)>,
}

/// Compares the current instances with the placement of the confirmed intent. `refused` are zones, classes and
/// purchases whose starts the cloud refused recently.
pub fn steps(intent: &Intent, current: &CurrentInstances, refused: &[RefusedStart]) -> Steps {
    let live: Vec<Instance> = current
        .instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live)
        .cloned()
        .chain(current.open_starts.iter().filter_map(expected_instance))
        .collect();
    let wanted = place::plan_with_refusals(intent, &live, refused).wanted;
    let mut have = BTreeMap::<InstanceKind, u32>::new();
    for instance in &live {
        *have.entry(instance_kind(instance)).or_default() += 1;
    }
    let missing: Vec<_> = wanted
        .iter()
        .map(|row| {
            (
                row,
                row.count
                    .saturating_sub(count_of(&have, &placement_kind(row))),
            )
        })
        .filter(|(_, count)| *count > 0)
        .collect();
    Steps {
        starts: starts(intent, current, &missing),
        surplus: surplus(intent, current, &wanted, &missing),
    }
}

/// Returns the starts that fit into the confirmed limits. Leaving instances count until they are gone.
fn starts(
    intent: &Intent,
    current: &CurrentInstances,
    missing: &[(&Placement, u32)],
) -> Vec<StartOrder> {
    let expected = current.open_starts.iter().filter_map(expected_instance);
    let present: Vec<Instance> = current.instances.iter().cloned().chain(expected).collect();
    let room = (intent.limits.max_instances as usize).saturating_sub(present.len());
    let mut cost: Money = present
        .iter()
        .map(|i| hourly_price(intent, &instance_kind(i)))
        .sum();
    let rows = missing
        .iter()
        .flat_map(|(row, count)| std::iter::repeat_n(row, *count as usize));
    rows.take(MAX_STARTS_PER_ROUND.min(room))
        .take_while(|row| {
            cost = cost + hourly_price(intent, &placement_kind(row));
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

/// Returns live instances in excess of the placement, only of services with no missing and no pending instances.
fn surplus(
    intent: &Intent,
    current: &CurrentInstances,
    wanted: &[Placement],
    missing: &[(&Placement, u32)],
) -> Vec<(InstanceName, Incarnation)> {
    let mut incomplete: BTreeSet<&str> = missing
        .iter()
        .map(|(row, _)| row.service.as_str())
        .collect();
    let ordered = current.open_starts.iter().filter_map(|r| r.order.as_ref());
    incomplete.extend(ordered.map(|order| order.service.as_str()));
    let is_managed = |i: &&Instance| intent.services.iter().any(|s| s.name == i.service);
    let mut remaining: BTreeMap<InstanceKind, u32> = wanted
        .iter()
        .map(|r| (placement_kind(r), r.count))
        .collect();
    let live = current
        .instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live)
        .filter(is_managed)
        .filter(|instance| !incomplete.contains(instance.service.as_str()));
    live.filter(
        |instance| match remaining.get_mut(&instance_kind(instance)) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        },
    )
    .map(|instance| (instance.name.clone(), instance.incarnation))
    .collect()
}

/// Returns whether a leaving instance may be stopped: it is idle after two leases, when no gateway sends it work
/// any more, or it has been leaving for the longest time that a request may take.
pub fn may_stop(leaving_for: Duration, idle: bool, lease: Duration, longest: Duration) -> bool {
    leaving_for >= longest || (idle && leaving_for >= lease * 2)
}

fn expected_instance(record: &StartRecord) -> Option<Instance> {
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

fn instance_kind(instance: &Instance) -> InstanceKind {
    (
        instance.service.clone(),
        instance.zone.clone(),
        instance.class.clone(),
        instance.purchase,
    )
}

fn placement_kind(row: &Placement) -> InstanceKind {
    (
        row.service.clone(),
        row.zone.clone(),
        row.class.clone(),
        row.purchase,
    )
}

fn count_of(have: &BTreeMap<InstanceKind, u32>, kind: &InstanceKind) -> u32 {
    have.get(kind).copied().unwrap_or_default()
}

fn hourly_price(intent: &Intent, (_, zone, class, purchase): &InstanceKind) -> Money {
    let matches = |price: &&Price| price.zone == *zone && price.class == *class;
    let price = intent.prices.iter().find(matches);
    price.map_or(Money(0), |price| match purchase {
        Purchase::Reclaimable => price.reclaimable_micros_per_hour,
        Purchase::OnDemand => price.on_demand_micros_per_hour,
    })
}
