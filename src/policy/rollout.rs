//! Moves the requests of a service to a new software version, as far as what callers get allows it.
//!
//! The load that this answers: a version may fail or be slow at once, later, under load or on one route, and until
//! that is known, only a small and bounded number of requests may reach it. Sums over hundreds of gateways are late
//! by a poll, and gateways are cut off or restart. See docs/design/ROLLOUTS.md.

use std::{collections::BTreeMap, time::Duration};

/// Longest time for which a gateway may use a lease: it renews it several times within it.
const MAX_LEASE: Duration = Duration::from_millis(1500);
/// Time over which both versions are compared; several polls of all gateways fit into two of them.
const WINDOW: Duration = Duration::from_millis(500);
/// Time before the deadline at which an order that is not completed is rolled back, so that the end is committed in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Least time in a stage; a whole window and the reports of it fit in.
const MIN_STAGE_TIME: Duration = Duration::from_millis(1000);
/// Time in which a verdict on a sudden failure reaches the gateways: three windows, a poll and a commit.
const REACTION: Duration = Duration::from_millis(2200);
/// Silence of a gateway from which its requests in progress are not waited for; callers give up on it by then.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Time for which an allowance lasts at the present rate: a lease is renewed several times within it.
const ALLOWANCE_TIME: Duration = Duration::from_millis(1000);
/// Parts of the share that the bound allows, step by step. The last one leaves room for requests that are counted late.
const SMALL_SHARES: [f64; 2] = [0.3, 0.8];
/// Part of the slack that allowances may use before the service has got many requests.
const SLACK_PART: f64 = 0.5;
/// Fraction of the duration before which the service is not handed over, since a version may turn bad later.
const MIN_TRIAL: f64 = 0.5;
/// Good answers before the service is handed over: a version that fails one request in five passes them once in 250 times.
const MIN_ANSWERS: u64 = 25;
/// Good answers of each route with as many requests, for a version that is bad on one route.
const MIN_ROUTE_ANSWERS: u64 = 8;
/// Answers of the old version from which a route must be tried.
const TRIED_ROUTE_ANSWERS: u64 = 100;
/// First part of the service that is handed over, if the bound leaves room for it.
const HAND_OVER: f64 = 0.5;
/// Least part of the service in that step, if the bound leaves less.
const MIN_HAND_OVER: f64 = 0.2;
/// Part of the old servers' slots that the new ones must have: one server of three may be lost.
const MIN_CAPACITY: f64 = 2.0 / 3.0;
/// Fraction of bad answers that a sound version may have beyond that of the version beside it.
const SOUND_EXCESS: f64 = 0.02;
/// Fraction of bad answers by which a bad version exceeds a sound one.
const BAD_EXCESS: f64 = 0.2;
/// Natural logarithm of the odds at which a version counts as bad.
const BAD_SCORE: f64 = 12.0;
/// Most that one window adds, so that answers which a single crash cut off are no verdict.
const MAX_WINDOW_SCORE: f64 = 0.35 * BAD_SCORE;
/// Score above which the share is not raised.
const DOUBT_SCORE: f64 = 0.25 * BAD_SCORE;
/// Part of the old version's counts that is kept from window to window.
const KEPT_PART: f64 = 0.5;
/// Classes of waits for an answer's beginning.
pub const WAIT_CLASSES: usize = 12;
/// Classes, each wider by the square root of two, by which a slow answer lies above the old version's median.
const SLOW_CLASSES: usize = 3;
/// Part of a route's target below which callers notice no difference.
const UNNOTICED_PART: f64 = 0.125;

/// The bounds of a deployment on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Requests beyond it.
    pub slack: f64,
    /// Time from a bad version's 50th bad answer after which it gets no requests.
    pub rollback: Duration,
}

impl Bounds {
    /// Returns for how long a gateway may use a lease, from when it sent the request that the lease answers. A gateway that
    /// is told nothing stops well within the bound.
    pub fn lease(&self) -> Duration {
        MAX_LEASE.min(self.rollback / 3)
    }
}

/// Returns the class of an answer's wait, given the route's target: zero if callers notice no difference, then one more
/// for each factor of the square root of two.
pub fn wait_class(wait: Duration, target: Duration) -> usize {
    let ratio = wait.as_secs_f64() / (target.as_secs_f64() * UNNOTICED_PART).max(1e-3);
    match ratio > 1.0 {
        true => ((2.0 * ratio.log2()) as usize + 1).min(WAIT_CLASSES - 1),
        false => 0,
    }
}

/// Sums of the answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Answers by the class of their wait; see [`wait_class`].
    pub waits: [u64; WAIT_CLASSES],
    /// Requests that failed or were not answered in time.
    pub failed: u64,
    /// Answers that broke off; they are counted by their wait as well.
    pub broken: u64,
}

impl Answers {
    /// Returns the number of answers that began.
    fn begun(&self) -> u64 {
        self.waits.iter().copied().fold(0, u64::saturating_add)
    }

    /// Returns the number of answers and failures.
    pub fn count(&self) -> u64 {
        self.begun().saturating_add(self.failed)
    }

    /// Returns the number of bad ones.
    pub fn bad(&self) -> u64 {
        self.failed.saturating_add(self.broken)
    }

    /// Returns the number of good ones.
    pub fn good(&self) -> u64 {
        self.begun().saturating_sub(self.broken)
    }

    /// Adds others as one class of waits, for sums of routes whose classes can't be compared.
    fn add_unclassed(&mut self, other: &Self) {
        self.waits[0] = self.waits[0].saturating_add(other.begun());
        self.failed = self.failed.saturating_add(other.failed);
        self.broken = self.broken.saturating_add(other.broken);
    }

    fn combine(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            waits: std::array::from_fn(|class| f(self.waits[class], other.waits[class])),
            failed: f(self.failed, other.failed),
            broken: f(self.broken, other.broken),
        }
    }
}

/// Sums of the answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteAnswers {
    /// Answers of the old versions.
    pub old: Answers,
    /// Answers of the target.
    pub new: Answers,
}

impl RouteAnswers {
    fn combine(&self, other: &Self, f: impl Fn(u64, u64) -> u64 + Copy) -> Self {
        Self {
            old: self.old.combine(&other.old, f),
            new: self.new.combine(&other.new, f),
        }
    }
}

/// What a gateway counted since an order, as sums.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayReport {
    /// Increases with each start of the gateway, which resets the sums.
    pub incarnation: u64,
    /// Requests that reached the service.
    pub requests: u64,
    /// Requests sent to the target.
    pub exposed: u64,
    /// The allowance that the gateway holds.
    pub allowance: u64,
    /// The share of the target that the gateway holds.
    pub share: f64,
    /// Requests in progress at old servers.
    pub old_in_progress: u64,
    /// Answers by route.
    pub routes: BTreeMap<String, RouteAnswers>,
}

/// Slots of the listed servers of a service that are not leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// Slots of the old versions.
    pub old: u64,
    /// Slots of the target.
    pub new: u64,
    /// Slots of the target's servers that are still slow after their start, which are not among the others.
    pub cold: u64,
}

/// What a gateway may send to the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lease {
    /// Fraction of the requests.
    pub share: f64,
    /// Requests since the order that the gateway may have sent in all; unlimited if absent.
    pub allowance: Option<u64>,
}

/// Why an order was rolled back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Answers of the target failed or broke off more often than those of the old version, on this route.
    Failures(String),
    /// Answers of the target were slower, on this route.
    Slow(String),
    /// The deadline came before the target could take the service over.
    Deadline,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stage {
    /// Nothing goes to the target yet.
    #[default]
    Held,
    /// A small share goes to the target, within allowances.
    Trial(usize),
    /// A larger share goes to the target.
    HandingOver(f64),
    /// Everything goes to the target; requests in progress at old servers end.
    Draining,
}

/// What is decided about an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes on as before.
    Continue,
    /// It goes on in another stage.
    Enter(Stage),
    /// The target serves alone.
    Complete,
    /// The old version serves alone.
    RollBack(Reason),
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    report: GatewayReport,
    heard: Duration,
    /// The most that it was ever allowed in this incarnation.
    granted: u64,
    /// Requests that it had at the beginning of the window, and in the window before that.
    at_window: u64,
    in_window: u64,
}

impl Gateway {
    fn committed(&self) -> u64 {
        self.granted.max(self.report.exposed)
    }

    fn is_in_touch(&self, now: Duration, lease: Duration) -> bool {
        now.saturating_sub(self.heard) <= lease
    }
}

/// What is weighed for a route, or for all routes together.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Recent sums of the old version, decayed.
    old: [f64; WAIT_CLASSES],
    old_bad: f64,
    old_count: f64,
    failures: f64,
    slow: f64,
}

impl Evidence {
    fn weigh(&mut self, window: &RouteAnswers) {
        let waits = window.old.waits.iter();
        for (kept, count) in self.old.iter_mut().zip(waits) {
            *kept = *kept * KEPT_PART + *count as f64;
        }
        self.old_bad = self.old_bad * KEPT_PART + window.old.bad() as f64;
        self.old_count = self.old_count * KEPT_PART + window.old.count() as f64;
        let new_count = window.new.count() as f64;
        let new_bad = window.new.bad() as f64;
        add_score(
            &mut self.failures,
            new_bad,
            new_count,
            self.old_bad,
            self.old_count,
        );
        let answers: f64 = self.old.iter().sum();
        let slow_from = self.median() + SLOW_CLASSES;
        let slow_old: f64 = self.old.iter().skip(slow_from).sum();
        let slow_new = window.new.waits.iter().skip(slow_from);
        let slow_new = slow_new.copied().fold(0, u64::saturating_add);
        // Without answers of the old version there is nothing to compare waits with.
        if answers >= 1.0 {
            add_score(
                &mut self.slow,
                slow_new as f64,
                window.new.begun() as f64,
                slow_old,
                answers,
            );
        }
    }

    /// Returns the class of the old version's median wait.
    fn median(&self) -> usize {
        let half = self.old.iter().sum::<f64>() / 2.0;
        let mut sum = 0.0;
        let position = self.old.iter().position(|count| {
            sum += count;
            sum >= half
        });
        position.unwrap_or_default()
    }

    fn is_doubtful(&self) -> bool {
        self.failures.max(self.slow) > DOUBT_SCORE
    }
}

/// Adds to a score how much more likely the bad answers of a window are for a bad version than for a sound one. The score
/// starts again at zero, so that a version that turns bad later is not protected by its past.
fn add_score(score: &mut f64, bad: f64, count: f64, old_bad: f64, old_count: f64) {
    let rate = old_bad / old_count.max(1.0);
    let uncertainty = (rate * (1.0 - rate) / old_count.max(1.0)).sqrt();
    let sound = (rate + uncertainty + SOUND_EXCESS).min(0.75);
    let bad_rate = (sound + BAD_EXCESS).min(0.95);
    let good = (count - bad).max(0.0);
    let step = bad * (bad_rate / sound).ln() + good * ((1.0 - bad_rate) / (1.0 - sound)).ln();
    *score = (*score + step.min(MAX_WINDOW_SCORE)).max(0.0);
}

/// The decisions about one order. All times are the time since the order.
#[derive(Clone, Debug)]
pub struct Rollout {
    bounds: Bounds,
    duration: Duration,
    stage: Stage,
    stage_since: Duration,
    /// Good answers of the target when the stage began.
    stage_answers: u64,
    /// Earliest time at which allowances are granted: the leases of an earlier leader have ended by then.
    grant_from: Option<Duration>,
    gateways: BTreeMap<String, Gateway>,
    /// What earlier incarnations of gateways had.
    past_requests: u64,
    past_committed: u64,
    past_routes: BTreeMap<String, RouteAnswers>,
    window_since: Duration,
    window_length: Duration,
    /// Sums of all gateways at the end of the last window, which decisions are based on.
    weighed: BTreeMap<String, RouteAnswers>,
    evidence: BTreeMap<String, Evidence>,
    overall: Evidence,
}

impl Rollout {
    /// Starts to observe an order of a duration.
    pub fn new(bounds: Bounds, duration: Duration) -> Self {
        Self {
            bounds,
            duration,
            stage: Stage::Held,
            stage_since: Duration::ZERO,
            stage_answers: 0,
            grant_from: None,
            gateways: BTreeMap::new(),
            past_requests: 0,
            past_committed: 0,
            past_routes: BTreeMap::new(),
            window_since: Duration::ZERO,
            window_length: WINDOW,
            weighed: BTreeMap::new(),
            evidence: BTreeMap::new(),
            overall: Evidence::default(),
        }
    }

    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the fraction of the requests that go to the target.
    pub fn share(&self) -> f64 {
        match self.stage {
            Stage::Held => 0.0,
            Stage::Trial(step) => {
                self.bounds.share * SMALL_SHARES[step.min(SMALL_SHARES.len() - 1)]
            }
            Stage::HandingOver(share) => share,
            Stage::Draining => 1.0,
        }
    }

    /// Returns the requests of the service, and those that the target got or may get.
    pub fn exposure(&self) -> (u64, u64) {
        let requests = self
            .gateways
            .values()
            .map(|gateway| gateway.report.requests);
        let committed = self.gateways.values().map(Gateway::committed);
        (
            requests.fold(self.past_requests, u64::saturating_add),
            committed.fold(self.past_committed, u64::saturating_add),
        )
    }

    /// Records that this controller does not lead: it observes, and grants nothing.
    pub fn follow(&mut self) {
        self.stage = Stage::Held;
        self.grant_from = None;
    }

    /// Records a gateway's report. One that is older than another of the same gateway changes nothing.
    pub fn record(&mut self, name: &str, report: GatewayReport, now: Duration) {
        if !self.gateways.contains_key(name) {
            self.gateways.insert(name.to_owned(), Gateway::default());
        }
        let Some(gateway) = self.gateways.get_mut(name) else {
            return;
        };
        let held = &gateway.report;
        if report.incarnation < held.incarnation
            || (report.incarnation == held.incarnation && report.requests < held.requests)
        {
            return;
        }
        if report.incarnation != held.incarnation {
            self.past_requests = self.past_requests.saturating_add(held.requests);
            self.past_committed = self.past_committed.saturating_add(gateway.committed());
            for (route, answers) in &held.routes {
                let past = self.past_routes.entry(route.clone()).or_default();
                *past = past.combine(answers, u64::saturating_add);
            }
            *gateway = Gateway::default();
        }
        gateway.granted = gateway.granted.max(report.allowance);
        gateway.heard = now;
        gateway.report = report;
    }

    /// Returns what a gateway may send to the target.
    pub fn lease(&self, name: &str) -> Lease {
        match self.stage {
            Stage::Held => Lease::default(),
            Stage::Trial(_) => Lease {
                share: self.share(),
                allowance: Some(self.gateways.get(name).map_or(0, |gateway| gateway.granted)),
            },
            Stage::HandingOver(_) | Stage::Draining => Lease {
                share: self.share(),
                allowance: None,
            },
        }
    }

    /// Decides how the order goes on. Only the leader calls this, a few times in each window.
    pub fn decide(&mut self, now: Duration, slots: Slots) -> Decision {
        let grant_from = *self.grant_from.get_or_insert(now + self.bounds.lease());
        if now >= self.window_since + WINDOW
            && let Some(reason) = self.close_window(now, slots)
        {
            return Decision::RollBack(reason);
        }
        let is_drained = self.stage == Stage::Draining
            && now >= self.stage_since + MIN_STAGE_TIME
            && self.can_carry(slots)
            && !self.is_doubtful()
            && self.is_old_idle(now);
        if is_drained {
            return Decision::Complete;
        }
        if now + DEADLINE_MARGIN >= self.duration {
            return Decision::RollBack(Reason::Deadline);
        }
        let next = match now >= grant_from {
            true => self.next_stage(now, slots),
            false => None,
        };
        if let Some(stage) = next {
            self.stage = stage;
            self.stage_since = now;
            self.stage_answers = self.good_answers();
        }
        if let Stage::Trial(_) = self.stage {
            self.grant(now);
        }
        next.map_or(Decision::Continue, Decision::Enter)
    }

    fn next_stage(&self, now: Duration, slots: Slots) -> Option<Stage> {
        if self.stage == Stage::Held {
            return (slots.new > 0).then_some(Stage::Trial(0));
        }
        let has_answers = self.good_answers() > self.stage_answers;
        if now < self.stage_since + MIN_STAGE_TIME || !has_answers || self.is_doubtful() {
            return None;
        }
        match self.stage {
            Stage::Trial(step) if step + 1 < SMALL_SHARES.len() => Some(Stage::Trial(step + 1)),
            Stage::Trial(_) => {
                let is_tried = now >= self.duration.mul_f64(MIN_TRIAL) && self.has_evidence();
                let is_warm = slots.cold == 0;
                (is_tried && is_warm && self.can_carry(slots)).then(|| self.first_hand_over(now))
            }
            Stage::HandingOver(_) => self.can_carry(slots).then_some(Stage::Draining),
            Stage::Held | Stage::Draining => None,
        }
    }

    /// Returns the first part that is handed over: if the version failed from then on, the bound of the whole duration would
    /// still hold when the verdict is there.
    fn first_hand_over(&self, now: Duration) -> Stage {
        let (requests, committed) = self.exposure();
        let in_window: u64 = self
            .gateways
            .values()
            .map(|gateway| gateway.in_window)
            .fold(0, u64::saturating_add);
        let per_second = in_window as f64 / self.window_length.as_secs_f64();
        let left = self.duration.saturating_sub(now).as_secs_f64();
        let all = requests as f64 + per_second * left;
        let room = self.bounds.share * all + self.bounds.slack - committed as f64;
        let part = room / (per_second * REACTION.as_secs_f64()).max(1.0);
        Stage::HandingOver(part.clamp(MIN_HAND_OVER, HAND_OVER))
    }

    fn can_carry(&self, slots: Slots) -> bool {
        slots.new > 0 && slots.new as f64 >= slots.old as f64 * MIN_CAPACITY
    }

    /// Returns whether no gateway has requests in progress at old servers or still sends new ones to them. At least one must
    /// have said so, and one that is silent for a moment is waited for.
    fn is_old_idle(&self, now: Duration) -> bool {
        let mut counted = self
            .gateways
            .values()
            .filter(|gateway| now.saturating_sub(gateway.heard) <= MAX_SILENCE)
            .peekable();
        // A gateway whose lease may have ended sends to old servers again.
        let max_age = self.bounds.lease() / 2;
        counted.peek().is_some()
            && counted.all(|gateway| {
                gateway.is_in_touch(now, max_age)
                    && gateway.report.share >= 1.0
                    && gateway.report.old_in_progress == 0
                    && gateway.heard > self.stage_since
            })
    }

    fn has_evidence(&self) -> bool {
        let mut good: u64 = 0;
        for answers in self.weighed.values() {
            good = good.saturating_add(answers.new.good());
            let is_busy = answers.old.count() >= TRIED_ROUTE_ANSWERS;
            if is_busy && answers.new.good() < MIN_ROUTE_ANSWERS {
                return false;
            }
        }
        good >= MIN_ANSWERS
    }

    fn good_answers(&self) -> u64 {
        self.weighed
            .values()
            .map(|answers| answers.new.good())
            .fold(0, u64::saturating_add)
    }

    fn is_doubtful(&self) -> bool {
        self.overall.is_doubtful() || self.evidence.values().any(Evidence::is_doubtful)
    }

    fn sums(&self) -> BTreeMap<String, RouteAnswers> {
        let mut sums = self.past_routes.clone();
        for gateway in self.gateways.values() {
            for (route, answers) in &gateway.report.routes {
                match sums.get_mut(route) {
                    Some(sum) => *sum = sum.combine(answers, u64::saturating_add),
                    None => {
                        sums.insert(route.clone(), *answers);
                    }
                }
            }
        }
        sums
    }

    /// Weighs what was reported in a window, and returns why the version is bad, if it is. While servers of the target are slow
    /// after their start, slow answers say nothing.
    fn close_window(&mut self, now: Duration, slots: Slots) -> Option<Reason> {
        self.window_length = now.saturating_sub(self.window_since).max(WINDOW);
        self.window_since = now;
        for gateway in self.gateways.values_mut() {
            gateway.in_window = gateway.report.requests.saturating_sub(gateway.at_window);
            gateway.at_window = gateway.report.requests;
        }
        let sums = self.sums();
        let mut all = RouteAnswers::default();
        let mut verdict = None;
        for (route, sum) in &sums {
            let before = self.weighed.get(route).copied().unwrap_or_default();
            let window = sum.combine(&before, u64::saturating_sub);
            all.old.add_unclassed(&window.old);
            all.new.add_unclassed(&window.new);
            let evidence = self.evidence.entry(route.clone()).or_default();
            evidence.weigh(&window);
            if slots.cold > 0 {
                evidence.slow = 0.0;
            }
            if evidence.failures >= BAD_SCORE {
                verdict = Some(Reason::Failures(route.clone()));
            } else if evidence.slow >= BAD_SCORE {
                verdict = verdict.or_else(|| Some(Reason::Slow(route.clone())));
            }
        }
        self.overall.weigh(&all);
        if self.overall.failures >= BAD_SCORE {
            verdict = verdict.or_else(|| Some(Reason::Failures("all routes".to_owned())));
        }
        self.weighed = sums;
        verdict
    }

    /// Grants allowances to the gateways in touch, as far as the bound allows it for all of them together.
    fn grant(&mut self, now: Duration) {
        let (requests, committed) = self.exposure();
        let share = self.share();
        let largest = self.bounds.share * SMALL_SHARES[SMALL_SHARES.len() - 1];
        let most = largest * requests as f64 + self.bounds.slack * SLACK_PART;
        let mut left = (most as u64).saturating_sub(committed);
        let per_second = 1.0 / self.window_length.as_secs_f64();
        let lease = self.bounds.lease();
        let wanted = |gateway: &Gateway| {
            let rate = gateway.in_window as f64 * per_second;
            let ahead = (rate * share * ALLOWANCE_TIME.as_secs_f64()).ceil() as u64;
            let wanted = gateway.report.exposed.saturating_add(ahead.max(1));
            wanted.saturating_sub(gateway.granted)
        };
        let mut asking: Vec<_> = self
            .gateways
            .values_mut()
            .filter(|gateway| gateway.is_in_touch(now, lease))
            .map(|gateway| (wanted(gateway), gateway))
            .filter(|(wanted, _)| *wanted > 0)
            .collect();
        let all = asking.iter().map(|(wanted, _)| *wanted);
        let all = all.fold(0, u64::saturating_add);
        let part = (left as f64 / (all as f64).max(1.0)).min(1.0);
        // Busy gateways come first, since they use what they get.
        asking.sort_by_key(|(wanted, _)| std::cmp::Reverse(*wanted));
        for (wanted, gateway) in asking {
            let granted = ((wanted as f64 * part).ceil() as u64).min(wanted).min(left);
            gateway.granted = gateway.granted.saturating_add(granted);
            left -= granted;
        }
    }
}
