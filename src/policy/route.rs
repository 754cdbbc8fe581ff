//! Chooses the upstream instance for a request.
//!
//! The cost of an instance is the expected wait for a slot and for the prompts queued before, plus
//! the prefill of the prompt tokens that it has not cached, plus the cost of crossing a zone.
//! Instances of nearly equal cost are ordered by a rendezvous hash of the conversation. Gateways
//! that see the same stale report therefore do not all choose the same instance, and every gateway
//! finds a conversation's home instance without coordination. See docs/DECISIONS.md, "Routing".
//!
//! Instances of unequal speed have homes in proportion to their speeds, by weighted rendezvous hashing,
//! and their queues cost what they take there. This answers a load that spread evenly would fill the
//! slow ones first. See docs/design/PACES.md.

use std::{cmp::Reverse, time::Duration};

use super::pace::{Outlook, Pace};
use crate::domain::{InstanceName, RoutingWeights, ZoneName};

/// Time constant of the decay of trust in a load report: at this age its deviation from the
/// expected load counts for little more than a third.
const REPORT_TRUST_DECAY: Duration = Duration::from_millis(1000);

/// Costs that differ by less than this fraction of a queued request count as equal, unless the
/// weights say otherwise. A short cached prefix, shared by many conversations, is then no reason to
/// leave a conversation's home.
const EQUAL_COST_QUEUED_REQUESTS: f64 = 0.5;

/// Pseudo-count of requests that damps the gateway's own requests as a sample of what all gateways
/// send.
const SAMPLE_PRIOR_REQUESTS: f64 = 4.0;

/// Cost of an instance whose slots are all in use but whose queue is empty, in queued requests.
const FULL_BATCH_QUEUED_REQUESTS: f64 = 1.0;

/// Utilization below which an instance costs nothing: a half-full batch is fast.
const FREE_LOAD_FRACTION: f64 = 0.5;

/// An instance that may get the request. Leaving instances are not candidates.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Its last load report, if any.
    pub report: Option<Report>,
    /// Requests that this gateway sent to it after that report was made.
    pub sent_since_report: u32,
    /// This gateway's requests in progress at it.
    pub in_progress: u32,
    /// Prompt tokens of this request that it has cached according to its events; `None` if its
    /// cache events are missing or old.
    pub cached_tokens: Option<u32>,
    /// Estimated time for which it prefills other prompts before it begins with this request.
    pub prefill_wait: Duration,
    /// How fast it works.
    pub pace: Pace,
    /// Whether this gateway reaches it only through another one, which costs as much as crossing a zone.
    pub is_behind_gateway: bool,
    /// Whether its last request failed or timed out.
    pub suspect: bool,
}

/// An instance's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Age of the report now.
    pub age: Duration,
}

/// Input of a routing decision.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The gateway's availability zone.
    pub zone: ZoneName,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash that is the same for all requests of a conversation; see [`super::prefix::home`].
    pub home: u64,
}

/// Why a candidate was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the conversation's home.
    Home,
    /// It is the best of those that cost less than the home.
    Cheaper,
    /// All candidates are suspect; this one is the best of them.
    AllSuspect,
}

impl Reason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::Home, Self::Cheaper, Self::AllSuspect];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Cheaper => "cheaper",
            Self::AllSuspect => "all_suspect",
        }
    }
}

/// Returns the index of the best candidate, or `None` if there is none.
///
/// Suspect candidates are chosen only if all candidates are suspect.
pub fn choose(
    req: &RouteRequest,
    candidates: &[Candidate],
    weights: &RoutingWeights,
) -> Option<usize> {
    choose_with_reason(req, candidates, weights).map(|(position, _)| position)
}

/// Like [`choose`], and also returns the reason.
pub fn choose_with_reason(
    req: &RouteRequest,
    candidates: &[Candidate],
    weights: &RoutingWeights,
) -> Option<(usize, Reason)> {
    let all_suspect = candidates.iter().all(|c| c.suspect);
    let is_usable = |c: &Candidate| all_suspect || !c.suspect;
    let means = Means::of(candidates.iter().filter(|c| is_usable(c)));
    let ranking = Ranking::of(candidates);
    let home = home(req, candidates, ranking, is_usable);
    let scored: Vec<ScoredCandidate> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| is_usable(c))
        .map(|(i, c)| ScoredCandidate {
            position: i,
            rank: ranking.rank(req, c),
            ..score(req, weights, means, c, home == Some(i))
        })
        .collect();
    let cheapest = scored
        .iter()
        .map(ScoredCandidate::cost)
        .min_by(f64::total_cmp)?;
    let default_band = weights.ms_per_queued_request * EQUAL_COST_QUEUED_REQUESTS;
    let max_cost = cheapest + weights.ms_of_equal_cost.unwrap_or(default_band);
    let near_cheapest = || scored.iter().filter(move |r| r.cost() <= max_cost);
    let position = near_cheapest()
        .filter(|r| !near_cheapest().any(|other| other.dominates(r)))
        .max_by_key(|r| (r.rank, Reverse(r.position)))
        .map(|r| r.position)?;
    let reason = match (all_suspect, home == Some(position)) {
        (true, _) => Reason::AllSuspect,
        (false, true) => Reason::Home,
        (false, false) => Reason::Cheaper,
    };
    Some((position, reason))
}

/// What a request takes at an upstream of usual speed.
#[derive(Clone, Copy, Debug)]
pub struct UsualWork {
    /// Time for its own work.
    pub own: Duration,
    /// Time to prefill the part of its prompt that is shared with others, where it is not cached.
    pub recompute: Duration,
    /// Time until a full upstream begins the next request of its queue.
    pub turn: Duration,
    /// Mean pause between two events of its answer.
    pub pause: Duration,
}

/// Returns what a request may expect of the candidate that begins it first; `None` without candidates.
pub fn outlook(req: &RouteRequest, candidates: &[Candidate], work: &UsualWork) -> Option<Outlook> {
    let all_suspect = candidates.iter().all(|c| c.suspect);
    let is_usable = |c: &Candidate| all_suspect || !c.suspect;
    let means = Means::of(candidates.iter().filter(|c| is_usable(c)));
    let home = home(req, candidates, Ranking::of(candidates), is_usable);
    let all = candidates.iter().enumerate();
    let outlooks = all.filter(|(_, c)| is_usable(c)).map(|(i, candidate)| {
        let slots = f64::from(candidate.slots.max(1));
        let queued = ((load(candidate, means) - 1.0) * slots).max(0.0);
        let slowness = candidate.pace.slowness();
        let recompute = match home == Some(i) {
            true => Duration::ZERO,
            false => work.recompute,
        };
        let seconds = |of: Duration, factor: f64| of.as_secs_f64() * factor;
        let duration = |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        let own = seconds(work.own.saturating_add(recompute), slowness);
        let turns = seconds(work.turn, queued * slowness);
        Outlook {
            first: duration(candidate.prefill_wait.as_secs_f64() + turns + own),
            pause: duration(seconds(work.pause, slowness)),
            work_seconds: own,
        }
    });
    outlooks.min_by_key(|outlook| outlook.first)
}

/// Returns the position of the conversation's home among the usable candidates.
fn home(
    req: &RouteRequest,
    candidates: &[Candidate],
    ranking: Ranking,
    is_usable: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let all = candidates.iter().enumerate();
    all.filter(|(_, c)| is_usable(c))
        .max_by_key(|(_, c)| ranking.rank(req, c))
        .map(|(i, _)| i)
}

/// How the candidates for a conversation are ordered; its home is the one with the highest rank.
#[derive(Clone, Copy, Debug)]
enum Ranking {
    /// By their rendezvous hashes.
    Even,
    /// By weighted rendezvous hashing, which gives each homes in proportion to its speed.
    BySpeed,
}

impl Ranking {
    fn of(candidates: &[Candidate]) -> Self {
        match candidates.iter().all(|c| c.pace.speed == 1.0) {
            true => Self::Even,
            false => Self::BySpeed,
        }
    }

    fn rank(self, req: &RouteRequest, candidate: &Candidate) -> u64 {
        let hash = rendezvous(req.home, &candidate.instance);
        match self {
            Self::Even => hash,
            Self::BySpeed => weighted_rank(hash, candidate.pace.speed),
        }
    }
}

/// Returns the rank of a hash with a weight: that of `-ln(hash) / weight`, the lowest first.
fn weighted_rank(hash: u64, weight: f64) -> u64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let distance = -uniform.min(1.0).ln() / weight;
    // The bits of floating-point numbers that are not negative have the same order as the numbers.
    u64::MAX - distance.abs().to_bits()
}

/// A candidate with the terms of its cost, in milliseconds.
#[derive(Default)]
struct ScoredCandidate {
    position: usize,
    rank: u64,
    wait: f64,
    prefill: f64,
    crossing: f64,
}

impl ScoredCandidate {
    fn cost(&self) -> f64 {
        self.wait + self.prefill + self.crossing
    }

    /// Returns whether this candidate is better in every term (Pareto dominance).
    fn dominates(&self, other: &Self) -> bool {
        self.wait < other.wait && self.prefill < other.prefill && self.crossing < other.crossing
    }
}

fn score(
    req: &RouteRequest,
    weights: &RoutingWeights,
    means: Means,
    candidate: &Candidate,
    is_home: bool,
) -> ScoredCandidate {
    // Every gateway without cache events sends a conversation to its home, so its prompt is
    // expected to be cached there.
    let expected = if is_home { req.prompt_tokens } else { 0 };
    let cached = candidate.cached_tokens.unwrap_or(expected);
    let uncached = f64::from(req.prompt_tokens.saturating_sub(cached));
    let crossing = f64::from(u8::from(candidate.zone != req.zone))
        + f64::from(u8::from(candidate.is_behind_gateway));
    let slowness = candidate.pace.slowness();
    ScoredCandidate {
        wait: queued_requests(candidate, means) * weights.ms_per_queued_request * slowness
            + candidate.prefill_wait.as_secs_f64() * 1000.0,
        prefill: uncached / 1000.0 * weights.ms_per_thousand_uncached_tokens * slowness,
        crossing: crossing * weights.ms_per_zone_crossing,
        ..ScoredCandidate::default()
    }
}

/// Returns the queue that a request would meet, in requests: none up to a half-full batch, rising
/// to one at a full batch, plus one for each request above it.
fn queued_requests(candidate: &Candidate, means: Means) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let load = load(candidate, means) * slots;
    let batch =
        ((load / slots).min(1.0) - FREE_LOAD_FRACTION).max(0.0) / (1.0 - FREE_LOAD_FRACTION);
    batch * FULL_BATCH_QUEUED_REQUESTS + (load - slots).max(0.0)
}

/// Estimates the load of a candidate as a fraction of its slots. The estimate moves from the report
/// to the expected load as the report ages; this gateway's own requests are known exactly.
fn load(candidate: &Candidate, means: Means) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let own = f64::from(candidate.in_progress) / slots;
    let expected_load = means.usual_load(candidate);
    let Some(report) = candidate.report else {
        return expected_load.max(own);
    };
    let sent = f64::from(candidate.sent_since_report) / slots;
    let trust = (-report.age.as_secs_f64() / REPORT_TRUST_DECAY.as_secs_f64()).exp();
    let estimate =
        expected_load + (reported_load(report, candidate.slots) - expected_load) * trust + sent;
    estimate.max(own)
}

fn reported_load(report: Report, slots: u32) -> f64 {
    f64::from(report.running + report.queued) / f64::from(slots.max(1))
}

/// Means over the candidates.
#[derive(Clone, Copy)]
struct Means {
    /// Reported load, as a fraction of the slots.
    load: f64,
    /// This gateway's requests in progress.
    own: f64,
}

impl Means {
    fn of<'a>(candidates: impl Iterator<Item = &'a Candidate> + Clone) -> Self {
        let load = candidates
            .clone()
            .filter_map(|c| Some(reported_load(c.report?, c.slots)));
        Self {
            load: mean(load),
            own: mean(candidates.map(|c| f64::from(c.in_progress))),
        }
    }

    /// Returns the expected load without a report. All gateways send a conversation to the same
    /// home, so this gateway's requests in progress there are a sample of what the others have.
    fn usual_load(self, candidate: &Candidate) -> f64 {
        let own = f64::from(candidate.in_progress);
        self.load * (own + SAMPLE_PRIOR_REQUESTS) / (self.own + SAMPLE_PRIOR_REQUESTS)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}

/// Returns the rendezvous hash of an instance for a conversation; the instance with the highest one
/// is its home. The hash function is fixed here, because all versions of the gateway must agree on
/// it.
fn rendezvous(home: u64, instance: &InstanceName) -> u64 {
    rendezvous_hash(home, instance.as_str())
}

/// Returns the rendezvous hash of a name for a key.
pub(super) fn rendezvous_hash(key: u64, name: &str) -> u64 {
    mix(name_hash(name) ^ mix(key))
}

/// Returns how many of the names come before a name in the order of their rendezvous hashes for a key, the highest first.
pub(super) fn rendezvous_rank<'a>(
    key: u64,
    name: &str,
    names: impl Iterator<Item = &'a str>,
) -> usize {
    let place = |name| (rendezvous_hash(key, name), name);
    names.filter(|other| place(other) > place(name)).count()
}

/// Returns the FNV-1a hash of a name.
pub(super) fn name_hash(name: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The finalizer of SplitMix64, which spreads each input bit over the whole output.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
