//! Finds out what makes upstreams crash, so that requests with it reach no further ones.
//!
//! An upstream that crashes cuts off all its requests, and any of them may be the cause. Gateways
//! report what these requests have in common with others. The cause of the crashes stands out: it is
//! cut off at several upstreams, one after the other, by more than one request, and no request with
//! it is answered. Whatever else the requests share also occurs in requests that are answered. See
//! docs/DECISIONS.md, "Requests that crash upstreams".

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
    time::Duration,
};

/// Upstreams that must crash under a cause, each at another time, before it is quarantined.
const MIN_CRASHES: usize = 3;
/// The same for a part of prompts if less than [`DOMINANT_FRACTION`] of all crashes happen under it, so that the reason
/// may be another one.
const MIN_CRASHES_AMONG_OTHERS: usize = 6;
/// Fraction of all crashes from which a part of prompts is their only probable cause.
const DOMINANT_FRACTION: f64 = 0.75;
/// Crashes from which gateways are asked whether requests with the cause are answered.
const MIN_SUSPECT_CRASHES: usize = 2;
/// Different requests that must be cut off with a prompt part before it is quarantined.
const MIN_REQUESTS: usize = 2;
/// Fraction of the crashes under the most frequent part of prompts that a more specific part must explain to be the
/// more probable cause.
const MIN_EXPLAINED_FRACTION: f64 = 0.75;
/// Crashes within this time may have one cause outside of the requests, such as a reclaimed zone, and count
/// as one.
const SIMULTANEOUS: Duration = Duration::from_millis(100);
/// Reports about one upstream within this time are about the same crash.
const MERGE_TIME: Duration = Duration::from_secs(2);
/// Time for gateways to learn of a suspect, to see a request with it answered, and to report that: a poll
/// of the controllers and half of another one.
const ANSWER_TIME: Duration = Duration::from_millis(1200);
/// Least time between two changes of the suspects, of which all gateways are told.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two evaluations.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a report until which evaluations may have another result.
const SETTLE_TIME: Duration = Duration::from_millis(3000);
/// Age at which a crash is forgotten.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which requests with a quarantined cause are refused.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Crashes that are remembered.
const MAX_CRASHES: usize = 1024;
/// Requests that are remembered of all crashes together, and of one.
const MAX_REQUESTS: usize = 8192;
const MAX_REQUESTS_PER_CRASH: usize = 256;
/// Shared parts of a prompt that are considered, from the last one; the first ones are those that most prompts
/// share.
pub const MAX_PARTS: usize = 16;
/// Causes that are considered of one request: the parts and the request itself.
const MAX_CAUSES: usize = MAX_PARTS + 1;
/// Causes that gateways are asked about at the same time.
const MAX_SUSPECTS: usize = 64;
/// Causes that are in quarantine at the same time.
pub const MAX_QUARANTINED: usize = 256;

/// What requests have in common that may crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// A part of a prompt, by its hash.
    Part(u64),
    /// A request that comes again, by the hash of its method, path, account and body.
    Request(u64),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(hash) => write!(f, "part {hash:x}"),
            Self::Request(hash) => write!(f, "request {hash:x}"),
        }
    }
}

/// Lists causes for a log line.
pub fn join(causes: impl Iterator<Item = Cause>) -> String {
    let causes: Vec<_> = causes.map(|cause| cause.to_string()).collect();
    causes.join(", ")
}

/// A request that its upstream cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// The upstream's address.
    pub upstream: Arc<str>,
    /// When it happened.
    pub at: Duration,
    /// Differs between any two requests, and is the same when one is sent again.
    pub request: u64,
    /// What the request shares with others, the most general first.
    pub causes: Vec<Cause>,
}

/// An upstream that cut off requests.
#[derive(Debug)]
struct Crash {
    upstream: Arc<str>,
    at: Duration,
    requests: Vec<CrashedRequest>,
    explanation: Explanation,
}

/// Which requests may have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Explanation {
    /// Any of them.
    Unknown,
    /// Only the one with this hash, which is in quarantine. It may be deadly for what it shares with others.
    Request(u64),
    /// A quarantined part of a prompt.
    Part,
}

/// A request that may have caused a crash.
#[derive(Debug)]
struct CrashedRequest {
    request: u64,
    at: Duration,
    /// What it shares with others that were not answered since, each with the number of more general causes.
    causes: Vec<(usize, Cause)>,
}

/// How often a cause was cut off.
#[derive(Debug, Default)]
struct Tally<'a> {
    /// The crashes, in order of time.
    crashes: Vec<(Duration, &'a str)>,
    requests: BTreeSet<u64>,
    /// Number of more general causes in a request, at most.
    depth: usize,
}

impl Tally<'_> {
    /// Returns the part of the crashes that happened under the cause, since the first one that did; `all` are the
    /// separate times of all crashes.
    fn fraction(&self, all: &[Duration]) -> f64 {
        let own = separate_times(self.crashes.iter().map(|(at, _)| *at));
        let first = own.first().copied().unwrap_or(Duration::MAX);
        let since_first = all.iter().filter(|at| **at >= first).count();
        own.len() as f64 / since_first.max(own.len()).max(1) as f64
    }

    /// Counts the upstreams that crashed until `until`, each at another time.
    fn count(&self, until: Duration) -> usize {
        let mut counted: Vec<(Duration, &str)> = Vec::new();
        for (at, upstream) in self.crashes.iter().take_while(|(at, _)| *at <= until) {
            let is_separate = counted
                .last()
                .is_none_or(|(last, _)| at.saturating_sub(*last) >= SIMULTANEOUS);
            if is_separate && !counted.iter().any(|(_, known)| known == upstream) {
                counted.push((*at, upstream));
            }
        }
        counted.len()
    }
}

/// Returns those of the times, in their order, that are not simultaneous with the one before.
fn separate_times(times: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut separate: Vec<Duration> = Vec::new();
    for at in times {
        let last = separate.last();
        if last.is_none_or(|last| at.saturating_sub(*last) >= SIMULTANEOUS) {
            separate.push(at);
        }
    }
    separate
}

/// A cause that may be put into quarantine, with the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The cause.
    pub cause: Cause,
    /// Number of more general causes in a request with it, at most.
    pub depth: usize,
    /// Upstreams that crashed under it, each at another time.
    pub crashes: usize,
    /// Different requests that were cut off with it.
    pub requests: usize,
    /// Whether most of all crashes since its first one happened under it.
    pub is_dominant: bool,
}

impl Evidence {
    fn suffices(&self) -> bool {
        let (min_crashes, min_requests) = match self.cause {
            Cause::Part(_) if self.is_dominant => (MIN_CRASHES, MIN_REQUESTS),
            Cause::Part(_) => (MIN_CRASHES_AMONG_OTHERS, MIN_REQUESTS),
            // One request rarely comes again and is cut off each time by chance.
            Cause::Request(_) => (MIN_CRASHES, 1),
        };
        self.crashes >= min_crashes && self.requests >= min_requests
    }
}

/// What an evaluation changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Whether the suspects are others than before.
    pub suspects: bool,
    /// The causes that are now in quarantine.
    pub quarantined: Vec<Evidence>,
}

/// The crashes that gateways reported, and what follows from them. All times are those of one clock.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: VecDeque<Crash>,
    /// The causes that gateways are asked about, with the time since when.
    suspects: BTreeMap<Cause, Duration>,
    suspects_changed_at: Option<Duration>,
    /// The causes in quarantine, with its end.
    quarantined: BTreeMap<Cause, Duration>,
    refreshed_at: Option<Duration>,
    /// Whether something was reported since then.
    is_changed: bool,
    /// When the last reports have had all their effects.
    settled_at: Duration,
}

impl CrashLedger {
    /// Records a request that an upstream cut off.
    pub fn record(&mut self, cut_off: CutOff) {
        let is_same = |crash: &&mut Crash| {
            crash.upstream == cut_off.upstream && crash.at.abs_diff(cut_off.at) < MERGE_TIME
        };
        let causes = cut_off.causes.iter();
        let known = causes.filter(|cause| self.quarantined.contains_key(cause));
        let explanations: Vec<_> = known.map(|cause| cause.explanation()).collect();
        self.make_room();
        self.is_changed = true;
        let crash = match self.crashes.iter_mut().find(is_same) {
            Some(crash) => crash,
            None => {
                self.crashes.push_back(Crash {
                    upstream: Arc::clone(&cut_off.upstream),
                    at: cut_off.at,
                    requests: Vec::new(),
                    explanation: Explanation::Unknown,
                });
                let Some(crash) = self.crashes.back_mut() else {
                    return;
                };
                crash
            }
        };
        for explanation in explanations {
            crash.explain(explanation);
        }
        let is_candidate = crash.explanation.leaves(cut_off.request);
        let mut requests = crash.requests.iter();
        let is_known = requests.any(|known| known.request == cut_off.request);
        if is_candidate && !is_known && crash.requests.len() < MAX_REQUESTS_PER_CRASH {
            let first = cut_off.causes.len().saturating_sub(MAX_CAUSES);
            let causes = cut_off.causes.into_iter().enumerate().skip(first);
            crash.requests.push(CrashedRequest {
                request: cut_off.request,
                at: cut_off.at,
                causes: causes.collect(),
            });
        }
    }

    /// Forgets the oldest crashes if too much is remembered.
    fn make_room(&mut self) {
        let mut requests: usize = self.crashes.iter().map(|crash| crash.requests.len()).sum();
        while self.crashes.len() >= MAX_CRASHES || requests >= MAX_REQUESTS {
            let oldest = self.crashes.pop_front();
            requests -= oldest.map_or(requests, |crash| crash.requests.len());
        }
    }

    /// Records that a request with the cause was answered at `at`, so that no earlier crash is due to it.
    pub fn clear(&mut self, cause: Cause, at: Duration) {
        let requests = self
            .crashes
            .iter_mut()
            .flat_map(|crash| &mut crash.requests);
        for request in requests.filter(|request| request.at <= at) {
            let before = request.causes.len();
            request.causes.retain(|(_, known)| *known != cause);
            self.is_changed |= request.causes.len() < before;
        }
    }

    /// Puts a cause into quarantine until `until`, as another controller did. Returns whether that is new.
    pub fn adopt(&mut self, cause: Cause, until: Duration, now: Duration) -> bool {
        if until <= now || self.quarantined.contains_key(&cause) {
            return false;
        }
        self.quarantine(cause, until);
        true
    }

    fn quarantine(&mut self, cause: Cause, until: Duration) {
        self.is_changed = true;
        if self.quarantined.len() >= MAX_QUARANTINED {
            let first = self.quarantined.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(cause, _)| *cause) {
                self.quarantined.remove(&first);
            }
        }
        self.quarantined.insert(cause, until);
        for crash in &mut self.crashes {
            let causes = crash.requests.iter().flat_map(|request| &request.causes);
            if causes.into_iter().any(|(_, known)| *known == cause) {
                crash.explain(cause.explanation());
            }
        }
    }

    /// Evaluates the crashes and the answers that were reported.
    pub fn refresh(&mut self, now: Duration) -> Changes {
        let is_recent = |at: Duration| now.saturating_sub(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return Changes::default();
        }
        self.refreshed_at = Some(now);
        self.quarantined.retain(|_, until| *until > now);
        if std::mem::take(&mut self.is_changed) {
            self.settled_at = now + SETTLE_TIME;
        }
        if now > self.settled_at {
            return Changes::default();
        }
        self.crashes
            .retain(|crash| now.saturating_sub(crash.at) < CRASH_LIFETIME);
        let mut changes = Changes {
            suspects: self.update_suspects(&self.ranking(now), now),
            quarantined: Vec::new(),
        };
        while let Some(evidence) = self.strongest(now) {
            self.quarantine(evidence.cause, now + QUARANTINE_TIME);
            changes.quarantined.push(evidence);
        }
        changes
    }

    /// Returns the causes under which more than one upstream crashed until `until`, those with most crashes first.
    fn ranking(&self, until: Duration) -> Vec<Evidence> {
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_by_key(|crash| crash.at);
        let all = separate_times(crashes.iter().map(|crash| crash.at));
        let mut tallies: BTreeMap<Cause, Tally<'_>> = BTreeMap::new();
        for crash in crashes {
            for request in &crash.requests {
                for (depth, cause) in &request.causes {
                    let tally = tallies.entry(*cause).or_default();
                    tally.requests.insert(request.request);
                    tally.depth = tally.depth.max(*depth);
                    tally.crashes.push((request.at, &crash.upstream));
                }
            }
        }
        for tally in tallies.values_mut() {
            tally.crashes.sort();
        }
        let tallies = tallies.into_iter().filter(|(cause, tally)| {
            let is_open = !self.quarantined.contains_key(cause);
            is_open && tally.crashes.len() >= MIN_SUSPECT_CRASHES
        });
        let ranking = tallies.map(|(cause, tally)| Evidence {
            cause,
            is_dominant: tally.fraction(&all) >= DOMINANT_FRACTION,
            depth: tally.depth,
            crashes: tally.count(until),
            requests: tally.requests.len(),
        });
        let mut ranking: Vec<_> = ranking
            .filter(|evidence| evidence.crashes >= MIN_SUSPECT_CRASHES)
            .collect();
        ranking.sort_by_key(|evidence| std::cmp::Reverse((evidence.crashes, evidence.depth)));
        ranking
    }

    /// Returns the most probable cause, if the evidence suffices and gateways had time to contradict it. That is the
    /// most specific one of those that explain most crashes: what its requests always have in common as well
    /// explains as many.
    fn strongest(&self, now: Duration) -> Option<Evidence> {
        let ranking = self.ranking(now.saturating_sub(ANSWER_TIME));
        let sufficient = || ranking.iter().filter(|evidence| evidence.suffices());
        let most = sufficient().next()?.crashes as f64;
        let probable = sufficient().filter(|evidence| {
            evidence.crashes as f64 >= most * evidence.cause.min_explained_fraction()
        });
        let evidence = *probable.max_by_key(|evidence| (evidence.depth, evidence.requests))?;
        let since = self.suspects.get(&evidence.cause)?;
        (now.saturating_sub(*since) >= ANSWER_TIME).then_some(evidence)
    }

    /// Takes the first causes of the ranking as suspects. Returns whether that changes them.
    fn update_suspects(&mut self, ranking: &[Evidence], now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < SUSPECTS_INTERVAL;
        if self.suspects_changed_at.is_some_and(is_recent) {
            return false;
        }
        let causes = ranking.iter().take(MAX_SUSPECTS);
        let suspects: BTreeMap<_, _> = causes
            .map(|evidence| {
                let since = self.suspects.get(&evidence.cause).copied();
                (evidence.cause, since.unwrap_or(now))
            })
            .collect();
        let is_changed = suspects != self.suspects;
        if is_changed {
            self.suspects = suspects;
            self.suspects_changed_at = Some(now);
        }
        is_changed
    }

    /// Returns the causes of which gateways report whether requests with them are answered.
    pub fn suspects(&self) -> impl Iterator<Item = Cause> {
        self.suspects.keys().copied()
    }

    /// Returns the causes in quarantine, with the time left.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = (Cause, Duration)> {
        let all = self.quarantined.iter();
        all.map(move |(cause, until)| (*cause, until.saturating_sub(now)))
            .filter(|(_, left)| !left.is_zero())
    }
}

impl Cause {
    /// Returns the fraction of the crashes under the most frequent cause that this more specific one must explain to be
    /// the more probable one. A part that crashes upstreams also does so in other requests.
    fn min_explained_fraction(self) -> f64 {
        match self {
            Self::Part(_) => MIN_EXPLAINED_FRACTION,
            Self::Request(_) => 1.0,
        }
    }

    /// Returns what follows for the other requests of a crash under the cause.
    fn explanation(self) -> Explanation {
        match self {
            Self::Part(_) => Explanation::Part,
            Self::Request(hash) => Explanation::Request(hash),
        }
    }
}

impl Explanation {
    /// Returns whether a request may have caused the crash.
    fn leaves(self, request: u64) -> bool {
        match self {
            Self::Unknown => true,
            Self::Request(only) => only == request,
            Self::Part => false,
        }
    }
}

impl Crash {
    /// Forgets the requests that did not cause the crash.
    fn explain(&mut self, explanation: Explanation) {
        if self.explanation == Explanation::Part {
            return;
        }
        self.explanation = explanation;
        self.requests
            .retain(|request| explanation.leaves(request.request));
    }
}
