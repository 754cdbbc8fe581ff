//! Learning how fast upstreams are, and placing requests by it: unequal and equal fleets, changes, and gateways that see little.

use std::{collections::BTreeMap, time::Duration};

use flamingocroft::{
    controller::paces::Paces,
    domain::{InstanceName, RoutingWeights},
    policy::{
        pace::{self, Pace, PaceLearner, PaceSums, USUAL_PERCENT, stretch},
        route::{Candidate, Report, RouteRequest, UsualWork, choose, outlook},
    },
    wire::{ObservedPace, PaceReport},
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Requests that a test upstream serves at once.
const SLOTS: u32 = 8;
/// Time of a unit of work at an idle upstream of speed one.
const WORK: Duration = Duration::from_millis(40);
/// Time between two estimates.
const INTERVAL: Duration = Duration::from_secs(2);

fn name(upstream: usize) -> InstanceName {
    format!("engine-{upstream}").into()
}

/// Draws how long a unit of work takes, with a noise of 30 percent; `load` lengthens it by as much again at all slots.
fn draw_work(rng: &mut StdRng, speed: f64, load: f64) -> Duration {
    WORK.mul_f64((1.0 + load) / speed * rng.random_range(0.7..1.3))
}

/// A service whose upstreams get observed.
struct Fleet {
    learner: PaceLearner,
    percents: Vec<u32>,
    now: Duration,
    rng: StdRng,
}

impl Fleet {
    fn new(upstreams: usize, seed: u64) -> Self {
        Self {
            learner: PaceLearner::default(),
            percents: vec![USUAL_PERCENT; upstreams],
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records the requests of one interval and estimates; returns how many speeds changed.
    fn observe(
        &mut self,
        requests: usize,
        load: impl Fn(usize) -> f64,
        speed: impl Fn(usize) -> f64,
    ) -> usize {
        for upstream in 0..self.percents.len() {
            let mut sums = PaceSums::default();
            for _ in 0..requests {
                let load = load(upstream) * self.rng.random_range(0.7..1.3);
                let work = draw_work(&mut self.rng, speed(upstream), load);
                sums.record(work, load);
            }
            self.learner.record(&name(upstream), &sums, self.now);
        }
        self.now += INTERVAL;
        let changes = self.learner.update(self.now);
        for change in &changes {
            let known = self.percents.iter_mut().enumerate();
            for (_, percent) in known.filter(|(i, _)| name(*i) == change.instance) {
                assert_eq!(change.before, *percent);
                *percent = change.percent;
            }
        }
        changes.len()
    }

    fn run(&mut self, intervals: usize, speed: impl Fn(usize) -> f64) -> usize {
        let all = (0..intervals).map(|_| self.observe(6, |_| 0.5, &speed));
        all.sum()
    }
}

fn candidate(upstream: usize, percent: u32) -> Candidate {
    Candidate {
        instance: name(upstream),
        zone: "a".into(),
        slots: SLOTS,
        report: None,
        sent_since_report: 0,
        in_progress: 0,
        cached_tokens: None,
        prefill_wait: Duration::ZERO,
        pace: Pace {
            speed: f64::from(percent) / 100.0,
            stretch: 1.0,
        },
        is_behind_gateway: false,
        suspect: false,
    }
}

fn request(home: u64) -> RouteRequest {
    RouteRequest {
        zone: "a".into(),
        prompt_tokens: 2000,
        home,
    }
}

const THREE: [f64; 3] = [0.6, 1.0, 1.6];

fn of_three(upstream: usize) -> f64 {
    THREE[upstream % 3]
}

/// Plays requests at a given part of the fleet's capacity over a queue for each upstream, which serves one request at a
/// time; gateways know the queues as of `lag` requests ago. Returns the median wait of each third of the upstreams, in
/// units of work, and its share of the requests.
fn play(percents: &[u32], utilization: f64, lag: usize) -> Vec<(f64, f64)> {
    let mut rng = StdRng::seed_from_u64(11);
    let capacity: f64 = (0..percents.len()).map(of_three).sum();
    let mut candidates: Vec<_> = percents
        .iter()
        .enumerate()
        .map(|(i, percent)| candidate(i, *percent))
        .collect();
    let mut busy_until = vec![0.0_f64; percents.len()];
    let mut waits: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    let mut time = 0.0;
    let requests = 20_000_usize;
    for turn in 0..requests {
        time += -rng.random::<f64>().ln() / (capacity * utilization);
        if turn % lag == 0 {
            for (i, c) in candidates.iter_mut().enumerate() {
                let queued = ((busy_until[i] - time).max(0.0) * of_three(i)).ceil();
                c.report = Some(Report {
                    running: queued as u32,
                    queued: 0,
                    age: Duration::ZERO,
                });
            }
        }
        let chosen = choose(
            &request(rng.random()),
            &candidates,
            &RoutingWeights::default(),
        )
        .unwrap();
        let done = busy_until[chosen].max(time) + 1.0 / of_three(chosen);
        waits.entry(chosen % 3).or_default().push(done - time);
        busy_until[chosen] = done;
    }
    waits
        .into_values()
        .map(|mut waits| {
            waits.sort_unstable_by(f64::total_cmp);
            (waits[waits.len() / 2], waits.len() as f64 / requests as f64)
        })
        .collect()
}

#[test]
fn three_speeds_are_learned_and_share_the_load() {
    let mut fleet = Fleet::new(30, 1);
    fleet.run(15, of_three);
    for (upstream, percent) in fleet.percents.iter().enumerate() {
        let ratio = f64::from(*percent) / 100.0 / of_three(upstream);
        assert!((0.8..1.25).contains(&ratio), "{:?}", fleet.percents);
    }
    let shares: Vec<f64> = play(&fleet.percents, 0.6, 30)
        .iter()
        .map(|(_, share)| *share)
        .collect();
    let total: f64 = THREE.iter().sum();
    for (share, speed) in shares.iter().zip(THREE) {
        let ratio = share / (speed / total);
        assert!((0.8..1.25).contains(&ratio), "{shares:?}");
    }
}

/// The load: six tenths of the capacity on engines of three speeds. Work itself takes 2.7 times as long at the slowest ones,
/// whatever is placed there, so the medians are compared in units of each engine's own work. Without speeds, the slow third is
/// the worst served.
#[test]
fn no_third_of_an_uneven_fleet_waits_much_longer_for_its_own_work() {
    let mut fleet = Fleet::new(30, 2);
    fleet.run(15, of_three);
    let ratio = |percents: &[u32]| {
        let waits: Vec<f64> = play(percents, 0.6, 30)
            .iter()
            .zip(THREE)
            .map(|((median, _), speed)| median * speed)
            .collect();
        let (min, max) = (waits.iter(), waits.iter());
        max.copied().fold(0.0, f64::max) / min.copied().fold(f64::MAX, f64::min)
    };
    let learned = ratio(&fleet.percents);
    let unlearned = ratio(&[USUAL_PERCENT; 30]);
    assert!(learned < 1.5, "{learned}");
    assert!(unlearned > learned, "{unlearned} without, {learned} with");
}

#[test]
fn a_fleet_of_equal_upstreams_stays_equal() {
    for (seed, load) in [(3, 0.2), (4, 0.5), (5, 0.9)] {
        let mut fleet = Fleet::new(72, seed);
        // Homes spread unevenly: some upstreams are half as busy again as the others.
        let load = |upstream: usize| load * if upstream.is_multiple_of(4) { 1.5 } else { 1.0 };
        let changes: usize = (0..60).map(|_| fleet.observe(3, load, |_| 1.0)).sum();
        assert_eq!(changes, 0, "seed {seed}: {:?}", fleet.percents);
    }
}

/// With equal speeds the order is that of the hashes alone, whatever the speeds were called.
#[test]
fn equal_speeds_place_as_without_speeds() {
    let plain: Vec<_> = (0..9).map(|i| candidate(i, USUAL_PERCENT)).collect();
    let weights = RoutingWeights::default();
    let mut slower = plain.clone();
    slower.push(candidate(9, 51));
    let mut moved = 0;
    for home in 0..4000 {
        let before = choose(&request(home), &plain, &weights).unwrap();
        let after = choose(&request(home), &slower, &weights).unwrap();
        assert!(
            after == before || after == 9,
            "a home moved between upstreams of the same speed"
        );
        moved += usize::from(after == 9);
    }
    // Its share is 51 of 951 parts.
    assert!((150..280).contains(&moved), "{moved}");
}

#[test]
fn a_step_down_and_back_up_is_followed() {
    let mut fleet = Fleet::new(12, 6);
    assert_eq!(fleet.run(15, |_| 1.0), 0);
    fleet.run(30, |upstream| if upstream == 5 { 0.5 } else { 1.0 });
    let others = |fleet: &Fleet| {
        let all = fleet.percents.iter().enumerate();
        all.filter(|(i, percent)| *i != 5 && **percent != USUAL_PERCENT)
            .count()
    };
    assert!(fleet.percents[5] <= 64, "{:?}", fleet.percents);
    assert_eq!(others(&fleet), 0);
    fleet.run(45, |_| 1.0);
    assert_eq!(
        fleet.percents[5], USUAL_PERCENT,
        "it returns within 90 seconds"
    );
    assert_eq!(others(&fleet), 0);
}

/// An upstream whose work takes twice as long from half of its slots on gets a lower speed while it is driven there.
#[test]
fn a_knee_at_half_of_the_slots_counts_where_it_is_reached() {
    let knee = |upstream: usize, load: f64| match upstream == 2 && load > 0.5 {
        true => 0.5,
        false => 1.0,
    };
    for (load, is_slow) in [(0.3, false), (0.8, true)] {
        let mut fleet = Fleet::new(12, 7);
        for _ in 0..20 {
            fleet.observe(6, |_| load, |upstream| knee(upstream, load));
        }
        assert_eq!(
            fleet.percents[2] < USUAL_PERCENT,
            is_slow,
            "{:?}",
            fleet.percents
        );
    }
}

/// 200 gateways see a request of each upstream every 40 seconds; together they know what one gateway alone cannot.
#[test]
fn gateways_with_few_requests_learn_together() {
    let mut rng = StdRng::seed_from_u64(8);
    let (mut paces, mut alone) = (Paces::default(), Paces::default());
    let mut told = BTreeMap::new();
    for second in 0..40 {
        for gateway in 0..200 {
            let upstreams = (0..30).filter(|upstream| (gateway + upstream) % 40 == second % 40);
            let observed = upstreams.map(|upstream| {
                let mut sums = PaceSums::default();
                let load = rng.random_range(0.2..0.8);
                sums.record(draw_work(&mut rng, of_three(upstream), load), load);
                ObservedPace::new(name(upstream).to_string(), &sums)
            });
            let report = [PaceReport {
                service: "chat".into(),
                upstreams: observed.collect(),
            }];
            let now = Duration::from_secs(second as u64);
            for (_, change) in paces.handle_report(now, &report) {
                told.insert(change.instance, change.percent);
            }
            if gateway == 0 {
                assert!(alone.handle_report(now, &report).is_empty());
            }
        }
    }
    for upstream in 0..30 {
        let percent = told.get(&name(upstream)).copied().unwrap_or(USUAL_PERCENT);
        let ratio = f64::from(percent) / 100.0 / of_three(upstream);
        assert!((0.8..1.25).contains(&ratio), "{told:?}");
    }
    let table = paces.changes_since(0).unwrap();
    let differing = told.values().filter(|percent| **percent != USUAL_PERCENT);
    assert!(!table.is_delta);
    assert_eq!(table.rows.len(), differing.count());
    assert_eq!(paces.changes_since(table.version), None);
}

/// An upstream of which a seventh of the moments take 2.5 times as long, each for 600 ms, has one speed.
#[test]
fn flips_within_a_second_do_not_oscillate() {
    let mut fleet = Fleet::new(30, 9);
    let mut rng = StdRng::seed_from_u64(10);
    let mut changes = 0;
    for _ in 0..100 {
        // A third of the two seconds of an interval sees the same state.
        let slow: Vec<[bool; 3]> = (0..30)
            .map(|_| std::array::from_fn(|_| rng.random_bool(0.15)))
            .collect();
        for (upstream, slow) in slow.iter().enumerate() {
            let mut sums = PaceSums::default();
            for moment in slow.iter().cycle().take(9) {
                let speed = if *moment { 0.4 } else { 1.0 };
                let load = rng.random_range(0.3..0.7);
                sums.record(draw_work(&mut rng, speed, load), load);
            }
            fleet.learner.record(&name(upstream), &sums, fleet.now);
        }
        fleet.now += INTERVAL;
        changes += fleet.learner.update(fleet.now).len();
    }
    // 30 upstreams over 200 seconds.
    assert!(changes <= 30, "{changes} changes");
}

#[test]
fn a_statement_ages_within_a_second() {
    let of = |percent, ms| stretch(percent, Duration::from_millis(ms));
    assert_eq!(of(250, 0), 2.5);
    assert!((1.2..2.0).contains(&of(250, 300)));
    assert_eq!(of(250, 1000), 1.0);
    for odd in [0, u32::MAX] {
        assert!((0.5..=10.0).contains(&of(odd, 0)));
    }
}

#[test]
fn a_slow_upstream_may_be_silent_for_longer() {
    let usual = Duration::from_millis(600);
    assert_eq!(pace::silence_timeout(usual, USUAL_PERCENT), usual);
    assert_eq!(pace::silence_timeout(usual, 195), usual);
    assert_eq!(pace::silence_timeout(usual, 50), usual * 2);
}

#[test]
fn an_outlook_is_that_of_the_best_candidate() {
    let work = UsualWork {
        own: Duration::from_millis(100),
        recompute: Duration::from_millis(300),
        turn: Duration::from_millis(10),
        pause: Duration::from_millis(30),
    };
    assert_eq!(outlook(&request(1), &[], &work), None);
    let one = [candidate(0, USUAL_PERCENT)];
    let expected = outlook(&request(1), &one, &work).unwrap();
    assert_eq!(expected.first, work.own);
    assert_eq!(expected.pause, work.pause);
    let mut slow = candidate(0, 50);
    let expected = outlook(&request(1), &[slow.clone()], &work).unwrap();
    assert_eq!(expected.first, work.own * 2);
    // Its prompts before cost more than to recompute the prefix elsewhere.
    slow.prefill_wait = Duration::from_secs(2);
    let expected = outlook(&request(1), &[slow, candidate(1, 200)], &work).unwrap();
    assert!(
        expected.first <= (work.own + work.recompute) / 2,
        "{expected:?}"
    );
}

/// The size that the messages are bounded for: docs/design/PACES.md states 12 replies of at most 8 KB.
#[test]
fn three_thousand_speeds_are_told_in_small_replies() {
    let mut paces = Paces::default();
    let work = |upstream: usize| WORK.mul_f64(if upstream % 2 == 0 { 0.5 } else { 2.0 });
    let observed = (0..3000).map(|upstream| {
        let mut sums = PaceSums::default();
        (0..50).for_each(|_| sums.record(work(upstream), 0.5));
        ObservedPace::new(format!("i-0123456789abc-{upstream:04}"), &sums)
    });
    let report = PaceReport {
        service: "chat".into(),
        upstreams: observed.collect(),
    };
    let changes = paces.handle_report(INTERVAL, &[report]);
    assert_eq!(changes.len(), 3000);
    let (mut held, mut replies, mut told) = (0, 0, 0);
    while let Some(table) = paces.changes_since(held) {
        assert_eq!(table.is_delta, replies > 0);
        assert!(table.encoded_len() <= 8192, "{}", table.encoded_len());
        (held, replies, told) = (table.version, replies + 1, told + table.rows.len());
    }
    assert_eq!((replies, told), (12, 3000));
}

#[test]
fn sums_that_no_request_makes_are_ignored() {
    let mut paces = Paces::default();
    let report = [PaceReport {
        service: "chat".into(),
        upstreams: vec![ObservedPace {
            instance: "engine-0".into(),
            count: 100,
            logs: f32::NAN,
            ..ObservedPace::default()
        }],
    }];
    assert!(paces.handle_report(INTERVAL, &report).is_empty());
}
