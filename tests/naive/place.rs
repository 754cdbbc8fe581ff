//! On-demand instances only, or the cheapest zone only: placements to compare the planner with.

use flamingocroft::domain::{Intent, Money, Price, Service};

/// Returns the instances that carry the load of a service and the variation of random arrivals: the
/// 95th percentile of a Poisson load is about its mean plus 1.645 times its square root.
pub fn needed(service: &Service) -> u32 {
    let load = f64::from(service.expected_concurrency);
    let slots = load + 1.645 * load.sqrt();
    (slots.ceil() as u32).div_ceil(service.slots_per_instance)
}

/// Returns the cost per hour of on-demand instances, evenly over the zones, so that one zone may be
/// lost.
pub fn on_demand_only(intent: &Intent, service: &Service) -> Money {
    let others = service.zones.len().saturating_sub(1).max(1) as u32;
    let each = needed(service).div_ceil(others);
    prices(intent, service)
        .map(|price| price.on_demand_micros_per_hour.times(each))
        .sum()
}

/// Returns the cost per hour of reclaimable instances in the cheapest zone, for the load alone.
pub fn cheapest_only(intent: &Intent, service: &Service) -> Money {
    prices(intent, service)
        .map(|price| price.reclaimable_micros_per_hour.times(needed(service)))
        .min()
        .unwrap_or_default()
}

fn prices<'a>(intent: &'a Intent, service: &'a Service) -> impl Iterator<Item = &'a Price> {
    intent
        .prices
        .iter()
        .filter(|price| service.zones.contains(&price.zone) && price.class == service.class)
}
