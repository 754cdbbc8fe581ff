//! Weighted max-min fair division of whole slots, which is dynamic equipartitioning with weights.

/// Divides slots by max-min fairness: none gets more than its demand, and one that gets less than
/// its demand gets, relative to its weight and up to one slot, no less than any other. The sum is
/// the smaller of the slots and the total demand.
pub(super) fn divide(demands: &[u32], weights: &[u32], slots: u32) -> Vec<u32> {
    let mut granted = vec![0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).filter(|&i| demands[i] > 0).collect();
    let mut left = slots;
    loop {
        let shares = shares(&unsatisfied, weights, left);
        let (satisfied, limited): (Vec<_>, Vec<_>) = unsatisfied
            .iter()
            .zip(shares)
            .partition(|&(&i, share)| demands[i] <= share);
        if satisfied.is_empty() {
            grant_shares(&mut granted, demands, &limited, left);
            return granted;
        }
        for (&i, _) in satisfied {
            granted[i] = demands[i];
            left -= demands[i];
        }
        unsatisfied = limited.into_iter().map(|(&i, _)| i).collect();
    }
}

/// Returns the share of each by weight, rounded down.
fn shares(unsatisfied: &[usize], weights: &[u32], slots: u32) -> Vec<u32> {
    let weight = |i: usize| u64::from(weights[i].max(1));
    let total: u64 = unsatisfied.iter().map(|&i| weight(i)).sum();
    unsatisfied
        .iter()
        .map(|&i| (u64::from(slots) * weight(i) / total.max(1)) as u32)
        .collect()
}

/// Grants each its share, and the slots left over by rounding one by one to the first.
fn grant_shares(granted: &mut [u32], demands: &[u32], shares: &[(&usize, u32)], slots: u32) {
    let mut left = slots - shares.iter().map(|&(_, share)| share).sum::<u32>();
    for &(&i, share) in shares {
        let extra = u32::from(left > 0 && share < demands[i]);
        granted[i] = share + extra;
        left -= extra;
    }
}
