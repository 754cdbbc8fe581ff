//! Decides how many reclaimable and on-demand instances of each service run in each zone.
//!
//! The paying load, which is `expected_concurrency` plus room for its variation, must fit into what
//! remains after the loss of any one zone, and all reclaimable instances of a zone may be reclaimed
//! at once. See docs/DECISIONS.md, "Placement".

use std::collections::BTreeMap;

use crate::domain::{
    Instance, InstanceState, Intent, MachineClass, Money, Price, Purchase, Service, ServiceName,
    ZoneName,
};

use super::{
    fit,
    spread::{Offer, ZoneCount, ZoneOffer},
};

/// Time to detect a reclaim and replace an instance, including refused starts and loading the
/// model, in days.
const REPLACEMENT_DAYS: f64 = 15.0 / (24.0 * 60.0);

/// 95th percentile of the load, in standard deviations above its mean.
const LOAD_QUANTILE_DEVIATIONS: f64 = 1.645;

/// Instances of one kind of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind of machine.
    pub class: MachineClass,
    /// How they are paid for.
    pub purchase: Purchase,
    /// How many.
    pub count: u32,
    /// Price of all of them per hour.
    pub per_hour: Money,
}

/// Where instances should run, and at which cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The instances wanted; rows with a count of zero are left out.
    pub wanted: Vec<Placement>,
    /// The instances that run now, priced the same way.
    pub running: Vec<Placement>,
    /// Services whose target cannot be met, with the reason and the remedy.
    pub shortfalls: Vec<String>,
}

impl PlacementPlan {
    /// Returns the cost per hour of the wanted instances.
    pub fn cost_wanted(&self) -> Money {
        self.wanted.iter().map(|p| p.per_hour).sum()
    }

    /// Returns the cost per hour of the running instances.
    pub fn cost_running(&self) -> Money {
        self.running.iter().map(|p| p.per_hour).sum()
    }
}

/// A kind of instance that the cloud API currently refuses to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedStart {
    /// The zone.
    pub zone: ZoneName,
    /// The kind of machine.
    pub class: MachineClass,
    /// How they would be paid for.
    pub purchase: Purchase,
}

/// Plans the placement for an intent.
pub fn plan(intent: &Intent, instances: &[Instance]) -> PlacementPlan {
    plan_with_refusals(intent, instances, &[])
}

/// Plans the placement while some starts are refused: of those kinds, only the instances that
/// already run are counted on.
pub fn plan_with_refusals(
    intent: &Intent,
    instances: &[Instance],
    refused: &[RefusedStart],
) -> PlacementPlan {
    let running = running(intent, instances);
    let needs: Vec<_> = intent
        .services
        .iter()
        .map(|service| Need::of(intent, service, &running, refused))
        .collect();
    let (wanted, shortfalls) = fit::within_limits(&needs, &intent.limits);
    PlacementPlan {
        wanted,
        running,
        shortfalls,
    }
}

/// What one service needs, and what the zones offer to it.
#[derive(Debug)]
pub(super) struct Need<'a> {
    pub(super) service: &'a Service,
    /// Instances that carry the paying load.
    pub(super) instances: u32,
    /// The prices of the usable zones.
    pub(super) prices: Vec<&'a Price>,
    /// What these zones offer, in the same order.
    pub(super) offers: Vec<ZoneOffer>,
}

impl<'a> Need<'a> {
    fn of(
        intent: &'a Intent,
        service: &'a Service,
        running: &[Placement],
        refused: &[RefusedStart],
    ) -> Self {
        let prices: Vec<_> = service
            .zones
            .iter()
            .filter_map(|zone| price(intent, zone, &service.class))
            .collect();
        let max = |price: &Price, purchase| {
            if is_refused(refused, price, purchase) {
                count_running(running, &service.name, price, purchase)
            } else {
                u32::MAX
            }
        };
        let offer = |price: &&Price| offer(price, |purchase| max(price, purchase));
        Self {
            instances: instances_needed(service),
            offers: prices.iter().map(offer).collect(),
            service,
            prices,
        }
    }

    /// Converts counts, one for each price, into priced rows.
    pub(super) fn placements(&self, counts: &[ZoneCount]) -> Vec<Placement> {
        self.prices
            .iter()
            .zip(counts)
            .flat_map(|(price, count)| {
                let of = |purchase, count| self.placement(price, purchase, count);
                [
                    of(Purchase::Reclaimable, count.reclaimable),
                    of(Purchase::OnDemand, count.on_demand),
                ]
            })
            .filter(|placement| placement.count > 0)
            .collect()
    }

    fn placement(&self, price: &Price, purchase: Purchase, count: u32) -> Placement {
        Placement {
            service: self.service.name.clone(),
            zone: price.zone.clone(),
            class: price.class.clone(),
            purchase,
            count,
            per_hour: per_hour(price, purchase).times(count),
        }
    }
}

/// Returns the number of instances that carry the paying load within its latency target. Arrivals
/// are random, so the load varies by about its square root; without room for that, requests queue.
fn instances_needed(service: &Service) -> u32 {
    let load = f64::from(service.expected_concurrency);
    let slots = (load + LOAD_QUANTILE_DEVIATIONS * load.sqrt()).ceil() as u32;
    slots.div_ceil(service.slots_per_instance.max(1))
}

fn offer(price: &Price, max: impl Fn(Purchase) -> u32) -> ZoneOffer {
    let away_fraction = (price.reclaims_per_day * REPLACEMENT_DAYS).clamp(0.0, 1.0);
    let reclaimable = price.reclaimable_micros_per_hour.0 as f64 * (1.0 + away_fraction);
    ZoneOffer {
        reclaimable: Offer {
            price: reclaimable.round() as i64,
            max: max(Purchase::Reclaimable),
        },
        on_demand: Offer {
            price: price.on_demand_micros_per_hour.0,
            max: max(Purchase::OnDemand),
        },
        away_fraction,
    }
}

fn price<'a>(intent: &'a Intent, zone: &ZoneName, class: &MachineClass) -> Option<&'a Price> {
    intent
        .prices
        .iter()
        .find(|price| price.zone == *zone && price.class == *class)
}

fn per_hour(price: &Price, purchase: Purchase) -> Money {
    match purchase {
        Purchase::Reclaimable => price.reclaimable_micros_per_hour,
        Purchase::OnDemand => price.on_demand_micros_per_hour,
    }
}

fn is_refused(refused: &[RefusedStart], price: &Price, purchase: Purchase) -> bool {
    refused.iter().any(|start| {
        start.zone == price.zone && start.class == price.class && start.purchase == purchase
    })
}

fn count_running(
    running: &[Placement],
    service: &ServiceName,
    price: &Price,
    purchase: Purchase,
) -> u32 {
    running
        .iter()
        .filter(|p| p.service == *service && p.purchase == purchase)
        .filter(|p| p.zone == price.zone && p.class == price.class)
        .map(|p| p.count)
        .sum()
}

/// Counts and prices the live instances; an instance whose zone and class have no price counts as
/// free of cost.
fn running(intent: &Intent, instances: &[Instance]) -> Vec<Placement> {
    let mut counts = BTreeMap::new();
    for instance in instances.iter().filter(|i| i.state == InstanceState::Live) {
        let kind = (
            &instance.service,
            &instance.zone,
            &instance.class,
            instance.purchase,
        );
        *counts.entry(kind).or_default() += 1;
    }
    counts
        .into_iter()
        .map(|((service, zone, class, purchase), count)| Placement {
            service: service.clone(),
            zone: zone.clone(),
            class: class.clone(),
            purchase,
            count,
            per_hour: price(intent, zone, class)
                .map_or(Money(0), |price| per_hour(price, purchase).times(count)),
        })
        .collect()
}
