//! Roll-outs over many gateways, without a network: a sound version is completed by its deadline, and a bad one gets no
//! more than the bound.

use std::{collections::BTreeMap, time::Duration};

use flamingocroft::policy::rollout::{
    Answers, Bounds, Decision, GatewayReport, Lease, Reason, Rollout, RouteAnswers, Slots, Stage,
    wait_class,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 20;
/// The bounds of a deployment.
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_millis(5000),
};
const STEP_MS: u64 = 50;
const POLL_MS: u64 = 300;
const DECISION_MS: u64 = 100;
const ROUTES: [&str; 3] = ["query", "draft", "pay"];
const TARGET: Duration = Duration::from_millis(300);
const USUAL_MS: u64 = 40;
/// Bad answers from which the time until nothing more is sent counts.
const COUNTED_BAD: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Version {
    Sound,
    BadAtOnce,
    BadLater,
    BadUnderLoad,
    BadOnOneRoute,
    Slow,
    /// Sound, and both versions fail as often.
    BesideFailures,
    /// Sound; a tenth of its servers crash while it is handed over.
    BesideCrash,
}

const BAD: [Version; 5] = [
    Version::BadAtOnce,
    Version::BadLater,
    Version::BadUnderLoad,
    Version::BadOnOneRoute,
    Version::Slow,
];

#[derive(Default)]
struct Gateway {
    counts: GatewayReport,
    lease: Lease,
    lease_until: u64,
    next_poll: u64,
    /// When requests in progress at old servers end.
    old_until: u64,
    /// When it neither reports nor learns anything.
    away: std::ops::Range<u64>,
    is_frozen: bool,
}

struct Day {
    version: Version,
    gateways: Vec<Gateway>,
    per_second: f64,
    duration_ms: u64,
    /// When a version turns bad that does so later.
    turns_bad_ms: u64,
    slots: Slots,
    rng: StdRng,
}

#[derive(Debug)]
struct End {
    decision: Decision,
    requests: u64,
    exposed: u64,
    /// From the 50th bad answer to the last request to the target.
    went_on: Duration,
}

impl Day {
    fn new(version: Version, gateways: usize, per_second: f64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let duration_ms = rng.random_range(12_000..20_000);
        let gateways = (0..gateways).map(|_| Gateway {
            next_poll: rng.random_range(0..POLL_MS),
            ..Gateway::default()
        });
        Self {
            version,
            gateways: gateways.collect(),
            per_second,
            duration_ms,
            turns_bad_ms: rng.random_range(duration_ms / 10..duration_ms * 45 / 100),
            slots: Slots {
                old: 640,
                new: 640,
                cold: 0,
            },
            rng,
        }
    }

    /// Returns whether an answer of the target is bad, and its wait.
    fn answer(&mut self, is_new: bool, route: &str, at: u64, share: f64) -> (bool, Duration) {
        let wait = Duration::from_millis(self.rng.random_range(USUAL_MS / 2..USUAL_MS * 2));
        let mut fails = |part: f64| self.rng.random_bool(part);
        let crash = self.duration_ms * 7 / 10;
        match self.version {
            Version::BesideFailures => (fails(0.3), wait),
            // Those in progress are cut off; after that the servers refuse, and nothing runs there.
            Version::BesideCrash => (
                is_new && (crash..crash + 150).contains(&at) && fails(0.1),
                wait,
            ),
            Version::Sound => (false, wait),
            _ if !is_new => (false, wait),
            Version::BadAtOnce => (fails(0.3), wait),
            Version::BadLater => (at > self.turns_bad_ms && fails(0.3), wait),
            Version::BadUnderLoad => (share > BOUNDS.share && fails(0.3), wait),
            Version::BadOnOneRoute => (route == ROUTES[1] && fails(0.4), wait),
            Version::Slow => match fails(0.5) {
                true => (false, wait * 5),
                false => (false, wait),
            },
        }
    }

    fn play(mut self) -> End {
        let mut rollout = Rollout::new(BOUNDS, Duration::from_millis(self.duration_ms));
        let (mut requests, mut exposed, mut bad) = (0, 0, 0);
        let (mut counted_from, mut last_sent) = (None, 0);
        let mut end = None;
        let per_step = self.per_second * STEP_MS as f64 / 1000.0 / self.gateways.len() as f64;
        let mut at = 0;
        // Requests go on until the deadline, which the bound counts.
        while at < self.duration_ms {
            for g in 0..self.gateways.len() {
                let mut gateway = std::mem::take(&mut self.gateways[g]);
                let is_away = gateway.away.contains(&at);
                if !(is_away && gateway.is_frozen) {
                    let mut due = per_step.floor() as u64;
                    due += u64::from(self.rng.random_bool(per_step.fract()));
                    for _ in 0..due {
                        requests += 1;
                        gateway.counts.requests += 1;
                        let lease = match at < gateway.lease_until {
                            true => gateway.lease,
                            false => Lease::default(),
                        };
                        let allowance = lease.allowance.unwrap_or(u64::MAX);
                        let is_new = self.rng.random::<f64>() < lease.share
                            && gateway.counts.exposed < allowance;
                        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
                        let (is_bad, wait) = self.answer(is_new, route, at, lease.share);
                        let answers: &mut RouteAnswers =
                            gateway.counts.routes.entry(route.to_owned()).or_default();
                        if is_new {
                            exposed += 1;
                            gateway.counts.exposed += 1;
                            last_sent = at;
                            record(&mut answers.new, is_bad, wait);
                            bad += u64::from(is_bad || wait > Duration::from_millis(USUAL_MS * 2));
                            if bad == COUNTED_BAD {
                                counted_from.get_or_insert(at);
                            }
                        } else {
                            gateway.old_until = at + 400;
                            record(&mut answers.old, is_bad, wait);
                        }
                    }
                }
                if !is_away && at >= gateway.next_poll {
                    gateway.next_poll = at + POLL_MS;
                    gateway.counts.share = match at < gateway.lease_until {
                        true => gateway.lease.share,
                        false => 0.0,
                    };
                    gateway.counts.allowance = gateway.lease.allowance.unwrap_or_default();
                    gateway.counts.old_in_progress = u64::from(at < gateway.old_until);
                    let name = format!("g{g}");
                    rollout.record(&name, gateway.counts.clone(), Duration::from_millis(at));
                    gateway.lease = rollout.lease(&name);
                    gateway.lease_until = at + BOUNDS.lease().as_millis() as u64;
                }
                self.gateways[g] = gateway;
            }
            if at % DECISION_MS == 0 && end.is_none() {
                match rollout.decide(Duration::from_millis(at), self.slots) {
                    Decision::Continue => {}
                    Decision::Enter(_) => self.push(&rollout, at),
                    decision @ Decision::RollBack(_) => {
                        rollout.follow();
                        self.push(&rollout, at);
                        end = Some(decision);
                    }
                    Decision::Complete => {
                        end = Some(Decision::Complete);
                        break;
                    }
                }
            }
            at += STEP_MS;
        }
        let went_on = counted_from.map_or(0, |from| last_sent.saturating_sub(from));
        End {
            decision: end.expect("every order ends by its deadline"),
            requests,
            exposed,
            went_on: Duration::from_millis(went_on),
        }
    }

    /// Tells the gateways in touch at once, as a change of the stage does.
    fn push(&mut self, rollout: &Rollout, at: u64) {
        for (g, gateway) in self.gateways.iter_mut().enumerate() {
            if !gateway.away.contains(&at) {
                gateway.lease = rollout.lease(&format!("g{g}"));
                gateway.lease_until = at + BOUNDS.lease().as_millis() as u64;
            }
        }
    }
}

fn record(answers: &mut Answers, is_bad: bool, wait: Duration) {
    match is_bad {
        true => answers.failed += 1,
        false => answers.waits[wait_class(wait, TARGET)] += 1,
    }
}

fn assert_bounded(end: &End, what: &str) {
    assert!(
        matches!(
            end.decision,
            Decision::RollBack(Reason::Failures(_) | Reason::Slow(_))
        ),
        "{what}: {end:?}"
    );
    let bound = BOUNDS.share * end.requests as f64 + BOUNDS.slack;
    assert!(
        end.exposed as f64 <= bound,
        "{what}: more than {bound}: {end:?}"
    );
    assert!(end.went_on <= BOUNDS.rollback, "{what}: {end:?}");
}

#[test]
fn a_bad_version_gets_no_more_than_the_bound() {
    for version in BAD {
        for seed in 0..SEEDS {
            let end = Day::new(version, 8, 800.0, seed).play();
            assert_bounded(&end, &format!("{version:?}, seed {seed}"));
        }
    }
}

#[test]
fn a_bad_version_gets_no_more_than_the_bound_from_3_and_from_200_gateways() {
    for (gateways, per_second) in [(3, 300.0), (200, 900.0)] {
        for version in BAD {
            for seed in 0..SEEDS / 4 {
                let end = Day::new(version, gateways, per_second, seed).play();
                assert_bounded(
                    &end,
                    &format!("{version:?}, {gateways} gateways, seed {seed}"),
                );
            }
        }
    }
}

#[test]
fn a_sound_version_is_completed_by_its_deadline() {
    for version in [
        Version::Sound,
        Version::BesideFailures,
        Version::BesideCrash,
    ] {
        for seed in 0..SEEDS {
            for (gateways, per_second) in [(8, 800.0), (3, 300.0), (200, 900.0)] {
                let mut day = Day::new(version, gateways, per_second, seed);
                if version == Version::BesideCrash {
                    day.slots.new -= day.slots.new / 10;
                }
                let end = day.play();
                let what = format!("{version:?}, {gateways} gateways, seed {seed}: {end:?}");
                assert_eq!(end.decision, Decision::Complete, "{what}");
            }
        }
    }
}

#[test]
fn a_gateway_that_is_cut_off_or_frozen_exceeds_no_bound_and_does_not_hold_a_sound_version_back() {
    for seed in 0..SEEDS {
        for is_frozen in [false, true] {
            for version in BAD.into_iter().chain([Version::Sound]) {
                let mut day = Day::new(version, 8, 800.0, seed);
                day.gateways[3].away = 3000..13_000;
                day.gateways[3].is_frozen = is_frozen;
                let end = day.play();
                let what = format!("{version:?}, frozen {is_frozen}, seed {seed}");
                match version {
                    Version::Sound => assert_eq!(end.decision, Decision::Complete, "{what}"),
                    _ => assert_bounded(&end, &what),
                }
            }
        }
    }
}

#[test]
fn few_answers_complete_nothing() {
    for seed in 0..SEEDS {
        let end = Day::new(Version::Sound, 8, 2.0, seed).play();
        assert_eq!(
            end.decision,
            Decision::RollBack(Reason::Deadline),
            "seed {seed}"
        );
    }
}

#[test]
fn servers_that_are_not_ready_or_too_few_complete_nothing() {
    for (seed, new) in [(0, 0), (1, 64), (2, 400)] {
        let mut day = Day::new(Version::Sound, 8, 800.0, seed);
        day.slots.new = new;
        let end = day.play();
        assert_eq!(
            end.decision,
            Decision::RollBack(Reason::Deadline),
            "{new} slots"
        );
    }
}

#[test]
fn what_a_restarted_gateway_was_granted_stays_counted() {
    let second = Duration::from_secs;
    let slots = Slots {
        old: 10,
        new: 10,
        cold: 0,
    };
    let mut rollout = Rollout::new(BOUNDS, second(20));
    let report = |incarnation, requests| GatewayReport {
        incarnation,
        requests,
        ..GatewayReport::default()
    };
    rollout.record("g", report(1, 100), second(1));
    rollout.decide(second(1), slots);
    let mut granted = 0;
    for restart in 0..100 {
        rollout.record("g", report(restart + 1, 100), second(4));
        rollout.decide(second(4), slots);
        let lease = rollout.lease("g");
        granted += lease.allowance.unwrap_or_default();
        assert_eq!(rollout.stage(), Stage::Trial(0));
    }
    let (requests, committed) = rollout.exposure();
    assert!(committed >= granted, "{committed} of {granted}");
    assert!(committed as f64 <= BOUNDS.share * requests as f64 + BOUNDS.slack);
}

#[test]
fn a_new_leader_goes_on_with_what_gateways_hold() {
    let second = Duration::from_secs;
    let slots = Slots {
        old: 10,
        new: 10,
        cold: 0,
    };
    let mut rollout = Rollout::new(BOUNDS, second(20));
    let answers = Answers {
        waits: [6; 12],
        ..Answers::default()
    };
    let report = GatewayReport {
        requests: 1000,
        exposed: 72,
        allowance: 80,
        routes: BTreeMap::from([(
            "query".to_owned(),
            RouteAnswers {
                old: answers,
                new: answers,
            },
        )]),
        ..GatewayReport::default()
    };
    rollout.record("g", report.clone(), second(8));
    assert_eq!(rollout.decide(second(8), slots), Decision::Continue);
    assert_eq!(
        rollout.lease("g"),
        Lease::default(),
        "an earlier leader's leases may hold"
    );
    rollout.record("g", report, second(10));
    assert_eq!(
        rollout.decide(second(10), slots),
        Decision::Enter(Stage::Trial(0))
    );
    assert!(rollout.lease("g").allowance >= Some(80));
}

/// Reports of a gateway until everything goes to the target, and the time of the last one.
fn drain(rollout: &mut Rollout, slots: Slots) -> (GatewayReport, Duration) {
    let mut report = GatewayReport::default();
    for step in 1..400 {
        let now = Duration::from_millis(step * 100);
        let answers = Answers {
            waits: [step * 10; 12],
            ..Answers::default()
        };
        let answers = RouteAnswers {
            old: answers,
            new: answers,
        };
        let lease = rollout.lease("g");
        report.requests += 1000;
        report.exposed = lease.allowance.unwrap_or(report.exposed);
        report.share = lease.share;
        report.old_in_progress = 1;
        report.routes = BTreeMap::from([("query".to_owned(), answers)]);
        rollout.record("g", report.clone(), now);
        rollout.decide(now, slots);
        if rollout.stage() == Stage::Draining {
            report.share = 1.0;
            return (report, now);
        }
    }
    panic!("it stays in {:?}", rollout.stage());
}

#[test]
fn a_gateway_whose_lease_may_have_ended_or_none_at_all_completes_nothing() {
    let slots = Slots {
        old: 10,
        new: 10,
        cold: 0,
    };
    let mut rollout = Rollout::new(BOUNDS, Duration::from_secs(60));
    let (mut report, drained) = drain(&mut rollout, slots);
    report.old_in_progress = 0;
    let heard = drained + Duration::from_millis(300);
    rollout.record("g", report.clone(), heard);
    for silent_ms in (800..8000).step_by(100) {
        let now = heard + Duration::from_millis(silent_ms);
        assert_eq!(
            rollout.decide(now, slots),
            Decision::Continue,
            "silent for {silent_ms} ms"
        );
    }
    let now = heard + Duration::from_secs(8);
    rollout.record("g", report, now);
    assert_eq!(rollout.decide(now, slots), Decision::Complete);
}

#[test]
fn sums_that_are_too_large_grant_nothing() {
    let second = Duration::from_secs;
    let slots = Slots {
        old: 10,
        new: 10,
        cold: 0,
    };
    let mut rollout = Rollout::new(BOUNDS, second(20));
    let answers = Answers {
        waits: [u64::MAX; 12],
        failed: u64::MAX,
        broken: u64::MAX,
    };
    let report = |incarnation| GatewayReport {
        incarnation,
        requests: 1000,
        exposed: u64::MAX,
        routes: BTreeMap::from([(
            "query".to_owned(),
            RouteAnswers {
                old: answers,
                ..RouteAnswers::default()
            },
        )]),
        ..GatewayReport::default()
    };
    for at in [1, 3, 4, 5] {
        for name in ["a", "b"] {
            rollout.record(name, report(at), second(at));
        }
        rollout.decide(second(at), slots);
    }
    assert_eq!(rollout.exposure().1, u64::MAX);
    rollout.record("c", GatewayReport::default(), second(5));
    rollout.decide(second(5), slots);
    assert_eq!(rollout.lease("c").allowance, Some(0));
}

#[test]
fn slow_answers_of_servers_that_just_started_are_no_verdict() {
    for seed in 0..SEEDS {
        let mut day = Day::new(Version::Slow, 8, 800.0, seed);
        day.slots.cold = 64;
        let end = day.play();
        assert_eq!(
            end.decision,
            Decision::RollBack(Reason::Deadline),
            "seed {seed}: it is neither bad nor completed before all are warm"
        );
    }
}
