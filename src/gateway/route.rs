//! Chooses the instance for a request from the view, the load reports, the cache events and this
//! gateway's counters.

use std::{sync::Arc, time::Duration};

use super::view::{Member, ServiceEntry};
use crate::{
    domain::{InstanceName, RoutingWeights, ZoneName},
    policy::{
        pace::Pace,
        prefix::{Prefix, count_tokens, home, prefixes},
        route::{self, Candidate, Report, RouteRequest},
    },
};

/// Age of the last cache events beyond which the cached prefixes of an instance count as unknown.
const CACHE_EVENTS_MAX_AGE: Duration = Duration::from_secs(5);

/// The properties of a prompt that routing uses, computed once for each request.
#[derive(Clone, Debug)]
pub(crate) struct RoutingPrompt {
    prefixes: Vec<Prefix>,
    tokens: u32,
    home: u64,
}

impl RoutingPrompt {
    /// Computes the prefixes of a prompt. The opening is the part that stays the same over the
    /// turns of a conversation.
    pub(crate) fn new(prompt: &str, opening: &str) -> Self {
        Self {
            prefixes: prefixes(prompt),
            tokens: count_tokens(prompt),
            home: home(opening),
        }
    }

    /// Returns an empty prompt for calls of plain services, which have nothing cached; a random
    /// home spreads them over the instances.
    pub(crate) fn empty() -> Self {
        Self {
            prefixes: Vec::new(),
            tokens: 0,
            home: rand::random(),
        }
    }
}

/// The inputs of a routing decision that do not depend on the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutingContext<'a> {
    /// The gateway's availability zone.
    pub(crate) zone: &'a ZoneName,
    /// The routing weights in force.
    pub(crate) weights: &'a RoutingWeights,
    /// The current time on the monotonic clock.
    pub(crate) now: Duration,
}

/// A routing decision.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    /// The chosen instance.
    pub(crate) member: Arc<Member>,
    /// Largest number of the prompt's tokens that any candidate has cached, as far as is known.
    pub(crate) max_cached_tokens: u32,
}

/// Chooses among the instances that accept work and were not tried before. Returns `None` if there
/// are none.
pub(crate) fn choose(
    service: &ServiceEntry,
    prompt: &RoutingPrompt,
    tried: &[InstanceName],
    context: RoutingContext<'_>,
) -> Option<Choice> {
    let members: Vec<&Arc<Member>> = service
        .members
        .iter()
        .filter(|member| member.accepts_work() && !tried.contains(&member.instance.name))
        .collect();
    let candidates: Vec<Candidate> = members
        .iter()
        .map(|member| candidate(service, member, prompt, context.now))
        .collect();
    let request = RouteRequest {
        zone: context.zone.clone(),
        prompt_tokens: prompt.tokens,
        home: prompt.home,
    };
    let at = route::choose(&request, &candidates, context.weights)?;
    let max_cached_tokens = candidates.iter().filter_map(|c| c.cached_tokens).max();
    Some(Choice {
        member: Arc::clone(members.get(at)?),
        max_cached_tokens: max_cached_tokens.unwrap_or(0),
    })
}

fn candidate(
    service: &ServiceEntry,
    member: &Member,
    prompt: &RoutingPrompt,
    now: Duration,
) -> Candidate {
    let state = &member.state;
    let report = state.report.load_full();
    let slots = report
        .as_ref()
        .map(|report| report.slots)
        .filter(|slots| *slots > 0);
    Candidate {
        instance: member.instance.name.clone(),
        zone: member.instance.zone.clone(),
        slots: slots.unwrap_or(service.service.slots_per_instance),
        report: report.map(|report| Report {
            running: report.running,
            queued: report.queued,
            age: now.saturating_sub(report.made_at),
        }),
        sent_since_report: state.sent_since_report(),
        in_progress: state.in_progress(),
        cached_tokens: cached_tokens(member, prompt, now),
        prefill_wait: Duration::ZERO,
        pace: Pace::default(),
        is_behind_gateway: false,
        suspect: state.is_suspect(now),
    }
}

fn cached_tokens(member: &Member, prompt: &RoutingPrompt, now: Duration) -> Option<u32> {
    let cache = member.state.cache.load();
    let age = now.saturating_sub(cache.read_at?);
    (age <= CACHE_EVENTS_MAX_AGE).then(|| cache.index.cached_tokens(&prompt.prefixes))
}
