//! Requests that upstreams cut off, as they do when they crash, and the causes of crashes whose requests are refused.
//! The controllers decide about causes, from what all gateways report; see `policy::quarantine`.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use hyper::http::request;
use tokio::time::Instant;

use super::upstream::Upstream;
use crate::{
    domain::{AccountName, BodyDigest},
    policy::quarantine::{Cause, MAX_PARTS, join},
    ports::RequestMetadata,
    telemetry::{Counter, Metrics},
    wire::{
        AnsweredCause, CutOffReport, FollowReply, FollowRequest, QuarantinedCause, SuspectList,
    },
};

/// Requests that are remembered until the controllers know of them.
const MAX_CUT_OFFS: usize = 512;
/// Requests that are reported in one poll.
const MAX_REPORTED: usize = 256;
/// Age at which a request that was cut off is no longer reported.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);
/// Causes in quarantine that are held, more than all controllers together find in its time; the one that ends first
/// gives way to another one.
const MAX_HELD: usize = 4096;

/// What a request has in common with others, and its identifier.
#[derive(Debug)]
pub(super) struct RequestTraits {
    id: String,
    /// Hash of its method, path, account and body.
    request: u64,
    /// What it shares with other requests, the most general first.
    causes: Vec<Cause>,
}

impl RequestTraits {
    pub(super) fn new(
        facts: &RequestMetadata,
        head: &request::Parts,
        account: Option<&AccountName>,
        body: &[u8],
    ) -> Self {
        let account = account.map_or("", |account| account.as_str());
        let caller = format!("{} {account}", head.method);
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let request = BodyDigest::of(&caller, path, body).short();
        let parts = facts
            .prompt
            .as_ref()
            .map_or(&[][..], |prompt| &prompt.parts);
        // The last part belongs to the request itself or to its session.
        let shared = &parts[..parts.len().saturating_sub(1)];
        let shared = &shared[shared.len().saturating_sub(MAX_PARTS)..];
        let shared = shared.iter().map(|part| Cause::Part(part.hash));
        Self {
            id: facts.id.clone().unwrap_or_default(),
            request,
            causes: shared.chain([Cause::Request(request)]).collect(),
        }
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }
}

/// A request that an upstream cut off.
#[derive(Debug)]
struct CutOff {
    /// Its number among those of this process.
    number: u64,
    upstream: String,
    at: Instant,
    traits: Arc<RequestTraits>,
}

/// What one controller knows and asks.
#[derive(Debug, Default)]
struct ControllerState {
    /// Number of the last request that was reported to it.
    reported: u64,
    suspects: SuspectList,
}

#[derive(Debug, Default)]
struct State {
    cut_offs: VecDeque<CutOff>,
    /// Number of the last request that was cut off.
    last: u64,
    controllers: HashMap<String, ControllerState>,
    /// When a request with a suspected cause was last answered.
    answered: HashMap<Cause, Instant>,
}

/// Records the requests that upstreams cut off, and knows which requests are refused.
#[derive(Debug)]
pub(super) struct CrashWatch {
    state: Mutex<State>,
    /// The suspects of all controllers.
    suspects: ArcSwap<HashSet<Cause>>,
    /// The causes in quarantine, with its end.
    quarantined: ArcSwap<HashMap<Cause, Instant>>,
    cut_off: Counter,
}

impl CrashWatch {
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self {
            state: Mutex::default(),
            suspects: ArcSwap::default(),
            quarantined: ArcSwap::default(),
            cut_off: metrics.register_counter(
                "ingress_requests_cut_off",
                "Attempts whose upstream closed the connection before the end of its response.",
            ),
        }
    }

    /// Records that an upstream closed the connection of a request before the end of its response; `begun` says whether
    /// the response had begun.
    pub(super) fn record_cut_off(
        &self,
        traits: &Arc<RequestTraits>,
        upstream: &Upstream,
        begun: bool,
    ) {
        self.cut_off.increment();
        log::info!(
            event = "request.cut_off", request = traits.id.as_str(),
            upstream:% = upstream.target.instance, begun = begun, causes = join(traits.causes.iter().copied());
            "ingress: an upstream cut a request off"
        );
        let mut state = self.state();
        if state.cut_offs.len() >= MAX_CUT_OFFS {
            state.cut_offs.pop_front();
        }
        state.last += 1;
        let number = state.last;
        state.cut_offs.push_back(CutOff {
            number,
            upstream: upstream.target.address.to_string(),
            at: Instant::now(),
            traits: Arc::clone(traits),
        });
    }

    /// Records that a request was answered, or that its answer is so far under way that it does not crash upstreams.
    pub(super) fn record_answer(&self, traits: &RequestTraits) {
        let suspects = self.suspects.load();
        if suspects.is_empty() {
            return;
        }
        let cleared = traits
            .causes
            .iter()
            .filter(|cause| suspects.contains(cause));
        let now = Instant::now();
        self.state()
            .answered
            .extend(cleared.map(|cause| (*cause, now)));
    }

    /// Returns what a request has in common with those that crash upstreams, if anything.
    pub(super) fn quarantined_cause(&self, traits: &RequestTraits, now: Instant) -> Option<Cause> {
        let quarantined = self.quarantined.load();
        let mut causes = traits.causes.iter().copied();
        causes.find(|cause| quarantined.get(cause).is_some_and(|until| *until > now))
    }

    /// Returns the number of causes whose requests are refused.
    pub(super) fn quarantined_count(&self, now: Instant) -> usize {
        let quarantined = self.quarantined.load();
        quarantined.values().filter(|until| **until > now).count()
    }

    /// Adds to a poll what the controller is told. Returns the number of the last request that it reports.
    pub(super) fn add_to_request(
        &self,
        controller: &str,
        request: &mut FollowRequest,
        now: Instant,
    ) -> u64 {
        let mut state = self.state();
        let is_old = |cut_off: &CutOff| now.duration_since(cut_off.at) >= MAX_REPORT_AGE;
        while state.cut_offs.front().is_some_and(is_old) {
            state.cut_offs.pop_front();
        }
        let known = state.controllers.get(controller);
        let reported = known.map_or(0, |known| known.reported);
        let new = state.cut_offs.iter();
        let new = new
            .filter(|cut_off| cut_off.number > reported)
            .take(MAX_REPORTED);
        let last = new
            .clone()
            .last()
            .map_or(reported, |cut_off| cut_off.number);
        let ago_ms = |at| u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
        request.cut_offs = new
            .map(|cut_off| CutOffReport {
                upstream: cut_off.upstream.clone(),
                ago_ms: ago_ms(cut_off.at),
                request: cut_off.traits.request,
                causes: cut_off
                    .traits
                    .causes
                    .iter()
                    .copied()
                    .map(Into::into)
                    .collect(),
            })
            .collect();
        let suspects = known.map(|known| &known.suspects);
        let causes = suspects.into_iter().flat_map(|suspects| &suspects.causes);
        let answered = causes.filter_map(|record| {
            let at = state.answered.get(&record.cause()?)?;
            Some(AnsweredCause {
                cause: Some(*record),
                ago_ms: ago_ms(*at),
            })
        });
        request.answered = answered.collect();
        request.held_suspects_version = Some(suspects.map_or(0, |suspects| suspects.version));
        let quarantined = self.quarantined.load();
        request.quarantined = quarantined
            .iter()
            .map(|(cause, until)| QuarantinedCause::new(*cause, until.duration_since(now)))
            .filter(|quarantined| quarantined.left_ms > 0)
            .collect();
        last
    }

    /// Applies a controller's reply to a poll that reported the requests up to the number `reported`.
    pub(super) fn apply_reply(
        &self,
        controller: &str,
        reply: &FollowReply,
        reported: u64,
        now: Instant,
    ) {
        let mut state = self.state();
        if !state.controllers.contains_key(controller) {
            state
                .controllers
                .insert(controller.to_owned(), ControllerState::default());
        }
        if let Some(known) = state.controllers.get_mut(controller) {
            known.reported = reported;
            if let Some(suspects) = &reply.suspects {
                known.suspects = suspects.clone();
                self.update_suspects(&mut state);
            }
        }
        drop(state);
        if !reply.quarantined.is_empty() {
            self.add_quarantined(controller, &reply.quarantined, now);
        }
    }

    /// Records that a controller did not reply, so that it may have restarted and know nothing.
    pub(super) fn record_silence(&self, controller: &str) {
        if let Some(known) = self.state().controllers.get_mut(controller) {
            known.reported = 0;
        }
    }

    fn update_suspects(&self, state: &mut State) {
        let lists = state.controllers.values().map(|known| &known.suspects);
        let records = lists.flat_map(|suspects| &suspects.causes);
        let suspects: HashSet<Cause> = records.filter_map(|record| record.cause()).collect();
        state.answered.retain(|cause, _| suspects.contains(cause));
        self.suspects.store(Arc::new(suspects));
    }

    fn add_quarantined(&self, controller: &str, told: &[QuarantinedCause], now: Instant) {
        let mut quarantined = (**self.quarantined.load()).clone();
        quarantined.retain(|_, until| *until > now);
        for quarantine in told {
            let Some(cause) = quarantine.cause.and_then(|record| record.cause()) else {
                continue;
            };
            if quarantined.contains_key(&cause) {
                continue;
            }
            if quarantined.len() >= MAX_HELD {
                let first = quarantined.iter().min_by_key(|(_, until)| **until);
                if let Some(first) = first.map(|(cause, _)| *cause) {
                    quarantined.remove(&first);
                }
            }
            log::warn!(
                event = "quarantine.begins", cause:% = cause, controller = controller,
                left_ms = quarantine.left_ms;
                "ingress: requests with a cause of crashes are refused"
            );
            quarantined.insert(cause, now + Duration::from_millis(quarantine.left_ms));
        }
        self.quarantined.store(Arc::new(quarantined));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
