//! Autoscaling: how many upstreams a service needs, and in which zones to order them.
//!
//! The need follows from the current demand, at a utilization at which first events still come
//! quickly. It is held at its recent maximum for a while, since an upstream takes seconds to start.
//! Enough upstreams to serve in time are ordered on demand, and cheaper reclaimable ones on top.
//! See docs/DECISIONS.md, "Ordering upstreams".

use std::{collections::VecDeque, fmt, time::Duration};

use super::spread::{self, Offer, ZoneOffer};
use crate::domain::ZoneName;

/// Utilization of slots and of prefill time at which callers are still served in time. The
/// upstreams that this needs are ordered on demand: all reclaimable ones may be reclaimed within
/// seconds, and none may be available for a while.
const SUFFICIENT_UTILIZATION: Utilization = Utilization {
    spare_slots: 1.04,
    prefill_fraction: 0.75,
};
/// Utilization at which first events are quick and a burst finds room. Reclaimable upstreams make
/// up the difference.
const COMFORTABLE_UTILIZATION: Utilization = Utilization {
    spare_slots: 1.73,
    prefill_fraction: 0.5,
};
/// Prompt tokens prefilled per token that is new to all engines, since shared prefixes are
/// recomputed on engines that have not cached them.
const RECOMPUTE_FACTOR: f64 = 1.25;
/// Time for which the need must have been observed before it is used.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// How long a need counts after it was observed.
const NEED_RETENTION: Duration = Duration::from_secs(20);
/// Fraction of the initial engines that is kept until the need has been observed for
/// [`NEED_RETENTION`]: the first seconds miss the variation of load within a minute.
const INITIAL_RETAINED_FRACTION: f64 = 0.5;
/// Smallest decrease that is worth the caches lost by removing engines.
const MIN_DECREASE: u32 = 2;

/// Smallest usable fraction of the slots, for engines with few of them.
const MIN_SLOT_FRACTION: f64 = 0.25;

/// Target utilization of engines.
#[derive(Clone, Copy, Debug)]
struct Utilization {
    /// Slots that stay free for random variation, in square roots of an engine's slots: the number
    /// of requests in progress at one engine varies by about its square root (square-root
    /// staffing).
    spare_slots: f64,
    prefill_fraction: f64,
}

/// How many engines a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Engines to serve callers in time.
    pub sufficient: u32,
    /// Engines to serve them quickly, bursts included; at least as many.
    pub comfortable: u32,
}

/// Current demand of a service.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests in progress.
    pub in_flight: f64,
    /// New prompt tokens per second.
    pub prompt_tokens_per_second: f64,
}

/// Writes the value of `used` in the log event `order.sent`, whose names are part of the log format.
impl fmt::Debug for ServiceDemand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Use")
            .field("in_flight", &self.in_flight)
            .field("prompt_tokens", &self.prompt_tokens_per_second)
            .finish()
    }
}

/// Capacity of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that it prefills per second.
    pub prefill_tokens_per_second: f64,
}

/// Returns how many engines a demand needs.
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

/// The highest need observed within `NEED_RETENTION`.
#[derive(Clone, Debug, Default)]
pub struct NeedTracker {
    sufficient: SlidingMax,
    comfortable: SlidingMax,
    /// When the first need was recorded.
    started_at: Option<Duration>,
    /// Engines present at the first plan.
    initial_engines: Option<u32>,
}

impl NeedTracker {
    /// Records the current need.
    pub fn record(&mut self, now: Duration, need: Need) {
        self.started_at.get_or_insert(now);
        self.sufficient.record(now, need.sufficient);
        self.comfortable.record(now, need.comfortable);
    }

    /// Returns the need to plan for, once it has been observed for long enough. Until it has been
    /// observed for `NEED_RETENTION`, a fraction of the engines present at the first plan is
    /// kept.
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

/// Maximum of a number over the sliding window [`NEED_RETENTION`].
#[derive(Clone, Debug, Default)]
struct SlidingMax {
    /// Numbers that no later one reaches, the highest first (a monotonic queue).
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

/// What one zone offers to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneMarket {
    /// The zone.
    pub zone: ZoneName,
    /// Price of an on-demand upstream per second.
    pub price: f64,
    /// Price of a reclaimable upstream per second, if the zone offers any.
    pub reclaimable_price: Option<f64>,
    /// Whether reclaimable upstreams are currently unavailable.
    pub is_sold_out: bool,
    /// Fewest upstreams of both kinds together.
    pub min: u32,
    /// Most upstreams of both kinds together.
    pub max: u32,
}

impl ZoneMarket {
    /// Returns the fewest upstreams to order. A table may state a least count above the greatest one, which then holds.
    fn least(&self) -> u32 {
        self.min.min(self.max)
    }
}

/// Target counts of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: ZoneName,
    /// Reclaimable upstreams.
    pub reclaimable: u32,
    /// On-demand upstreams.
    pub on_demand: u32,
    /// On-demand upstreams that should stay if they are present, because the comfortable need can't
    /// be met otherwise at the moment.
    pub kept: u32,
}

/// Returns the target of each zone: the sufficient engines on demand, evenly over the zones, and
/// the engines that the comfortable need adds as reclaimable ones, if any are offered.
pub fn zone_targets(need: Need, markets: &[ZoneMarket]) -> Vec<ZoneTarget> {
    let has_reclaimable = markets.iter().any(|m| m.reclaimable_price.is_some());
    let further = need.comfortable.saturating_sub(need.sufficient);
    let (on_demand, reclaimable) = match has_reclaimable {
        true => (need.sufficient, further),
        false => (need.comfortable, 0),
    };
    let on_demand_offers: Vec<ZoneOffer> = markets
        .iter()
        .map(|market| offer(market, market.price, market.max, false))
        .collect();
    let on_demand_counts = spread::even(&on_demand_offers, on_demand);
    let reclaimable_offers: Vec<ZoneOffer> = markets
        .iter()
        .zip(&on_demand_counts)
        .map(|(market, on_demand)| {
            let left = market
                .max
                .saturating_sub(on_demand.total().max(market.least()));
            let price = market.reclaimable_price.unwrap_or(market.price);
            offer(market, price, left, true)
        })
        .collect();
    let reclaimable_counts = spread::even(&reclaimable_offers, reclaimable);
    let missing = reclaimable.saturating_sub(spread::total(&reclaimable_counts));
    let missing = missing.div_ceil(markets.len().max(1) as u32);
    let counts = on_demand_counts.into_iter().zip(reclaimable_counts);
    markets
        .iter()
        .zip(counts)
        .map(|(market, (on_demand, reclaimable))| ZoneTarget {
            zone: market.zone.clone(),
            reclaimable: reclaimable.reclaimable,
            on_demand: on_demand.on_demand.max(market.least()),
            kept: (on_demand.on_demand + missing).clamp(market.least(), market.max),
        })
        .collect()
}

/// The orders of one zone that the platform has accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptedOrders {
    /// Reclaimable upstreams.
    pub reclaimable: Option<u32>,
    /// On-demand upstreams.
    pub on_demand: Option<u32>,
}

/// Upstreams of one service in one zone that are not leaving.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct PresentUpstreams {
    /// Reclaimable upstreams.
    pub reclaimable: u32,
    /// On-demand upstreams.
    pub on_demand: u32,
}

/// Writes the value of `present` in the log event `order.sent`, whose names are part of the log format.
impl fmt::Debug for PresentUpstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Present")
            .field("reclaimable", &self.reclaimable)
            .field("on_demand", &self.on_demand)
            .finish()
    }
}

/// The next order in one zone: the target count of one kind of upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextOrder {
    /// How many.
    pub count: u32,
    /// Whether they are reclaimable.
    pub reclaimable: bool,
}

/// Returns the next order that brings a zone nearer to its target, if any. While reclaimable
/// upstreams are sold out the present ones stay: a lower order would remove them.
pub fn next_order(
    target: &ZoneTarget,
    ordered: AcceptedOrders,
    present: PresentUpstreams,
    is_sold_out: bool,
) -> Option<NextOrder> {
    let current = ordered.on_demand.unwrap_or(present.on_demand);
    // Surplus on-demand upstreams are removed only after the reclaimable ones have arrived.
    let missing = target.reclaimable.saturating_sub(present.reclaimable);
    let kept = target.kept.max(target.on_demand + missing);
    let kept = current.min(kept).max(target.on_demand);
    let is_settled = is_sold_out || ordered.reclaimable == Some(target.reclaimable);
    if kept > current || (is_settled && kept < current) {
        return Some(NextOrder {
            count: kept,
            reclaimable: false,
        });
    }
    (!is_settled).then_some(NextOrder {
        count: target.reclaimable,
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
