//! Weighted max-min division of whole slots, which is dynamic equipartitioning with weights.

/// Divides slots: nobody gets more than it asks, and who gets less than it asks gets no less, by
/// weight and up to one slot, than any other. The sum is the smaller of the slots and of all asks.
pub(super) fn divide(asks: &[u32], weights: &[u32], slots: u32) -> Vec<u32> {
    let mut given = vec![0; asks.len()];
    let mut open: Vec<usize> = (0..asks.len()).filter(|&i| asks[i] > 0).collect();
    let mut left = slots;
    loop {
        let parts = parts(&open, weights, left);
        let (satisfied, rest): (Vec<_>, Vec<_>) = open
            .iter()
            .zip(parts)
            .partition(|&(&i, part)| asks[i] <= part);
        if satisfied.is_empty() {
            give_parts(&mut given, asks, &rest, left);
            return given;
        }
        for (&i, _) in satisfied {
            given[i] = asks[i];
            left -= asks[i];
        }
        open = rest.into_iter().map(|(&i, _)| i).collect();
    }
}

/// Returns each one's part of the slots by weight, rounded down.
fn parts(open: &[usize], weights: &[u32], slots: u32) -> Vec<u32> {
    let weight = |i: usize| u64::from(weights[i].max(1));
    let total: u64 = open.iter().map(|&i| weight(i)).sum();
    open.iter()
        .map(|&i| (u64::from(slots) * weight(i) / total.max(1)) as u32)
        .collect()
}

/// Gives everyone its part, and what rounding left over one by one to the first.
fn give_parts(given: &mut [u32], asks: &[u32], parts: &[(&usize, u32)], slots: u32) {
    let mut left = slots - parts.iter().map(|&(_, part)| part).sum::<u32>();
    for &(&i, part) in parts {
        let extra = u32::from(left > 0 && part < asks[i]);
        given[i] = part + extra;
        left -= extra;
    }
}
