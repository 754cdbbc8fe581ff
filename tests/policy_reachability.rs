//! When a gateway counts as cut off from a service, and which gateways help it.

use std::{collections::HashMap, time::Duration};

use flamingocroft::{
    domain::InstanceName,
    policy::reachability::{DirectReach, Helper, rank_helpers},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn instance(n: u32) -> InstanceName {
    format!("i-{n}").as_str().into()
}

#[test]
fn a_service_that_answers_is_not_probed() {
    let mut reach = DirectReach::default();
    for at in (0..10_000).step_by(100) {
        reach.record_send(ms(at));
        reach.record_activity();
        assert!(!reach.begin_probe(ms(at + 50)));
    }
}

#[test]
fn a_service_without_requests_is_not_probed() {
    let mut reach = DirectReach::default();
    reach.record_connected();
    assert!(!reach.begin_probe(ms(60_000)));
}

#[test]
fn a_silent_service_is_cut_off_only_after_a_failed_probe() {
    let mut reach = DirectReach::default();
    reach.record_send(ms(1000));
    reach.record_send(ms(1300));
    assert!(!reach.begin_probe(ms(1390)));
    assert!(reach.begin_probe(ms(1400)));
    assert!(!reach.is_cut_off());
    assert!(reach.record_failed_probe(ms(1700)));
    assert!(reach.is_cut_off());
    assert!(!reach.record_failed_probe(ms(2200)), "told once");
}

#[test]
fn a_service_that_pauses_for_a_while_is_not_cut_off() {
    let mut reach = DirectReach::default();
    reach.record_send(ms(0));
    assert!(reach.begin_probe(ms(400)));
    reach.record_activity();
    assert!(!reach.record_failed_probe(ms(700)));
    assert!(!reach.is_cut_off());
}

#[test]
fn connections_that_live_on_do_not_hide_that_no_new_ones_can_be_opened() {
    let mut reach = DirectReach::default();
    reach.record_connect_failure(&instance(1));
    reach.record_connect_failure(&instance(1));
    assert!(!reach.begin_probe(ms(0)), "one upstream may be down");
    reach.record_connect_failure(&instance(2));
    reach.record_activity();
    assert!(reach.begin_probe(ms(1)));
    reach.record_activity();
    assert!(reach.record_failed_probe(ms(301)));
}

#[test]
fn a_service_that_is_cut_off_is_probed_until_a_connection_opens() {
    let mut reach = DirectReach::default();
    reach.record_send(ms(0));
    assert!(reach.begin_probe(ms(500)));
    reach.record_failed_probe(ms(800));
    let probes = (801..10_000)
        .filter(|at| reach.begin_probe(ms(*at)))
        .count();
    assert!((17..=19).contains(&probes), "{probes} probes in 9.2 s");
    assert!(reach.record_connected());
    assert!(!reach.is_cut_off());
    assert!(!reach.begin_probe(ms(20_000)));
}

/// Fractions of the gateways that are cut off; the others carry the connections in equal parts.
#[test]
fn helpers_share_the_connections_of_gateways_that_are_cut_off() {
    let mut rng = StdRng::seed_from_u64(1);
    for gateways in [2_usize, 20, 200] {
        let cut_off = gateways / 2;
        let mut carried: HashMap<usize, u32> = HashMap::new();
        for _ in 0..gateways.max(20) * 25 {
            let helpers: Vec<Helper> = (1..gateways)
                .map(|other| Helper {
                    is_near_upstream: other % 2 == 0,
                    has_failed: other < cut_off,
                    random: rng.random(),
                })
                .collect();
            let first = rank_helpers(&helpers)[0];
            *carried.entry(first).or_default() += 1;
            assert!(!helpers[first].has_failed);
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
