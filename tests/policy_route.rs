//! Routing compared with round robin: homes, herds, suspects and dominated candidates.

#[path = "naive/route.rs"]
mod naive;

use std::time::Duration;

use flamingocroft::{
    domain::RoutingWeights,
    policy::{
        pace::Pace,
        route::{Candidate, Report, RouteRequest, choose},
    },
};
use proptest::prelude::*;

const ZONES: [&str; 3] = ["north", "south", "west"];

fn request(home: u64) -> RouteRequest {
    RouteRequest {
        zone: "north".into(),
        prompt_tokens: 1000,
        home,
    }
}

fn candidate(i: usize) -> Candidate {
    Candidate {
        instance: format!("engine-{i}").into(),
        zone: ZONES[i % 3].into(),
        slots: 8,
        report: Some(Report {
            running: 2,
            queued: 0,
            age: Duration::from_millis(200),
        }),
        sent_since_report: 0,
        in_progress: 0,
        cached_tokens: None,
        prefill_wait: Duration::ZERO,
        pace: Pace::default(),
        is_behind_gateway: false,
        suspect: false,
    }
}

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

/// Report, requests sent, cached tokens, suspicion and zone of a candidate.
type Row = (Option<Report>, u32, Option<u32>, bool, usize);

fn arbitrary_candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let report = (0..20_u32, 0..20_u32, 0..5000_u64).prop_map(|(running, queued, age)| Report {
        running,
        queued,
        age: Duration::from_millis(age),
    });
    let one = (
        proptest::option::of(report),
        0..6_u32,
        proptest::option::of(0..2000_u32),
        proptest::bool::weighted(0.2),
        0..3_usize,
    );
    proptest::collection::vec(one, 1..20).prop_map(|rows| {
        let fill = |(i, (report, sent, cached_tokens, suspect, zone)): (usize, Row)| Candidate {
            report,
            sent_since_report: sent,
            in_progress: sent,
            cached_tokens,
            suspect,
            zone: ZONES[zone].into(),
            ..candidate(i)
        };
        rows.into_iter().enumerate().map(fill).collect()
    })
}

/// Returns whether `a` is worse than `b` in load, age of its report, cache and zone.
fn is_dominated(a: &Candidate, b: &Candidate) -> bool {
    let (Some(report_a), Some(report_b)) = (a.report, b.report) else {
        return false;
    };
    let (Some(cached_a), Some(cached_b)) = (a.cached_tokens, b.cached_tokens) else {
        return false;
    };
    let load = |c: &Candidate, r: Report| r.running + r.queued + c.sent_since_report;
    let loaded = load(a, report_a) > load(b, report_b).max(a.slots);
    let same_age = report_a.age == report_b.age && a.sent_since_report >= b.sent_since_report;
    let far = a.zone.as_str() != "north" && b.zone.as_str() == "north";
    loaded && same_age && cached_a < cached_b.min(1000) && far
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_picks_a_dominated_candidate(
        mut candidates in arbitrary_candidates(),
        age in 0..3000_u64,
        home: u64,
    ) {
        for report in candidates.iter_mut().filter_map(|c| c.report.as_mut()) {
            report.age = Duration::from_millis(age);
        }
        let chosen = choose(&request(home), &candidates, &RoutingWeights::default()).unwrap();
        let better = candidates
            .iter()
            .filter(|c| !c.suspect)
            .find(|c| is_dominated(&candidates[chosen], c));
        prop_assert!(better.is_none(), "chose {:?} over {better:?}", candidates[chosen]);
    }

    #[test]
    fn suspects_come_last(candidates in arbitrary_candidates(), home: u64) {
        let chosen = choose(&request(home), &candidates, &RoutingWeights::default()).unwrap();
        let usable = candidates.iter().any(|c| !c.suspect);
        prop_assert_eq!(candidates[chosen].suspect, !usable);
    }

    #[test]
    fn a_conversation_has_one_home_at_gateways_in_different_zones(home: u64, order in 0..20_usize) {
        let candidates = fleet(20);
        let mut rotated = candidates.clone();
        rotated.rotate_left(order);
        let weights = RoutingWeights::default();
        let there = RouteRequest { zone: "south".into(), ..request(home) };
        let here = choose(&request(home), &candidates, &weights).unwrap();
        let also = choose(&there, &rotated, &weights).unwrap();
        prop_assert_eq!(&candidates[here].instance, &rotated[also].instance);
    }
}

#[test]
fn no_candidate_gives_no_choice() {
    assert_eq!(choose(&request(1), &[], &RoutingWeights::default()), None);
    assert_eq!(naive::choose(1, &[]), None);
}

/// Sends new conversations from many gateways that all see the same stale report of an empty
/// instance, and counts those sent to it.
fn count_sent_to_the_empty_one(choose_one: impl Fn(u64, &[Candidate]) -> usize) -> usize {
    let mut candidates = fleet(20);
    for candidate in &mut candidates {
        candidate.report = Some(Report {
            running: 6,
            queued: 0,
            age: Duration::from_millis(800),
        });
    }
    candidates[3].report = Some(Report {
        running: 0,
        queued: 0,
        age: Duration::from_millis(800),
    });
    (0..400)
        .filter(|&home| choose_one(home, &candidates) == 3)
        .count()
}

#[test]
fn no_herd_towards_an_instance_whose_stale_report_looks_empty() {
    let weights = RoutingWeights::default();
    let ours =
        count_sent_to_the_empty_one(|home, all| choose(&request(home), all, &weights).unwrap());
    let least_loaded = count_sent_to_the_empty_one(|_, all| {
        (0..all.len())
            .min_by_key(|&i| all[i].report.map(|r| r.running))
            .unwrap()
    });
    assert_eq!(least_loaded, 400);
    assert!(ours <= 60, "{ours} of 400 went to one of 20 instances");
}

#[test]
fn light_load_is_spread_as_round_robin_spreads_it() {
    let candidates = fleet(20);
    let mut counts = [0_u32; 20];
    for home in 0..4000 {
        counts[choose(&request(home), &candidates, &RoutingWeights::default()).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|&count| (130..=270).contains(&count)),
        "round robin gives 200 each, not {counts:?}"
    );
}

#[test]
fn choices_follow_the_parts_of_the_cost() {
    let weights = RoutingWeights::default();
    let base = |cached| Candidate {
        cached_tokens: Some(cached),
        prefill_wait: Duration::ZERO,
        zone: "north".into(),
        ..candidate(0)
    };
    let queued = |queued, c: Candidate| Candidate {
        report: Some(Report {
            running: 8,
            queued,
            age: Duration::ZERO,
        }),
        ..c
    };
    let south = |c: Candidate| Candidate {
        zone: "south".into(),
        ..c
    };
    let own = |in_progress, c: Candidate| Candidate { in_progress, ..c };
    let cases = [
        ("long cached prefix", [base(0), base(4000)], 1),
        ("short queue", [queued(5, base(0)), queued(0, base(0))], 1),
        (
            "long queue beats cache",
            [queued(9, base(4000)), base(0)],
            1,
        ),
        ("cache beats crossing", [base(0), south(base(4000))], 1),
        ("own requests count", [own(14, base(0)), own(1, base(0))], 1),
    ];
    for (name, candidates, expected) in cases {
        for home in 0..20 {
            let req = RouteRequest {
                prompt_tokens: 4000,
                ..request(home)
            };
            let chosen = choose(&req, &candidates, &weights);
            assert_eq!(chosen, Some(expected), "{name}, home {home}");
        }
    }
}

#[test]
fn an_expensive_crossing_keeps_requests_in_the_zone() {
    let south = Candidate {
        zone: "south".into(),
        ..candidate(1)
    };
    let candidates = [candidate(0), south];
    let weights = |ms_per_zone_crossing| RoutingWeights {
        ms_per_zone_crossing,
        ..RoutingWeights::default()
    };
    let stay = |crossing| {
        (0..100)
            .filter(|&home| choose(&request(home), &candidates, &weights(crossing)) == Some(0))
            .count()
    };
    assert_eq!(stay(1000.0), 100);
    assert!((25..=75).contains(&stay(0.0)), "{}", stay(0.0));
}

#[test]
fn a_short_shared_preamble_does_not_draw_a_conversation_from_its_home() {
    let weights = RoutingWeights::default();
    let mut candidates: Vec<_> = fleet(20);
    for candidate in &mut candidates {
        candidate.cached_tokens = Some(0);
    }
    let before = choose(&request(7), &candidates, &weights);
    candidates[(before.unwrap() + 1) % 20].cached_tokens = Some(500);
    assert_eq!(choose(&request(7), &candidates, &weights), before);
}
