//! Limits that upstreams state: their order, their division among gateways, and plays of all gateways together.

use std::time::Duration;

use flamingocroft::policy::rate_limit::{Place, Statement, UpstreamLimit};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn statement(limit: Option<f64>, sent: u64, received: u64) -> Statement {
    Statement {
        limit,
        sent: ms(sent),
        received: ms(received),
    }
}

/// Returns the place of each gateway for an upstream.
fn places(upstream: &str, gateways: usize) -> Vec<Place> {
    let names: Vec<String> = (0..gateways).map(|i| format!("front-{i}")).collect();
    let all = || names.iter().map(String::as_str);
    all().map(|own| Place::find(upstream, own, all())).collect()
}

/// Requests of all gateways at one upstream, with their times, while every gateway would send `demand` requests per
/// second there. All gateways know the limit at the start; `active` says when there is demand.
fn play(
    gateways: usize,
    limit: f64,
    demand: f64,
    seconds: u64,
    active: impl Fn(Duration) -> bool,
    rng: &mut StdRng,
) -> Vec<Duration> {
    let mut limits = vec![UpstreamLimit::default(); gateways];
    for known in &mut limits {
        known.record(statement(Some(limit), 0, 1));
    }
    let places = places(&format!("i-{}", rng.random::<u32>()), gateways);
    let mut order: Vec<usize> = (0..gateways).collect();
    let (step, mut sent) = (ms(10), Vec::new());
    for tick in 1..seconds * 100 {
        let now = step * tick as u32;
        order.shuffle(rng);
        for gateway in &order {
            let wanted = match active(now) {
                true => demand * step.as_secs_f64() + rng.random::<f64>(),
                false => 0.0,
            };
            for _ in 0..wanted as usize {
                if limits[*gateway].check(places[*gateway], now).is_ok() {
                    limits[*gateway].spend(now);
                    sent.push(now);
                }
            }
        }
    }
    sent
}

fn most_in_four_seconds(sent: &[Duration]) -> usize {
    let in_window = |(i, start): (usize, &Duration)| {
        sent[i..].partition_point(|at| *at < *start + Duration::from_secs(4))
    };
    sent.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// What an upstream may get in any 4 s: one and a half times its limit, and five.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

#[test]
fn all_gateways_together_keep_to_a_limit() {
    let mut rng = StdRng::seed_from_u64(30);
    for gateways in [1, 2, 3, 8, 55, 200] {
        for limit in [0.0, 1e-9, 0.2, 0.9, 1.0, 2.9, 3.3, 17.0, 150.0, 900.0] {
            for demand in [0.5, 20.0] {
                let sent = play(gateways, limit, demand, 20, |_| true, &mut rng);
                let most = most_in_four_seconds(&sent) as f64;
                assert!(
                    most <= allowed(limit),
                    "{gateways} gateways, limit {limit}, demand {demand}: {most} in 4 s"
                );
            }
        }
    }
}

/// Gateways that saved up their parts while there was no demand all send at once.
#[test]
fn a_burst_after_an_idle_time_keeps_to_a_limit() {
    let mut rng = StdRng::seed_from_u64(31);
    for gateways in [2, 8, 200] {
        for limit in [0.0, 0.5, 3.0, 30.0, 400.0] {
            let bursts = |now: Duration| now.as_secs() % 6 >= 5;
            let sent = play(gateways, limit, 100.0, 30, bursts, &mut rng);
            let most = most_in_four_seconds(&sent) as f64;
            assert!(
                most <= allowed(limit),
                "{gateways} gateways, limit {limit}: {most} in 4 s"
            );
        }
    }
}

/// An upstream is not starved: with enough demand it gets most of what it accepts.
#[test]
fn demand_uses_most_of_a_limit() {
    let mut rng = StdRng::seed_from_u64(32);
    for gateways in [1, 2, 8, 200] {
        for limit in [0.5, 1.0, 2.9, 3.3, 17.0, 150.0, 900.0] {
            let demand = 10.0 * limit;
            let sent = play(gateways, limit, demand, 30, |_| true, &mut rng);
            let used = sent.len() as f64 / 30.0 / limit;
            assert!(
                used > 0.8,
                "{gateways} gateways, limit {limit}: {used} of it"
            );
        }
    }
}

/// However low the limit, requests show when it is over.
#[test]
fn an_upstream_that_accepts_nothing_still_gets_a_request_from_time_to_time() {
    let mut rng = StdRng::seed_from_u64(33);
    for gateways in [1, 2, 200] {
        for limit in [0.0, 1e-9, 0.1] {
            let sent = play(gateways, limit, 20.0, 30, |_| true, &mut rng);
            assert!((4..=8).contains(&sent.len()), "{gateways}: {}", sent.len());
        }
    }
}

#[test]
fn limits_of_any_size_are_divided() {
    for limit in [0.0, f64::MIN_POSITIVE, 1e18, 1e300, f64::MAX] {
        let mut known = UpstreamLimit::default();
        known.record(statement(Some(limit), 0, 1));
        for place in places("i-1", 3) {
            for now in [0, 1, 5_000, u64::MAX] {
                if let Err(Some(wait)) = known.clone().check(place, ms(now)) {
                    assert!(wait <= Duration::from_secs(60), "{limit}: {wait:?}");
                }
            }
        }
    }
}

/// Gateways that start or leave change the part of few others, so that a change does not double the rate.
#[test]
fn a_further_gateway_takes_the_place_of_at_most_one() {
    for gateways in [2, 8, 200] {
        let names: Vec<String> = (0..=gateways).map(|i| format!("front-{i}")).collect();
        let holders = |count: usize| {
            let all = || names[..count].iter().map(String::as_str);
            let holds = |own: &&str| {
                let mut known = UpstreamLimit::default();
                known.record(statement(Some(3.0), 0, 1));
                known.check(Place::find("i-1", own, all()), ms(2)) != Err(None)
            };
            all().filter(holds).collect::<Vec<_>>()
        };
        let (before, after) = (holders(gateways), holders(gateways + 1));
        let kept = before.iter().filter(|name| after.contains(name)).count();
        assert!(kept + 1 >= before.len(), "{before:?}, {after:?}");
    }
}

#[test]
fn a_gateway_that_is_not_open_sends_nothing_to_a_limited_upstream() {
    let mut known = UpstreamLimit::default();
    let place = Place::find("i-1", "closed", ["front-1", "front-2"].into_iter());
    assert_eq!(known.check(place, ms(1)), Ok(()), "without a limit it does");
    known.record(statement(Some(1e6), 0, 1));
    assert_eq!(known.check(place, ms(60_000)), Err(None));
}

#[test]
fn the_newest_of_two_statements_applies() {
    let mut known = UpstreamLimit::default();
    known.record(statement(Some(3.0), 0, 100));
    assert!(known.record(statement(Some(9.0), 100, 200)), "raised");
    assert!(!known.record(statement(Some(1.0), 10, 90)), "older");
    assert_eq!(known.current(), Some(9.0));
    assert!(known.record(statement(None, 250, 300)), "lifted");
    assert!(!known.record(statement(Some(4.0), 50, 90)), "older");
    assert_eq!(known.current(), None);
}

/// Responses on different connections overtake each other.
#[test]
fn the_lower_of_two_overlapping_statements_applies() {
    for first in [0, 1] {
        let both = [statement(Some(2.0), 0, 100), statement(None, 50, 101)];
        let mut known = UpstreamLimit::default();
        known.record(both[first]);
        known.record(both[1 - first]);
        assert_eq!(known.current(), Some(2.0), "{first} first");
    }
}

/// While responses arrive all the time, each a second after its request, a raised limit is in force two seconds later.
#[test]
fn a_raised_limit_applies_although_responses_always_overlap() {
    let mut known = UpstreamLimit::default();
    for received in (1_000..6_000).step_by(10) {
        let limit = if received < 3_000 { 2.0 } else { 8.0 };
        known.record(statement(Some(limit), received - 1_000, received));
        if received > 5_000 {
            assert_eq!(known.current(), Some(8.0));
        }
    }
}

#[test]
fn the_list_applies_where_a_gateway_hears_nothing_itself() {
    let mut known = UpstreamLimit::default();
    assert!(known.apply_list(Some(3.0)));
    assert_eq!(known.current(), Some(3.0));
    assert!(
        known.record(statement(Some(5.0), 10, 20)),
        "newer than the list"
    );
    assert!(!known.confirm_list(ms(100)), "the list may predate it");
    assert_eq!(known.current(), Some(5.0));
    assert!(known.confirm_list(ms(5_000)), "the list includes it");
    assert_eq!(known.current(), Some(3.0));
    assert!(known.apply_list(None));
    assert_eq!(known.current(), None);
}

/// Without controllers nobody else says that a limit is over.
#[test]
fn a_limit_holds_without_controllers_until_the_upstream_lifts_it() {
    let mut known = UpstreamLimit::default();
    known.record(statement(Some(3.0), 0, 1));
    let day = 86_400_000;
    assert_eq!(known.current(), Some(3.0));
    assert!(known.record(statement(None, day, day + 1)));
    assert_eq!(known.current(), None);
}

/// Upstreams without a limit cost no report.
#[test]
fn only_limits_are_reported() {
    let mut known = UpstreamLimit::default();
    known.record(statement(None, 0, 1));
    assert_eq!(known.report(ms(2)), None);
    known.record(statement(Some(3.0), 5, 6));
    assert_eq!(known.report(ms(7)), Some(statement(Some(3.0), 5, 6)));
    known.record(statement(None, 8, 9));
    assert_eq!(known.report(ms(10)), Some(statement(None, 8, 9)), "lifted");
    assert_eq!(known.report(ms(3_600_000)), None, "old");
}

fn any_statement() -> impl Strategy<Value = Statement> {
    let limit = prop_oneof![Just(None), (0.0..1e4).prop_map(Some)];
    (limit, 0_u64..500, 0_u64..200)
        .prop_map(|(limit, sent, wait)| statement(limit, sent, sent + wait))
}

proptest! {
    /// In any order of arrival, no statement replaces one whose request was sent after its own response.
    #[test]
    fn an_older_statement_never_replaces_a_newer_one(all in proptest::collection::vec(any_statement(), 1..40)) {
        let mut held = all[0];
        for next in &all[1..] {
            let before = held;
            let replaced = held.update(*next);
            prop_assert_eq!(held, if replaced { *next } else { before });
            if next.received <= before.sent && next.sent < before.received {
                prop_assert!(!replaced);
            }
            if next.sent >= before.received {
                prop_assert!(replaced);
            }
        }
    }
}
