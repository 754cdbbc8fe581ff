//! Plays loads that leave too little room, and checks what callers of each account get. See docs/design/ROOM.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use flamingocroft::{
    controller::room::RoomReports,
    domain::AccountName,
    policy::{
        overload::LoadShedder,
        pace::Outlook,
        room::{
            AccountDemand, Demand, DemandMeter, Pressure, View, rank_with_time,
            refusal_probability, refused_fractions, retry_after,
        },
    },
    wire::{AccountWork, ServiceRoom},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const GATEWAYS: usize = 16;
const ACCOUNTS: usize = 16;
const UPSTREAMS: usize = 12;
/// Upstreams among which a gateway finds the best one; what it knows of the others is too old.
const CANDIDATES: usize = 4;
const STEP: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(700);
const OUTLOOK_AGE: Duration = Duration::from_millis(50);
const SUMS_LEASE: Duration = Duration::from_secs(2);
const TARGET: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_millis(4000);
/// Time to the first byte beside the work of the prompt.
const BASE_LATENCY: Duration = Duration::from_millis(50);
/// Work of the two kinds of requests in seconds of an upstream; the first is the more urgent.
const WORK: [f64; 2] = [0.12, 0.04];
/// Usual load, as a fraction of what all upstreams can take.
const USUAL_LOAD: f64 = 0.6;
/// The account that sends more than usual, and its part of the usual load.
const HOG: usize = 0;
const HOG_PART: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    refused: u32,
    expired: u32,
}

impl Outcome {
    fn fraction_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.expired += other.expired;
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    None,
    LeaderLost,
    GatewayCutOff,
    HalfRestarted,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    /// How many times its usual the hog sends, and all others send, from second 4 to 12.
    hog: f64,
    others: f64,
    /// Whether a third of the upstreams works a third as fast.
    slow_third: bool,
    /// Whether refused callers return at once and often, not once as told.
    impatient: bool,
    /// Whether room is shared; otherwise load is shed by urgency alone.
    shares_room: bool,
    failure: Failure,
    seed: u64,
}

const CALM: Load = Load {
    hog: 1.0,
    others: 1.0,
    slow_third: false,
    impatient: false,
    shares_room: true,
    failure: Failure::None,
    seed: 1,
};

#[derive(Clone, Debug, Default)]
struct Gateway {
    shedder: LoadShedder,
    meter: DemandMeter,
    pressure: Pressure,
    outlook_at: Duration,
    sums: Option<(ServiceRoom, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Try {
    asked: Duration,
    account: usize,
    kind: usize,
    tries: u32,
}

fn name(account: usize) -> AccountName {
    AccountName::from(format!("account-{account}").as_str())
}

fn part(account: usize) -> f64 {
    match account {
        HOG => HOG_PART,
        _ => (1.0 - HOG_PART) / (ACCOUNTS - 1) as f64,
    }
}

/// The quotas are in proportion to what the accounts usually send.
fn weight(account: &AccountName) -> f64 {
    let number = account.as_str().rsplit('-').next().unwrap();
    part(number.parse().unwrap())
}

impl Gateway {
    fn report(&mut self, now: Duration) -> Vec<ServiceRoom> {
        let demand = self.meter.demand(now);
        let accounts = demand.accounts.into_iter();
        vec![ServiceRoom {
            service: "engines".into(),
            level: self.pressure.level(now) as f32,
            admitted: demand.admitted as f32,
            accounts: accounts
                .map(|held| AccountWork {
                    account: held.account.to_string(),
                    work: held.work as f32,
                })
                .collect(),
        }]
    }

    /// Returns whether a request is refused, as `ingress::room` decides it.
    fn refuses(&mut self, asked: &Try, shortest_queue: Duration, draw: f64, now: Duration) -> bool {
        if now - self.outlook_at >= OUTLOOK_AGE {
            self.outlook_at = now;
            let work_seconds = WORK[asked.kind];
            let outlook = Outlook {
                first: shortest_queue + Duration::from_secs_f64(work_seconds),
                pause: Duration::ZERO,
                work_seconds,
            };
            self.pressure.record(&outlook, TARGET, now);
        }
        let own = self.pressure.level(now);
        let sums = self.sums.as_ref().filter(|(_, until)| now < *until);
        let view = View::choose(own, sums.map(|(sums, _)| f64::from(sums.level)));
        let level = view.level();
        let demand = match sums.filter(|_| matches!(view, View::Overall(_))) {
            Some((sums, _)) => Demand {
                accounts: sums
                    .accounts
                    .iter()
                    .map(|held| AccountDemand {
                        account: held.account.as_str().into(),
                        work: f64::from(held.work),
                    })
                    .collect(),
                admitted: f64::from(sums.admitted),
            },
            None => self.meter.demand(now),
        };
        let rank = rank_with_time(asked.kind as f64, asked.asked + PATIENCE - now, PATIENCE);
        let account = name(asked.account);
        let fractions = refused_fractions(&demand, weight, level);
        let mut accounts = demand.accounts.iter();
        let own = accounts.position(|held| held.account == account);
        let fraction = own.map_or(0.0, |own| fractions[own]);
        let work = WORK[asked.kind];
        let refused = draw < refusal_probability(fraction, rank, self.meter.mean_rank());
        match refused {
            true => self.meter.record_refused(&account, work, rank, now),
            false => self.meter.record_admitted(&account, work, rank, now),
        }
        refused
    }
}

/// Plays 16 seconds. Returns the outcomes of the requests that arrived while the load was unusual, by account and kind.
fn play(load: &Load) -> Vec<[Outcome; 2]> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut gateways = vec![Gateway::default(); GATEWAYS];
    let mut reports = RoomReports::default();
    let mut free_at = [Duration::ZERO; UPSTREAMS];
    let speed = |upstream: usize| match load.slow_third && upstream < UPSTREAMS / 3 {
        true => 1.0 / 3.0,
        false => 1.0,
    };
    let mean_work = (WORK[0] + WORK[1]) / 2.0;
    let usual_rate = USUAL_LOAD * UPSTREAMS as f64 / mean_work;
    let mut outcomes = vec![[Outcome::default(); 2]; ACCOUNTS];
    let mut returning: BTreeMap<Duration, Vec<Try>> = BTreeMap::new();
    let mut beginning: BTreeMap<Duration, Vec<(Try, usize, Duration)>> = BTreeMap::new();
    let is_counted = |at: Duration| (4.0..12.0).contains(&at.as_secs_f64());
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(16) {
        now += STEP;
        let at = now.as_secs_f64();
        let mut arriving = Vec::new();
        for (account, outcome) in outcomes.iter_mut().enumerate() {
            let times = match (is_counted(now), account) {
                (true, HOG) => load.hog,
                (true, _) => load.others,
                (false, _) => 1.0,
            };
            let mut due = usual_rate * part(account) * times * STEP.as_secs_f64();
            while rng.random_range(0.0..1.0) < due {
                due -= 1.0;
                let kind = usize::from(rng.random_bool(0.5));
                outcome[kind].asked += u32::from(is_counted(now));
                arriving.push(Try {
                    asked: now,
                    account,
                    kind,
                    tries: 0,
                });
            }
        }
        while let Some(first) = returning.first_entry().filter(|first| *first.key() <= now) {
            arriving.extend(first.remove());
        }
        for (i, gateway) in gateways.iter_mut().enumerate() {
            let offset = POLL_INTERVAL.mul_f64(i as f64 / GATEWAYS as f64);
            let polls = (now + offset)
                .as_millis()
                .is_multiple_of(POLL_INTERVAL.as_millis());
            let is_out = match load.failure {
                Failure::LeaderLost => at > 6.0,
                Failure::GatewayCutOff => i == 0 && at > 3.0,
                Failure::None | Failure::HalfRestarted => false,
            };
            if load.failure == Failure::HalfRestarted && i % 2 == 0 && now.as_millis() == 7000 {
                *gateway = Gateway::default();
            }
            if polls && !is_out {
                reports.record(now, &format!("gateway-{i}"), &gateway.report(now));
                let sums = reports.sums(now).pop();
                gateway.sums = sums.map(|sums| (sums, now + SUMS_LEASE));
            }
        }
        for asked in arriving {
            let gateway = rng.random_range(0..GATEWAYS);
            let draw = rng.random_range(0.0..1.0);
            let left = asked.asked + PATIENCE - now;
            let held = &mut gateways[gateway];
            let shortest = free_at.iter().min().unwrap().saturating_sub(now);
            let refused = match load.shares_room {
                true => held.refuses(&asked, shortest, draw, now).then(|| {
                    let draw = rng.random_range(0.0..1.0);
                    retry_after(held.pressure.mean_wait(), left, draw)
                }),
                false => held.shedder.refuse(|| asked.kind as f64, draw, now),
            };
            if let Some(after) = refused {
                let (after, most) = match load.impatient {
                    true => (Duration::from_millis(20), 4),
                    false => (after, 1),
                };
                let tries = asked.tries + 1;
                match asked.tries < most && after < left {
                    true => returning
                        .entry(now + after)
                        .or_default()
                        .push(Try { tries, ..asked }),
                    false if is_counted(asked.asked) => {
                        outcomes[asked.account][asked.kind].refused += 1;
                    }
                    false => {}
                }
                continue;
            }
            let work = |upstream| Duration::from_secs_f64(WORK[asked.kind] / speed(upstream));
            let upstream = (0..CANDIDATES)
                .map(|_| rng.random_range(0..UPSTREAMS))
                .min_by_key(|upstream| free_at[*upstream].max(now) + work(*upstream))
                .unwrap();
            let start = free_at[upstream].max(now);
            if start - asked.asked > PATIENCE {
                outcomes[asked.account][asked.kind].expired += u32::from(is_counted(asked.asked));
                continue;
            }
            free_at[upstream] = start + work(upstream);
            let begins = free_at[upstream] + BASE_LATENCY;
            beginning
                .entry(begins)
                .or_default()
                .push((asked, gateway, now));
        }
        while let Some(first) = beginning.first_entry().filter(|first| *first.key() <= now) {
            for (asked, gateway, sent) in first.remove() {
                let held = &mut gateways[gateway];
                held.shedder.record_first_byte(now - sent, TARGET, now);
                held.pressure.record_wait(now - sent, TARGET, now);
                if is_counted(asked.asked) && now - asked.asked <= TARGET {
                    outcomes[asked.account][asked.kind].in_time += 1;
                }
            }
        }
    }
    outcomes
}

/// Returns the sum over the kinds and over the accounts but the hog.
fn others(outcomes: &[[Outcome; 2]]) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in outcomes.iter().skip(HOG + 1).flatten() {
        sum.add(*outcome);
    }
    sum
}

/// Plays loads with five seeds and checks that the accounts but the hog get 0.9 of what they get without it.
fn check_others_unharmed(load: Load) {
    for seed in 1..=5 {
        let calm = others(&play(&Load {
            seed,
            hog: 1.0,
            failure: Failure::None,
            ..load
        }));
        let outcomes = play(&Load { seed, ..load });
        let with = others(&outcomes);
        let kept = with.fraction_in_time() / calm.fraction_in_time();
        println!(
            "{load:?} seed {seed}: kept {kept:.3}, others {with:?}, hog {:?}",
            outcomes[HOG]
        );
        assert!(kept >= 0.9, "seed {seed}: {kept:.3} of {calm:?}: {with:?}");
    }
}

const HOG_LOAD: Load = Load { hog: 12.0, ..CALM };

#[test]
fn one_account_with_twelve_times_its_usual_load_harms_no_other() {
    check_others_unharmed(HOG_LOAD);
}

#[test]
fn one_account_harms_no_other_while_a_third_of_the_upstreams_is_slow() {
    check_others_unharmed(Load {
        slow_third: true,
        ..HOG_LOAD
    });
}

/// What cannot be in time is refused at once, and no fewer requests are in time than if load is shed by urgency alone.
#[test]
fn nobody_waits_for_the_deadline_while_a_third_of_the_upstreams_is_slow() {
    for seed in 1..=5 {
        let burst = Load {
            slow_third: true,
            hog: 1.8,
            others: 1.8,
            seed,
            ..CALM
        };
        let sum = |load: &Load| {
            let mut all = Outcome::default();
            play(load).iter().flatten().for_each(|held| all.add(*held));
            all
        };
        let unshared = sum(&Load {
            shares_room: false,
            ..burst
        });
        let all = sum(&burst);
        println!("slow third, seed {seed}: {all:?}, unshared {unshared:?}");
        assert_eq!(all.expired, 0, "seed {seed}: {all:?}");
        assert!(
            all.in_time >= unshared.in_time,
            "seed {seed}: {all:?} against {unshared:?}"
        );
    }
}

#[test]
fn callers_that_return_at_once_harm_no_other_account() {
    check_others_unharmed(Load {
        impatient: true,
        ..HOG_LOAD
    });
}

#[test]
fn the_loss_of_the_leader_harms_no_other_account() {
    check_others_unharmed(Load {
        failure: Failure::LeaderLost,
        ..HOG_LOAD
    });
}

#[test]
fn a_gateway_that_is_cut_off_harms_no_other_account() {
    check_others_unharmed(Load {
        failure: Failure::GatewayCutOff,
        ..HOG_LOAD
    });
}

#[test]
fn a_restart_of_half_of_the_gateways_harms_no_other_account() {
    check_others_unharmed(Load {
        failure: Failure::HalfRestarted,
        ..HOG_LOAD
    });
}

#[test]
fn nothing_is_refused_while_nothing_is_scarce() {
    for seed in 1..=5 {
        let outcomes = play(&Load { seed, ..CALM });
        let refused: u32 = outcomes.iter().flatten().map(|held| held.refused).sum();
        assert_eq!(refused, 0, "seed {seed}: {outcomes:?}");
    }
}

#[test]
fn a_burst_of_all_accounts_is_shared_by_all_and_shuts_out_no_kind() {
    for seed in 1..=5 {
        let burst = Load {
            hog: 2.5,
            others: 2.5,
            seed,
            ..CALM
        };
        let outcomes = play(&burst);
        for outcome in outcomes.iter().flatten() {
            assert!(outcome.in_time > 0, "seed {seed}: {outcomes:?}");
        }
        let all = |kind: usize| {
            let mut sum = Outcome::default();
            outcomes.iter().for_each(|held| sum.add(held[kind]));
            sum
        };
        println!("seed {seed}: {:?} {:?}", all(0), all(1));
        assert!(all(0).fraction_in_time() > all(1).fraction_in_time());
        assert_eq!(all(0).expired + all(1).expired, 0, "seed {seed}");
    }
}

#[test]
fn shares_follow_the_weights_and_none_within_its_share_is_refused() {
    let demand = |works: &[f64], admitted| Demand {
        accounts: works
            .iter()
            .enumerate()
            .map(|(i, work)| AccountDemand {
                account: name(i),
                work: *work,
            })
            .collect(),
        admitted,
    };
    let equal = |_: &AccountName| 1.0;
    let one_large = demand(&[9.0, 0.5, 0.5], 4.0);
    for level in [0.3, 0.6, 1.0] {
        let fractions = refused_fractions(&one_large, equal, level);
        assert!(
            fractions[0] > 0.0 && fractions[1..] == [0.0, 0.0],
            "{fractions:?}"
        );
    }
    let double = |account: &AccountName| f64::from(u8::from(*account == name(0))) + 1.0;
    let fractions = refused_fractions(&demand(&[6.0, 6.0], 6.0), double, 0.5);
    let kept = [1.0 - fractions[0], 1.0 - fractions[1]];
    assert!((kept[0] / kept[1] - 2.0).abs() < 0.01, "{fractions:?}");
    assert_eq!(refused_fractions(&one_large, equal, 0.0), [0.0; 3]);
}

#[test]
fn those_told_to_return_come_back_spread_and_before_newcomers() {
    let left = Duration::from_secs(3);
    let delays: BTreeSet<_> = (0..10)
        .map(|i| retry_after(Duration::from_millis(800), left, f64::from(i) / 10.0))
        .collect();
    assert_eq!(delays.len(), 10);
    assert!(delays.iter().all(|delay| *delay <= left / 3), "{delays:?}");
    let whole = Duration::from_secs(4);
    let (returned, new) = (
        rank_with_time(1.0, left, whole),
        rank_with_time(1.0, whole, whole),
    );
    assert!(refusal_probability(0.4, returned, 1.0) < refusal_probability(0.4, new, 1.0));
}

#[test]
fn pressure_ends_when_room_has_come_back() {
    let target = Duration::from_millis(500);
    let outlook = |wait_ms| Outlook {
        first: Duration::from_millis(wait_ms),
        pause: Duration::ZERO,
        work_seconds: 0.0,
    };
    let mut pressure = Pressure::default();
    let mut now = Duration::ZERO;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        pressure.record(&outlook(500), target, now);
    }
    assert!(pressure.level(now) > 0.9, "no request would be in time");
    now += Duration::from_secs(5);
    pressure.record(&outlook(0), target, now);
    let level = pressure.level(now);
    assert_eq!(
        level, 0.0,
        "the first request after an idle time finds room"
    );
}
