//! Spreads the instances of one service over availability zones at the least cost.

/// Largest fraction of the time in which the load may exceed the capacity that reclaims have left.
pub(super) const MAX_OVERLOAD_FRACTION: f64 = 0.01;

/// What one zone offers to a service.
#[derive(Clone, Debug)]
pub(super) struct ZoneOffer {
    /// Reclaimable instances.
    pub(super) reclaimable: Offer,
    /// On-demand instances.
    pub(super) on_demand: Offer,
    /// Fraction of the time in which the zone's reclaimable instances are all unavailable.
    pub(super) away_fraction: f64,
}

/// Offer of one kind of instance in one zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    /// Price of an instance per hour of service, in millionths; it includes the time lost to
    /// reclaims.
    pub(super) price: i64,
    /// Most instances that are available.
    pub(super) max: u32,
}

/// Instances of one service in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ZoneCount {
    pub(super) reclaimable: u32,
    pub(super) on_demand: u32,
}

impl ZoneCount {
    pub(super) fn total(self) -> u32 {
        self.reclaimable + self.on_demand
    }
}

/// Returns the cheapest `count` instances with at most `max_per_zone` in one zone, or fewer if the
/// zones do not offer as many.
pub(super) fn cheapest(zones: &[ZoneOffer], count: u32, max_per_zone: u32) -> Vec<ZoneCount> {
    let mut offers: Vec<_> = zones
        .iter()
        .enumerate()
        .flat_map(|(i, zone)| [(zone.reclaimable, i, true), (zone.on_demand, i, false)])
        .collect();
    offers.sort_by_key(|&(offer, i, reclaimable)| (offer.price, i, !reclaimable));
    let mut counts = vec![ZoneCount::default(); zones.len()];
    let mut left = count;
    for (offer, i, reclaimable) in offers {
        let taken = left.min(offer.max).min(max_per_zone - counts[i].total());
        left -= taken;
        match reclaimable {
            true => counts[i].reclaimable += taken,
            false => counts[i].on_demand += taken,
        }
    }
    counts
}

/// Returns the cheapest spread that keeps `need` instances after the loss of any one zone, or
/// `None` if the zones do not offer one.
pub(super) fn zone_safe(zones: &[ZoneOffer], need: u32) -> Option<Vec<ZoneCount>> {
    let others = (zones.len() as u32).checked_sub(1).filter(|&n| n > 0)?;
    // With at most `max` in one zone and `need + max` in total, any one zone may be lost.
    (need.div_ceil(others)..=need)
        .map(|max| (max, cheapest(zones, need + max, max)))
        .filter(|(max, counts)| total(counts) == need + max)
        .map(|(_, counts)| counts)
        .min_by_key(|counts| price(zones, counts))
}

/// Returns `count` instances, spread over the zones as evenly as their offers allow.
pub(super) fn even(zones: &[ZoneOffer], count: u32) -> Vec<ZoneCount> {
    let each = count.div_ceil(zones.len().max(1) as u32);
    (each..=count)
        .map(|max| cheapest(zones, count, max))
        .find(|counts| total(counts) == count)
        .unwrap_or_else(|| cheapest(zones, count, count))
}

/// Returns the closest approximation of [`zone_safe`] where the zones do not offer one.
pub(super) fn widest_affordable(zones: &[ZoneOffer], need: u32) -> Vec<ZoneCount> {
    let others = (zones.len() as u32).saturating_sub(1);
    let spare = need.checked_div(others).unwrap_or(0);
    even(zones, need + spare)
}

/// Replaces reclaimable instances by on-demand ones until simultaneous reclaims in several zones
/// leave fewer than `need` for at most [`MAX_OVERLOAD_FRACTION`] of the time.
pub(super) fn harden(zones: &[ZoneOffer], mut counts: Vec<ZoneCount>, need: u32) -> Vec<ZoneCount> {
    while overload_fraction(zones, &counts, need) > MAX_OVERLOAD_FRACTION {
        let replaceable = |&i: &usize| {
            let room = zones[i].on_demand.max > counts[i].on_demand;
            room && counts[i].reclaimable > 0
        };
        let loss_per_price = |i: usize| {
            let premium = zones[i].on_demand.price - zones[i].reclaimable.price;
            zones[i].away_fraction * f64::from(counts[i].reclaimable) / premium.max(1) as f64
        };
        let worst = (0..zones.len())
            .filter(replaceable)
            .max_by(|&a, &b| loss_per_price(a).total_cmp(&loss_per_price(b)));
        let Some(i) = worst else {
            break;
        };
        counts[i].reclaimable -= 1;
        counts[i].on_demand += 1;
    }
    counts
}

/// Returns the fraction of the time in which fewer than `need` instances are available, if the
/// reclaimable instances of a zone come and go together and the zones are independent.
pub(super) fn overload_fraction(zones: &[ZoneOffer], counts: &[ZoneCount], need: u32) -> f64 {
    let spare = total(counts).saturating_sub(need) as usize;
    // Probability of each number of unavailable instances, up to the spare ones.
    let mut away = vec![0.0; spare + 1];
    away[0] = 1.0;
    for (zone, count) in zones.iter().zip(counts) {
        let step = count.reclaimable as usize;
        if step == 0 {
            continue;
        }
        for lost in (0..=spare).rev() {
            let before = lost.checked_sub(step).map_or(0.0, |i| away[i]);
            away[lost] = away[lost] * (1.0 - zone.away_fraction) + before * zone.away_fraction;
        }
    }
    1.0 - away.iter().sum::<f64>()
}

pub(super) fn total(counts: &[ZoneCount]) -> u32 {
    counts.iter().map(|count| count.total()).sum()
}

fn price(zones: &[ZoneOffer], counts: &[ZoneCount]) -> i64 {
    zones
        .iter()
        .zip(counts)
        .map(|(zone, count)| {
            i64::from(count.reclaimable) * zone.reclaimable.price
                + i64::from(count.on_demand) * zone.on_demand.price
        })
        .sum()
}
