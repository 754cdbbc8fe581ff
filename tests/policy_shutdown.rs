//! How long a gateway that shuts down stays, and which requests it still takes.

use std::{sync::Arc, time::Duration};

use flamingocroft::policy::shutdown::{Admission, LongestTimes, PendingRequest, ShutdownPlan};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Some callers keep addresses three times as long as they are told.
const SLOWEST_CALLERS: u32 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(ms(8000), ms(1000))
}

fn request(time_left: u64, longest: Option<u64>) -> PendingRequest {
    PendingRequest {
        time_left: ms(time_left),
        longest: longest.map(ms),
    }
}

fn is_taken(plan: &ShutdownPlan, elapsed: u64, req: &PendingRequest) -> bool {
    plan.admit(ms(elapsed), req, 1) == Admission::Take
}

#[test]
fn an_idle_gateway_stays_until_the_slowest_callers_drop_its_address() {
    for ttl in [ms(0), ms(100), ms(1000), ms(2000)] {
        let plan = ShutdownPlan::new(ms(8000), ttl);
        assert!(plan.stay() >= ttl * SLOWEST_CALLERS + ms(500), "{ttl:?}");
        assert!(plan.stay() <= ms(8000));
    }
    let stay = ShutdownPlan::new(ms(8000), ms(5000)).stay();
    assert!(stay > ms(7000) && stay < ms(8000), "{stay:?}");
    assert!(ShutdownPlan::new(ms(30_000), Duration::MAX).stay() < ms(30_000));
}

#[test]
fn every_limit_leaves_time_to_serve_and_time_to_end() {
    for limit in [0, 1, 300, 1000, 3000, 8000, 600_000].map(ms) {
        let plan = ShutdownPlan::new(limit, ms(1000));
        assert!(plan.stay() <= plan.close() && plan.close() <= plan.cut());
        assert!(plan.cut() >= limit / 2, "{plan:?}");
        assert!(plan.cut() < limit || limit.is_zero(), "{plan:?}");
    }
}

#[test]
fn a_request_whose_deadline_fits_is_taken_and_one_that_may_be_cut_is_refused() {
    let plan = plan();
    let close = plan.close().as_millis() as u64;
    for elapsed in [0, 2000, 3500, 6000, close] {
        let left = close - elapsed;
        assert!(is_taken(&plan, elapsed, &request(left, None)));
        assert!(!is_taken(&plan, elapsed, &request(left + 1, None)));
    }
    assert!(!is_taken(&plan, 20_000, &request(1, Some(0))));
}

#[test]
fn requests_that_were_short_are_taken_only_in_the_first_part() {
    let plan = plan();
    assert!(is_taken(&plan, 100, &request(15_000, Some(1000))));
    assert!(is_taken(&plan, 2900, &request(15_000, Some(1000))));
    assert!(!is_taken(&plan, 3100, &request(15_000, Some(1000))));
    assert!(!is_taken(&plan, 100, &request(15_000, Some(4200))));
    assert!(!is_taken(&plan, 100, &request(15_000, None)));
}

#[test]
fn a_refused_caller_waits_longer_if_there_is_no_other_gateway() {
    let retry_after = |others| match plan().admit(ms(0), &request(60_000, None), others) {
        Admission::Refuse(after) => after,
        Admission::Take => panic!("the request is taken"),
    };
    assert!(retry_after(0) > retry_after(1));
    assert_eq!(retry_after(1), retry_after(199));
    assert!(retry_after(1) > Duration::ZERO);
}

#[test]
fn the_longest_time_of_a_route_is_forgotten_after_two_windows() {
    let (fast, slow): (Arc<str>, Arc<str>) = ("fast".into(), "slow".into());
    let mut times = LongestTimes::default();
    times.record(&slow, ms(900), ms(1000));
    times.record(&slow, ms(500), ms(2000));
    times.record(&fast, ms(5), ms(2000));
    let seconds = Duration::from_secs;
    assert_eq!(times.longest("slow", seconds(50)), Some(ms(900)));
    assert_eq!(times.longest("fast", seconds(110)), Some(ms(5)));
    times.record(&slow, ms(300), seconds(111));
    assert_eq!(times.longest("slow", seconds(112)), Some(ms(900)));
    assert_eq!(times.longest("slow", seconds(160)), Some(ms(300)));
    assert_eq!(times.longest("fast", seconds(160)), None);
    assert_eq!(times.longest("slow", seconds(900)), None);
}

/// A gateway that leaves during the simulation, or not at all.
struct Gateway {
    leaves_at: Option<Duration>,
}

impl Gateway {
    fn elapsed(&self, now: Duration) -> Option<Duration> {
        now.checked_sub(self.leaves_at?)
    }
}

/// Callers resolve at any directory, keep the address up to three times as long as told and send requests of any
/// length; a directory hears late that a gateway leaves. Returns the requests sent, refused and taken up elsewhere.
fn simulate(gateways: &[Gateway], rng: &mut StdRng) -> [u32; 3] {
    let (plan, ttl) = (plan(), ms(1000));
    let [mut sent, mut refused, mut elsewhere] = [0; 3];
    for _ in 0..20_000 {
        let resolved = ms(rng.random_range(0..20_000));
        let directory_lag = ms(rng.random_range(0..400));
        let is_named = |gateway: &&Gateway| {
            let elapsed = gateway.elapsed(resolved);
            elapsed.is_none_or(|elapsed| elapsed < directory_lag)
        };
        let named: Vec<_> = gateways.iter().filter(is_named).collect();
        let gateway = named[rng.random_range(0..named.len())];
        let kept = ttl.mul_f64(rng.random_range(0.0..=f64::from(SLOWEST_CALLERS)));
        let arrived = resolved + kept;
        let Some(elapsed) = gateway.elapsed(arrived) else {
            continue;
        };
        sent += 1;
        let time = ms(rng.random_range(0..6000));
        let time_left = ms(rng.random_range(500..15_000));
        let longest = rng.random_bool(0.5).then(|| time.max(ms(1000)));
        let req = PendingRequest { time_left, longest };
        assert!(
            elapsed <= plan.stay(),
            "the gateway may have ended {elapsed:?} after its shutdown began"
        );
        match plan.admit(elapsed, &req, gateways.len() - 1) {
            Admission::Take => {
                let ends = elapsed + time.min(time_left);
                assert!(ends <= plan.cut(), "a request was cut at {ends:?}");
            }
            Admission::Refuse(after) => {
                refused += 1;
                let retried = arrived + after;
                let is_open = |gateway: &Gateway| gateway.elapsed(retried).is_none();
                elsewhere += u32::from(gateways.iter().any(is_open));
            }
        }
    }
    [sent, refused, elsewhere]
}

#[test]
fn callers_of_gateways_that_leave_in_turn_lose_nothing() {
    let mut rng = StdRng::seed_from_u64(49);
    for (count, leaving) in [(2, 1), (3, 2), (200, 66), (200, 199)] {
        let leaves_at =
            |i: usize| (i < leaving).then(|| ms(2000 + 10_000 * i as u64 / count as u64));
        let gateways: Vec<_> = (0..count)
            .map(|i| Gateway {
                leaves_at: leaves_at(i),
            })
            .collect();
        let [sent, refused, elsewhere] = simulate(&gateways, &mut rng);
        assert!(sent > 200, "{count}: {sent}");
        assert!(
            refused > 0 && refused < sent,
            "{count}: {refused} of {sent}"
        );
        assert_eq!(elsewhere, refused, "{count}");
    }
}
