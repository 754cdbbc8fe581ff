//! Divides an account's quota among gateways.
//!
//! Callers connect where they are sent, so gateways see unequal parts of an account's requests. Equal
//! parts of its quota would then refuse at one gateway what others leave unused. Each gateway has a
//! small floor that it may always use, also when no controller answers; the rest follows demand.
//! See docs/DECISIONS.md, "Quotas".

/// Part of a quota that is divided equally, so that a gateway without demand so far, or without
/// contact, can admit some requests.
const FLOOR: f64 = 0.2;

/// Returns the part of a quota that every one of some gateways may always use.
pub fn floor(gateways: usize) -> f64 {
    FLOOR / gateways.max(1) as f64
}

/// Returns each gateway's part of a quota, given what callers asked of it. The parts add up to one at
/// most; without any demand they are equal.
pub fn divide(demands: &[f64]) -> Vec<f64> {
    let count = demands.len();
    let total: f64 = demands.iter().sum();
    if total <= 0.0 {
        return vec![1.0 / count.max(1) as f64; count];
    }
    demands
        .iter()
        .map(|demand| floor(count) + (1.0 - FLOOR) * demand / total)
        .collect()
}
