//! Quotas divided by demand admit what equal parts refuse, and never more than the whole.

use flamingocroft::policy::quota::{divide, floor};
use proptest::prelude::*;

/// What gateways with these parts admit in a second, of what callers ask of each.
fn admitted(parts: &[f64], asked: &[f64], quota: f64) -> f64 {
    parts
        .iter()
        .zip(asked)
        .map(|(part, asked)| asked.min(part * quota))
        .sum()
}

#[test]
fn uneven_demand_within_the_quota_is_served() {
    // Eight gateways; the callers of the last two are as many as those of three others.
    let asked = [29.0, 29.0, 29.0, 34.0, 34.0, 34.0, 51.0, 51.0];
    let total: f64 = asked.iter().sum();
    let quota = total * 1.1;
    let equal = [1.0 / 8.0; 8];
    let by_equal = admitted(&equal, &asked, quota);
    let by_demand = admitted(&divide(&asked), &asked, quota);
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
    let parts = divide(&[100.0, 0.0]);
    assert!((parts[1] - floor(2)).abs() < 1e-9);
}

proptest! {
    #[test]
    fn the_parts_never_exceed_the_whole(demands in proptest::collection::vec(0.0..1e9f64, 1..80)) {
        let parts = divide(&demands);
        prop_assert!(parts.iter().sum::<f64>() <= 1.0 + 1e-9);
        prop_assert!(parts.iter().all(|part| *part >= floor(demands.len()) - 1e-12));
    }
}
