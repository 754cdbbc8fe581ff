//! Autoscaling: service quality when reclaimable upstreams are reclaimed, and cost, compared with
//! keeping the initial number of upstreams.

mod engines;

use std::time::Duration;

use engines::{Event, Load};

use flamingocroft::policy::scale::{
    AcceptedOrders, EngineCapacity, Need, NeedTracker, NextOrder, PresentUpstreams, ServiceDemand,
    ZoneMarket, ZoneTarget, engines_needed, next_order, zone_targets,
};
use proptest::prelude::*;

const ENGINE: EngineCapacity = EngineCapacity {
    slots: 12,
    prefill_tokens_per_second: 157_000.0,
};

fn markets(reclaimable: bool) -> Vec<ZoneMarket> {
    [("zarzis", 0.85), ("gabes", 1.2), ("medenine", 1.0)]
        .into_iter()
        .map(|(zone, price)| ZoneMarket {
            zone: zone.into(),
            price,
            reclaimable_price: reclaimable.then_some(price * 0.22),
            is_sold_out: false,
            min: 1,
            max: 12,
        })
        .collect()
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn total(targets: &[ZoneTarget]) -> u32 {
    targets.iter().map(|w| w.reclaimable + w.on_demand).sum()
}

fn cost(targets: &[ZoneTarget]) -> f64 {
    targets
        .iter()
        .zip(markets(true))
        .map(|(w, m)| {
            f64::from(w.reclaimable) * m.reclaimable_price.unwrap()
                + f64::from(w.on_demand) * m.price
        })
        .sum()
}

#[test]
fn enough_upstreams_remain_when_all_reclaimable_ones_are_reclaimed() {
    let demand = ServiceDemand {
        in_flight: 53.0,
        prompt_tokens_per_second: 280_000.0,
    };
    let targets = zone_targets(engines_needed(demand, ENGINE), &markets(true));
    let left: u32 = targets.iter().map(|w| w.on_demand).sum();
    let utilization = |engines: u32| demand.in_flight / f64::from(engines * ENGINE.slots);
    assert!(
        utilization(left) <= 0.7,
        "{} of the slots are in use",
        utilization(left)
    );
    assert!(
        utilization(total(&targets)) <= 0.5,
        "{} with all of them",
        utilization(total(&targets))
    );
    // Compared with the same count without reclaimable upstreams, and with the initial count.
    let comfortable = zone_targets(engines_needed(demand, ENGINE), &markets(false));
    assert_eq!(total(&comfortable), total(&targets));
    // Two of nine upstreams are reclaimable at 0.22 of the price, which saves a sixth.
    assert!(cost(&targets) < 0.85 * cost(&comfortable));
    let naive: f64 = markets(true).iter().map(|m| 6.0 * m.price).sum();
    assert!(
        cost(&targets) < naive / 2.0,
        "{} against {naive}",
        cost(&targets)
    );
}

#[test]
fn reclaimable_upstreams_move_from_a_sold_out_zone_to_the_others() {
    let needed = Need {
        sufficient: 6,
        comfortable: 10,
    };
    let mut markets = markets(true);
    markets[0].is_sold_out = true;
    let targets = zone_targets(needed, &markets);
    let count = |targets: &[ZoneTarget]| targets.iter().map(|w| w.reclaimable).sum::<u32>();
    assert_eq!((targets[0].reclaimable, count(&targets)), (0, 4));
    markets
        .iter_mut()
        .for_each(|market| market.is_sold_out = true);
    let targets = zone_targets(needed, &markets);
    assert_eq!(count(&targets), 0);
    assert_eq!(
        total(&targets),
        6,
        "the comfortable need alone adds no on-demand upstreams"
    );
    // Present upstreams stay until the comfortable need can be met otherwise.
    let here = PresentUpstreams {
        reclaimable: 0,
        on_demand: 4,
    };
    assert_eq!(targets[1].kept, 4);
    assert_eq!(
        next_order(&targets[1], AcceptedOrders::default(), here, true),
        None
    );
}

/// The load grows by a third after the first seconds, as it varies within a minute.
#[test]
fn the_first_seconds_do_not_remove_most_engines() {
    let mut tracker = NeedTracker::default();
    let quiet = Need {
        sufficient: 4,
        comfortable: 6,
    };
    tracker.record(seconds(0), quiet);
    assert_eq!(
        tracker.plan(seconds(4), 18),
        None,
        "too short an observation"
    );
    assert_eq!(tracker.plan(seconds(5), 18).unwrap().sufficient, 9);
    assert_eq!(tracker.plan(seconds(19), 10).unwrap().sufficient, 9);
    assert_eq!(tracker.plan(seconds(20), 10).unwrap().sufficient, 4);
}

/// Returns the fraction of the requests that begin within a target, in seconds, at engines of one
/// speed and a rate of tokens.
fn in_time(engines: u32, speed: f64, rate: f64, target: f64) -> f64 {
    let load = Load {
        speeds: vec![speed; engines as usize],
        utilization: rate / (speed * f64::from(engines)),
        seconds: 60.0,
    };
    let (mut all, mut in_time) = (0_u32, 0_u32);
    engines::simulate(&load, 2, 3, |event| {
        if let Event::FirstByte { wait, .. } = event {
            all += 1;
            in_time += u32::from(wait <= target);
        }
    });
    f64::from(in_time) / f64::from(all)
}

/// Kinds of engines and targets from the users' sheets: the sufficient count serves nearly all
/// requests in time, and the comfortable count also during a burst of 1.5 times the load.
#[test]
fn engines_ordered_for_prefill_serve_in_time() {
    for (speed, target, rate) in [
        (157_000.0, 0.3, 300_000.0),
        (157_000.0, 0.4, 1_200_000.0),
        (55_000.0, 0.8, 140_000.0),
    ] {
        let size = EngineCapacity {
            slots: 1_000,
            prefill_tokens_per_second: speed,
        };
        // Recomputed shared prefixes add to the new tokens.
        let read = rate * 1.25;
        let demand = ServiceDemand {
            in_flight: 1.0,
            prompt_tokens_per_second: rate,
        };
        let needed = engines_needed(demand, size);
        let sufficient = in_time(needed.sufficient, speed, read, target);
        let burst = in_time(needed.comfortable, speed, 1.5 * read, target);
        assert!(sufficient > 0.9, "{speed} {rate}: {sufficient}");
        assert!(burst > 0.9, "{speed} {rate} in a burst: {burst}");
    }
}

/// The number of requests in progress at an engine varies by its square root, so engines with few
/// slots get a lower utilization.
#[test]
fn engines_with_few_slots_keep_a_larger_part_of_them_free() {
    let utilization = |slots| {
        let size = EngineCapacity {
            slots,
            prefill_tokens_per_second: 1e9,
        };
        let demand = ServiceDemand {
            in_flight: 10_000.0,
            prompt_tokens_per_second: 0.0,
        };
        10_000.0 / f64::from(engines_needed(demand, size).comfortable * slots)
    };
    let parts = [8, 12, 24, 64, 128].map(utilization);
    assert!(parts.is_sorted(), "{parts:?}");
    assert!(parts[0] < 0.4 && parts[4] > 0.8, "{parts:?}");
}

#[test]
fn prefill_limits_engines_with_many_slots() {
    let demand = ServiceDemand {
        in_flight: 50.0,
        prompt_tokens_per_second: 217_000.0,
    };
    let many_slots = EngineCapacity {
        slots: 128,
        ..ENGINE
    };
    let needed = engines_needed(demand, many_slots);
    let read = 217_000.0 * 1.25;
    let in_time = in_time(needed.sufficient, 157_000.0, read, 0.3);
    assert!(in_time > 0.9, "{in_time}");
}

#[test]
fn a_burst_raises_the_need_at_once_and_lowers_it_late() {
    let mut tracker = NeedTracker::default();
    let mut take = |s, engines| {
        let need = Need {
            sufficient: engines,
            comfortable: engines + 3,
        };
        tracker.record(seconds(s), need);
        let planned = tracker.plan(seconds(s + 5), 0).unwrap();
        assert_eq!(planned.comfortable, planned.sufficient + 3);
        planned.sufficient
    };
    assert_eq!(take(0, 6), 6);
    assert_eq!(take(1, 10), 10);
    assert_eq!(take(20, 6), 10);
    assert_eq!(take(22, 6), 6);
    assert_eq!(take(43, 5), 6, "a decrease of one is not worth a change");
}

fn zone_target(reclaimable: u32, on_demand: u32) -> ZoneTarget {
    ZoneTarget {
        zone: "zarzis".into(),
        reclaimable,
        on_demand,
        kept: on_demand,
    }
}

/// Guards against a panic, which ended all orders of a controller: the table's checks allow such bounds.
#[test]
fn a_least_count_above_the_greatest_one_orders_the_greatest() {
    let crossed = markets(true).into_iter().map(|market| ZoneMarket {
        min: market.max + 1,
        ..market
    });
    let need = Need {
        sufficient: 9,
        comfortable: 15,
    };
    for target in zone_targets(need, &crossed.collect::<Vec<_>>()) {
        assert_eq!((target.on_demand, target.kept), (12, 12), "{target:?}");
        assert_eq!(target.reclaimable, 0);
    }
}

/// Three reclaimable upstreams are present when the zone refuses a fourth one.
#[test]
fn a_sold_out_zone_keeps_its_reclaimable_upstreams() {
    let ordered = AcceptedOrders {
        reclaimable: Some(3),
        on_demand: Some(2),
    };
    let here = PresentUpstreams {
        reclaimable: 3,
        on_demand: 2,
    };
    assert_eq!(next_order(&zone_target(0, 2), ordered, here, true), None);
    let fewer = NextOrder {
        count: 0,
        reclaimable: true,
    };
    assert_eq!(
        next_order(&zone_target(0, 2), ordered, here, false),
        Some(fewer)
    );
}

#[test]
fn surplus_upstreams_are_removed_after_the_reclaimable_ones_arrive() {
    let order = |count, reclaimable| Some(NextOrder { count, reclaimable });
    let target = zone_target(2, 2);
    let mut here = PresentUpstreams {
        reclaimable: 0,
        on_demand: 6,
    };
    let mut ordered = AcceptedOrders::default();
    assert_eq!(next_order(&target, ordered, here, false), order(2, true));
    ordered.reclaimable = Some(2);
    assert_eq!(next_order(&target, ordered, here, false), order(4, false));
    ordered.on_demand = Some(4);
    assert_eq!(next_order(&target, ordered, here, false), None);
    here.reclaimable = 2;
    assert_eq!(next_order(&target, ordered, here, false), order(2, false));
}

#[test]
fn on_demand_upstreams_are_ordered_before_reclaimable_ones() {
    let ordered = AcceptedOrders {
        reclaimable: Some(1),
        on_demand: Some(2),
    };
    let next = next_order(
        &zone_target(3, 4),
        ordered,
        PresentUpstreams::default(),
        false,
    );
    assert_eq!(
        next.map(|next| (next.count, next.reclaimable)),
        Some((4, false))
    );
}

proptest! {
    #[test]
    fn each_zone_keeps_to_its_bounds(
        sufficient in 1..40u32,
        further in 0..40u32,
        reclaimable: bool,
    ) {
        let needed = Need { sufficient, comfortable: sufficient + further };
        let markets = markets(reclaimable);
        for (target, market) in zone_targets(needed, &markets).iter().zip(&markets) {
            let total = target.reclaimable + target.on_demand;
            prop_assert!(total >= market.min && total <= market.max, "{target:?}");
            prop_assert!(reclaimable || target.reclaimable == 0);
        }
    }
}

/// The log event `order.sent` prints these values by Debug; operators' tools read the names in them.
#[test]
fn the_debug_names_of_logged_values_do_not_change() {
    let need = Need {
        sufficient: 2,
        comfortable: 3,
    };
    let demand = ServiceDemand {
        in_flight: 1.5,
        prompt_tokens_per_second: 20.0,
    };
    let present = PresentUpstreams {
        reclaimable: 1,
        on_demand: 2,
    };
    assert_eq!(
        format!("{need:?} {demand:?} {present:?}"),
        "Need { sufficient: 2, comfortable: 3 } Use { in_flight: 1.5, prompt_tokens: 20.0 } \
         Present { reclaimable: 1, on_demand: 2 }"
    );
}
