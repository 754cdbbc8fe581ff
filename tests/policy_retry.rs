//! Retries compared with "always immediately": what is retried, when, and how much it amplifies
//! load.

#[path = "naive/retry.rs"]
mod naive;

use std::time::Duration;

use flamingocroft::{
    policy::retry::{Failure, Retry, RetryBudget, RetryBudgetRule, WindowRetryBudget},
    ports::{Sent, UpstreamErrorKind},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

fn failure() -> Failure {
    Failure {
        kind: UpstreamErrorKind::Cut,
        sent: Sent::Maybe,
        idempotent: true,
        attempts: 1,
        remaining: Duration::from_secs(1),
        random: 0.5,
    }
}

#[test]
fn retries_only_what_is_safe_and_in_time() {
    let cases = [
        ("idempotent", failure(), true),
        (
            "may have run",
            Failure {
                idempotent: false,
                ..failure()
            },
            false,
        ),
        (
            "not sent",
            Failure {
                idempotent: false,
                sent: Sent::No,
                ..failure()
            },
            true,
        ),
        (
            "malformed stays malformed",
            Failure {
                kind: UpstreamErrorKind::Rejected,
                ..failure()
            },
            false,
        ),
        (
            "too late",
            Failure {
                remaining: Duration::from_millis(5),
                ..failure()
            },
            false,
        ),
        (
            "all attempts used",
            Failure {
                attempts: 3,
                ..failure()
            },
            false,
        ),
    ];
    for (name, failure, retried) in cases {
        let decision = RetryBudget::default().decide(&failure);
        assert_eq!(decision != Retry::GiveUp, retried, "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn delays_grow_and_differ(sixty_fourths in 0..=64_u32) {
        let random = f64::from(sixty_fourths) / 64.0;
        let after = |attempts, random| {
            match RetryBudget::default().decide(&Failure { attempts, random, ..failure() }) {
                Retry::After(delay) => delay,
                Retry::GiveUp => panic!("a new budget grants one retry"),
            }
        };
        prop_assert!(after(1, random) >= Duration::from_millis(5));
        prop_assert!(after(1, random) <= Duration::from_millis(15));
        prop_assert_eq!(after(2, random), after(1, random) * 2);
        let other = (random + 0.5) % 1.0;
        prop_assert_ne!(after(1, random), after(1, other));
    }

    #[test]
    fn a_budget_never_grants_more_than_it_earned(steps in proptest::collection::vec(any::<bool>(), 0..500)) {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retried) = (0, 0);
        for is_failure in steps {
            if !is_failure {
                budget.record_request();
                requests += 1;
            } else if budget.decide(&failure()) != Retry::GiveUp {
                retried += 1;
            }
        }
        prop_assert!(f64::from(retried) <= 3.0 + 0.1 * f64::from(requests) + 1e-6);
    }
}

/// Runs requests whose attempts fail with a probability; returns the attempts per request.
fn amplification(mut decide: impl FnMut(bool, &Failure) -> Retry, failing: f64) -> f64 {
    const REQUESTS: u32 = 2000;
    let mut rng = StdRng::seed_from_u64(5);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        let mut tries = 1;
        while rng.random_bool(failing) {
            let failure = Failure {
                attempts: tries,
                random: rng.random(),
                ..failure()
            };
            if tries == 50 || decide(tries == 1, &failure) == Retry::GiveUp {
                break;
            }
            tries += 1;
        }
        attempts += tries;
    }
    f64::from(attempts) / f64::from(REQUESTS)
}

#[test]
fn a_lost_zone_is_not_amplified() {
    for failing in [0.01, 0.33, 0.67, 1.0] {
        let mut budget = RetryBudget::default();
        let ours = amplification(
            |first, failure| {
                if first {
                    budget.record_request();
                }
                budget.decide(failure)
            },
            failing,
        );
        assert!(ours < 1.2, "{ours} attempts per request at {failing}");
    }
    let naive = amplification(|_, failure| naive::decide(failure), 0.33);
    assert!(naive > 1.4, "the naive version makes {naive}");
}

const RULE: RetryBudgetRule = RetryBudgetRule {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Every request fails and wants one retry, at all gateways at the same time: no window over all of
/// them holds more retries than the rule allows, for any number of gateways.
#[test]
fn retries_stay_within_the_rule_in_every_window() {
    for (gateways, per_second) in [(1, 100), (8, 30), (74, 10)] {
        let mut budgets = vec![WindowRetryBudget::default(); gateways];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for i in 0..per_second * 40 {
            let now = Duration::from_secs_f64(f64::from(i) / f64::from(per_second));
            for budget in &mut budgets {
                budget.record_request(&RULE, now);
                requests.push(now);
                if budget.try_spend(&RULE, gateways, now) {
                    retries.push(now);
                }
            }
        }
        for start in (0..30).map(Duration::from_secs) {
            let inside = |at: &&Duration| (start..start + RULE.window).contains(*at);
            let allowed = RULE.ratio * requests.iter().filter(inside).count() as f64 + RULE.slack;
            let made = retries.iter().filter(inside).count() as f64;
            assert!(
                made <= allowed,
                "{made} of {allowed} at {gateways} gateways"
            );
            assert!(
                made >= allowed / 2.0,
                "{made} of {allowed} at {gateways} gateways"
            );
        }
    }
}
