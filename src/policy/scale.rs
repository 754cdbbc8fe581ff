//! How many upstreams a service needs, and where to order them.
//!
//! The need follows from what callers use now, at a filling at which first events are still quick; it is
//! kept for a while, since an upstream takes seconds to start. Enough are ordered for good, and
//! cheaper reclaimable ones on top. See docs/DECISIONS.md, "Ordering upstreams".

use std::{collections::VecDeque, time::Duration};

use super::spread::{self, Offer, ZoneOffer};
use crate::domain::ZoneName;

/// Part of the slots in use, and of the time spent on reading prompts, at which callers are still
/// served in time. What this needs is ordered for good: reclaimable upstreams may all be taken back
/// within seconds, and none be there for a while.
const SUFFICIENT_UTILIZATION: Utilization = Utilization {
    spare_slots: 1.04,
    prefill_fraction: 0.75,
};
/// The same at which first events are quick and a burst finds room. Reclaimable upstreams make up the
/// difference.
const COMFORTABLE_UTILIZATION: Utilization = Utilization {
    spare_slots: 1.73,
    prefill_fraction: 0.5,
};
/// Prompt tokens read for each one that is new to all engines, since shared parts are read again on
/// engines that do not hold them.
const RECOMPUTE_FACTOR: f64 = 1.25;
/// Time after which a need that was watched is believed.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// How long a need is kept after it was seen.
const NEED_RETENTION: Duration = Duration::from_secs(20);
/// Part of the engines of the start that stays until a need was watched for [`KEPT_FOR`]: the first
/// seconds miss the swing of a minute.
const INITIAL_RETAINED_FRACTION: f64 = 0.5;
/// Needs that differ by less are not worth the lost caches of a change downwards.
const MIN_DECREASE: u32 = 2;

/// Part of the slots that counts at least, for engines with few of them.
const MIN_SLOT_FRACTION: f64 = 0.25;

/// How full engines may be.
#[derive(Clone, Copy, Debug)]
struct Utilization {
    /// Slots that stay free for chance, in square roots of an engine's slots: the requests in progress at one
    /// engine scatter by the square root of their number (square-root staffing).
    spare_slots: f64,
    prefill_fraction: f64,
}

/// How many engines a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// To serve callers in time.
    pub sufficient: u32,
    /// To serve them quickly, bursts included; at least as many.
    pub comfortable: u32,
}

/// How much a service is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests in progress.
    pub in_flight: f64,
    /// New prompt tokens per second.
    pub prompt_tokens_per_second: f64,
}

/// What one engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it prefills per second.
    pub prefill_tokens_per_second: f64,
}

/// Returns how many engines a use needs.
pub fn engines_needed(demand: ServiceDemand, capacity: EngineCapacity) -> Need {
    Need {
        sufficient: engines(demand, capacity, SUFFICIENT_UTILIZATION),
        comfortable: engines(demand, capacity, COMFORTABLE_UTILIZATION),
    }
}

fn engines(demand: ServiceDemand, capacity: EngineCapacity, utilization: Utilization) -> u32 {
    let slots = f64::from(capacity.slots.max(1));
    let slots = (slots - utilization.spare_slots * slots.sqrt()).max(slots * MIN_SLOT_FRACTION);
    let prefill_rate = capacity.prefill_tokens_per_second.max(1.0) * utilization.prefill_fraction;
    let by_slots = demand.in_flight / slots;
    let by_prefill = demand.prompt_tokens_per_second * RECOMPUTE_FACTOR / prefill_rate;
    by_slots.max(by_prefill).ceil().max(1.0) as u32
}

/// The highest need of the last while.
#[derive(Clone, Debug, Default)]
pub struct NeedTracker {
    sufficient: SlidingMax,
    comfortable: SlidingMax,
    /// When the first need was taken.
    started_at: Option<Duration>,
    /// Engines at the first plan.
    initial_engines: Option<u32>,
}

impl NeedTracker {
    /// Takes the need of now.
    pub fn record(&mut self, now: Duration, need: Need) {
        self.started_at.get_or_insert(now);
        self.sufficient.record(now, need.sufficient);
        self.comfortable.record(now, need.comfortable);
    }

    /// Returns the need to plan for, if the meter has watched for long enough. Until it has seen its
    /// whole time it keeps a part of the engines that are present at first.
    pub fn plan(&mut self, now: Duration, present: u32) -> Option<Need> {
        let observed = now.saturating_sub(self.started_at?);
        if observed < MIN_OBSERVATION_TIME {
            return None;
        }
        let initial_engines = *self.initial_engines.get_or_insert(present);
        let min_engines = match observed < NEED_RETENTION {
            true => (f64::from(initial_engines) * INITIAL_RETAINED_FRACTION) as u32,
            false => 0,
        };
        let sufficient = self.sufficient.planned?.max(min_engines);
        Some(Need {
            sufficient,
            comfortable: self.comfortable.planned?.max(sufficient),
        })
    }
}

/// The highest number of the last while.
#[derive(Clone, Debug, Default)]
struct SlidingMax {
    /// Numbers that no later one exceeds, the highest first.
    peaks: VecDeque<(Duration, u32)>,
    planned: Option<u32>,
}

impl SlidingMax {
    fn record(&mut self, now: Duration, need: u32) {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= need) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, need));
        let is_expired = |(at, _): &(Duration, u32)| now.saturating_sub(*at) > NEED_RETENTION;
        while self.peaks.front().is_some_and(is_expired) {
            self.peaks.pop_front();
        }
        let peak = self.peaks.front().map_or(need, |(_, peak)| *peak);
        let planned = match self.planned {
            Some(planned) if peak <= planned && planned - peak < MIN_DECREASE => planned,
            _ => peak,
        };
        self.planned = Some(planned);
    }
}

/// What one zone offers.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneMarket {
    /// The zone.
    pub zone: ZoneName,
    /// Price of an upstream for a second.
    pub price: f64,
    /// Price of a reclaimable one, if there are any.
    pub reclaimable_price: Option<f64>,
    /// Whether no reclaimable ones are to be had now.
    pub is_sold_out: bool,
    /// Fewest upstreams of both kinds together.
    pub min: u32,
    /// Most upstreams of both kinds together.
    pub max: u32,
}

/// What to order in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: ZoneName,
    /// Reclaimable upstreams.
    pub reclaimable: u32,
    /// Upstreams that are not taken back.
    pub on_demand: u32,
    /// Upstreams that are not taken back and should stay, if they are there, because comfort can't be
    /// had otherwise now.
    pub kept: u32,
}

/// Returns what to order: the sufficient engines for good, evenly over the zones, and the further ones
/// that comfort needs as reclaimable ones, if there are any.
pub fn zone_targets(need: Need, markets: &[ZoneMarket]) -> Vec<ZoneTarget> {
    let has_reclaimable = markets.iter().any(|m| m.reclaimable_price.is_some());
    let further = need.comfortable.saturating_sub(need.sufficient);
    let (on_demand, reclaimable) = match has_reclaimable {
        true => (need.sufficient, further),
        false => (need.comfortable, 0),
    };
    let on_demand_counts: Vec<ZoneOffer> = markets
        .iter()
        .map(|market| offer(market, market.price, market.max, false))
        .collect();
    let on_demand_counts = spread::even(&on_demand_counts, on_demand);
    let further: Vec<ZoneOffer> = markets
        .iter()
        .zip(&on_demand_counts)
        .map(|(market, ordered)| {
            let left = market.max.saturating_sub(ordered.total().max(market.min));
            let price = market.reclaimable_price.unwrap_or(market.price);
            offer(market, price, left, true)
        })
        .collect();
    let further = spread::even(&further, reclaimable);
    let missing = reclaimable.saturating_sub(spread::total(&further));
    let missing = missing.div_ceil(markets.len().max(1) as u32);
    let counts = on_demand_counts.into_iter().zip(further);
    markets
        .iter()
        .zip(counts)
        .map(|(market, (on_demand_counts, further))| ZoneTarget {
            zone: market.zone.clone(),
            reclaimable: further.reclaimable,
            on_demand: on_demand_counts.on_demand.max(market.min),
            kept: (on_demand_counts.on_demand + missing).clamp(market.min, market.max),
        })
        .collect()
}

/// What was ordered in one zone and is known to be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptedOrders {
    /// Reclaimable upstreams.
    pub reclaimable: Option<u32>,
    /// Upstreams that are not taken back.
    pub on_demand: Option<u32>,
}

/// Upstreams of one service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PresentUpstreams {
    /// Reclaimable upstreams.
    pub reclaimable: u32,
    /// Upstreams that are not taken back.
    pub on_demand: u32,
}

/// The next order in one zone: how many upstreams of which kind there should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextOrder {
    /// How many.
    pub count: u32,
    /// Whether the platform may take them back.
    pub reclaimable: bool,
}

/// Returns the order that brings a zone nearer to what is wanted there, if one does. In a dry zone the
/// reclaimable upstreams that are there stay: to order fewer would send them away.
pub fn next_order(
    wanted: &ZoneTarget,
    ordered: AcceptedOrders,
    present: PresentUpstreams,
    is_sold_out: bool,
) -> Option<NextOrder> {
    let current = ordered.on_demand.unwrap_or(present.on_demand);
    // Upstreams that are not wanted for good go only after the reclaimable ones have come.
    let missing = wanted.reclaimable.saturating_sub(present.reclaimable);
    let kept = wanted.kept.max(wanted.on_demand + missing);
    let kept = current.min(kept).max(wanted.on_demand);
    let is_settled = is_sold_out || ordered.reclaimable == Some(wanted.reclaimable);
    if kept > current || (is_settled && kept < current) {
        return Some(NextOrder {
            count: kept,
            reclaimable: false,
        });
    }
    (!is_settled).then_some(NextOrder {
        count: wanted.reclaimable,
        reclaimable: true,
    })
}

fn offer(market: &ZoneMarket, price: f64, max: u32, reclaimable: bool) -> ZoneOffer {
    let none = Offer {
        price: to_micros(market.price),
        max: 0,
    };
    let some = Offer {
        price: to_micros(price),
        max,
    };
    let (reclaimable, on_demand) = match reclaimable {
        true if market.reclaimable_price.is_some() && !market.is_sold_out => (some, none),
        true => (none, none),
        false => (none, some),
    };
    ZoneOffer {
        reclaimable,
        on_demand,
        away_fraction: 0.0,
    }
}

fn to_micros(price: f64) -> i64 {
    (price * 1e6) as i64
}
