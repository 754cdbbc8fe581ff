//! Quotas divided by demand admit more than equal parts, and never more than the whole.

use std::time::Duration;

use flamingocroft::{
    domain::{Quota, QuotaUnit},
    policy::quota::{
        GatewayDemand, QuotaRule, QuotaSplit, TokenBucket, divide, floor_fraction, gateway_limit,
        split,
    },
};
use proptest::prelude::*;

const QUOTA: Quota = Quota {
    per_second: 100_000.0,
    burst: 360_000.0,
    unit: QuotaUnit::Requests,
};
const RULE: QuotaRule = QuotaRule {
    window: Some(Duration::from_secs(8)),
    overage: 0.1,
    slack: 110_000.0,
};
const GATEWAYS: usize = 8;
const REQUEST: f64 = 9_000.0;

/// Simulates a minute of requests of one size that arrive at random gateways, `rate` per second.
/// Returns when units were admitted, and how many.
fn simulate(admission: QuotaSplit, rate: u64) -> Vec<(f64, f64)> {
    let part = gateway_limit(admission.gateways, 1.0 / GATEWAYS as f64);
    let mut buckets = vec![TokenBucket::new(part.capacity, Duration::ZERO); GATEWAYS];
    let mut reserve = TokenBucket::new(admission.reserve.capacity, Duration::ZERO);
    let (mut admitted, mut seed) = (Vec::new(), 7_u64);
    for i in 0..rate * 60 {
        let now = Duration::from_secs_f64(i as f64 / rate as f64);
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let bucket = &mut buckets[(seed >> 33) as usize % GATEWAYS];
        let taken = bucket.take(REQUEST, part, now);
        if taken.is_ok() || reserve.take(REQUEST, admission.reserve, now).is_ok() {
            admitted.push((now.as_secs_f64(), REQUEST));
        }
    }
    admitted
}

fn max_in_a_window(admitted: &[(f64, f64)], window: f64) -> f64 {
    let from = |start: f64| {
        let inside = admitted
            .iter()
            .filter(|(at, _)| (start..start + window).contains(at));
        inside.map(|(_, units)| units).sum::<f64>()
    };
    admitted.iter().map(|(at, _)| from(*at)).fold(0.0, f64::max)
}

#[test]
fn excess_demand_gets_the_window_and_stays_within_the_rule() {
    let admitted = simulate(split(&QUOTA, &RULE), 40);
    let window = QUOTA.per_second * 8.0 + QUOTA.burst;
    let most = max_in_a_window(&admitted, 8.0);
    assert!(most <= window * (1.0 + RULE.overage) + RULE.slack, "{most}");
    assert!(most >= window * 0.95, "{most} of {window}");
    // A bucket that gains its burst only once leaves a fifth of the allowance unused.
    let naive = simulate(split(&QUOTA, &QuotaRule::default()), 40);
    let sum = |admitted: &[(f64, f64)]| admitted.iter().map(|(_, units)| units).sum::<f64>();
    assert!(sum(&admitted) > 1.2 * sum(&naive));
}

#[test]
fn demand_below_the_quota_is_rarely_refused() {
    // Ten requests per second need 90,000 of 100,000 units.
    let admitted = simulate(split(&QUOTA, &RULE), 10);
    assert!(admitted.len() > 590, "{} of 600", admitted.len());
}

/// Returns what gateways with these fractions of a quota admit per second of the demand at each.
fn admitted(parts: &[f64], asked: &[f64], quota: f64) -> f64 {
    parts
        .iter()
        .zip(asked)
        .map(|(part, asked)| asked.min(part * quota))
        .sum()
}

#[test]
fn uneven_demand_within_the_quota_is_served() {
    // Eight gateways; the last two have as much demand as three others.
    let asked = [29.0, 29.0, 29.0, 34.0, 34.0, 34.0, 51.0, 51.0];
    let total: f64 = asked.iter().sum();
    let quota = total * 1.1;
    let equal = [1.0 / 8.0; 8];
    let by_equal = admitted(&equal, &asked, quota);
    let by_demand = admitted(&divide(&asked.map(GatewayDemand::Reporting)), &asked, quota);
    assert!(
        by_equal < total * 0.95,
        "equal parts admit {by_equal} of {total}"
    );
    assert!(
        by_demand > total * 0.99,
        "parts by demand admit {by_demand} of {total}"
    );
}

#[test]
fn a_gateway_without_demand_keeps_its_floor() {
    let parts = divide(&[
        GatewayDemand::Reporting(100.0),
        GatewayDemand::Reporting(0.0),
    ]);
    assert!((parts[1] - floor_fraction(2)).abs() < 1e-9);
}

proptest! {
    #[test]
    fn the_fractions_never_exceed_the_whole(
        demands in proptest::collection::vec(0.0..1e9f64, 1..80),
        silent in proptest::collection::vec(0.0..0.2f64, 0..5),
    ) {
        let demands_of_gateways: Vec<_> = demands
            .into_iter()
            .map(GatewayDemand::Reporting)
            .chain(silent.iter().copied().map(GatewayDemand::Silent))
            .collect();
        let parts = divide(&demands_of_gateways);
        prop_assert!(parts.iter().sum::<f64>() <= 1.0 + 1e-9);
        prop_assert!(parts.iter().all(|part| *part >= 0.0));
        let kept = &parts[parts.len() - silent.len()..];
        prop_assert_eq!(kept, &silent[..]);
    }
}
