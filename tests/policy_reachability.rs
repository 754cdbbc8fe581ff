//! When a gateway counts as cut off from an upstream, and which gateways help it.

use std::{collections::HashMap, time::Duration};

use flamingocroft::policy::reachability::{DirectReach, Helper, HelperReach, Plan, rank_helpers};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn probe(reach: &mut DirectReach, now: Duration) -> bool {
    let is_due = reach.needs_probe(now);
    if is_due {
        reach.begin_probe(now);
    }
    is_due
}

#[test]
fn an_upstream_that_answers_is_not_probed() {
    let mut reach = DirectReach::default();
    for at in (0..10_000).step_by(100) {
        reach.record_send(ms(at));
        reach.record_activity();
        assert!(!probe(&mut reach, ms(at + 50)));
    }
}

#[test]
fn an_upstream_without_requests_is_not_probed() {
    let mut reach = DirectReach::default();
    reach.record_connected();
    assert!(!probe(&mut reach, ms(60_000)));
}

#[test]
fn a_silent_upstream_is_cut_off_only_if_the_probe_fails_and_another_gateway_reaches_it() {
    let mut reach = DirectReach::default();
    reach.record_send(ms(1000));
    reach.record_send(ms(1300));
    assert!(!probe(&mut reach, ms(1390)));
    assert!(probe(&mut reach, ms(1400)));
    assert_eq!(reach.plan(), Plan::Direct);
    assert!(!reach.record_tunnel(), "the direct way has not failed");
    reach.record_connect_failure();
    assert_eq!(reach.plan(), Plan::Both);
    assert!(reach.is_lost() && !reach.is_cut_off());
    assert!(reach.record_tunnel());
    assert_eq!(reach.plan(), Plan::Tunnel);
    assert!(reach.is_cut_off() && !reach.is_lost());
    assert!(!reach.record_tunnel(), "told once");
}

#[test]
fn an_upstream_that_pauses_for_a_while_is_not_cut_off() {
    let mut reach = DirectReach::default();
    reach.record_send(ms(0));
    assert!(probe(&mut reach, ms(400)));
    reach.record_connected();
    assert!(!reach.record_tunnel());
    assert!(!reach.is_cut_off() && !reach.is_lost());
    assert!(!probe(&mut reach, ms(20_000)));
}

#[test]
fn connections_that_live_on_do_not_hide_that_no_new_ones_can_be_opened() {
    let mut reach = DirectReach::default();
    reach.record_connect_failure();
    reach.record_activity();
    assert!(probe(&mut reach, ms(1)));
    assert!(reach.record_tunnel());
    reach.record_activity();
    assert!(reach.is_cut_off());
}

#[test]
fn an_upstream_that_is_cut_off_is_probed_until_a_connection_opens() {
    let mut reach = DirectReach::default();
    reach.record_connect_failure();
    reach.record_tunnel();
    let probes = (801..10_000)
        .filter(|at| probe(&mut reach, ms(*at)))
        .count();
    assert!((17..=19).contains(&probes), "{probes} probes in 9.2 s");
    assert!(reach.record_connected());
    assert_eq!(reach.plan(), Plan::Direct);
    assert!(!probe(&mut reach, ms(20_000)));
}

#[test]
fn an_upstream_that_is_down_is_probed_ever_less_often() {
    let mut reach = DirectReach::default();
    reach.record_connect_failure();
    let mut at = Vec::new();
    for now in 1..10_000 {
        if probe(&mut reach, ms(now)) {
            at.push(now);
            reach.record_failed_probe();
        }
    }
    assert_eq!(at, [1, 1001, 3001, 5001, 7001, 9001]);
    assert!(reach.is_lost());
    assert!(!reach.record_connected(), "it was not cut off");
    assert_eq!(reach.plan(), Plan::Direct);
}

/// Fractions of the gateways do not reach the upstream or refuse; the others carry the connections in equal parts.
#[test]
fn helpers_share_the_connections_of_gateways_that_are_cut_off() {
    let mut rng = StdRng::seed_from_u64(1);
    for gateways in [2_usize, 20, 200] {
        let (cut_off, failed) = (gateways / 2, gateways * 3 / 5);
        let mut carried: HashMap<usize, u32> = HashMap::new();
        for _ in 0..gateways.max(20) * 25 {
            let helpers: Vec<Helper> = (1..gateways)
                .map(|other| Helper {
                    reach: match other < cut_off {
                        true => HelperReach::Unreachable,
                        false => HelperReach::Unknown,
                    },
                    is_near_upstream: other % 2 == 0,
                    has_failed: other < failed,
                    carried: 0,
                    random: rng.random(),
                })
                .collect();
            let order = rank_helpers(&helpers);
            let first = order[0];
            *carried.entry(first).or_default() += 1;
            assert!(!helpers[first].has_failed);
            let is_unreachable = |at: &usize| helpers[*at].reach == HelperReach::Unreachable;
            assert!(!order.iter().any(is_unreachable));
            let any_near = helpers
                .iter()
                .any(|helper| !helper.has_failed && helper.is_near_upstream);
            assert_eq!(helpers[first].is_near_upstream, any_near);
        }
        let (least, most) = (carried.values().min(), carried.values().max());
        let (least, most) = (*least.unwrap(), *most.unwrap());
        assert!(most <= least * 2, "{gateways}: {least} to {most}");
    }
}

#[test]
fn the_gateway_that_reached_the_upstream_is_asked_first_unless_it_carries_too_much() {
    let helper = |reach, carried, random| Helper {
        reach,
        is_near_upstream: false,
        has_failed: false,
        carried,
        random,
    };
    let others = |carried| {
        [
            helper(HelperReach::Unknown, 4, 1),
            helper(HelperReach::Reached, carried, 2),
            helper(HelperReach::Unknown, 4, 3),
        ]
    };
    assert_eq!(rank_helpers(&others(16)), [1, 0, 2]);
    assert_eq!(rank_helpers(&others(100)), [0, 2, 1]);
}

#[test]
fn no_gateway_is_asked_for_an_upstream_that_none_reaches() {
    let helper = Helper {
        reach: HelperReach::Unreachable,
        is_near_upstream: true,
        has_failed: false,
        carried: 0,
        random: 0,
    };
    assert!(rank_helpers(&[helper; 3]).is_empty());
}
