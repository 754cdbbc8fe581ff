//! Decides which orders engines get, as a pure function of what is wanted, known and timed.
//!
//! Every round of orders carries a new fencing number from the log. Engines that check it refuse a
//! late order of an earlier round or leader. For the others, nothing is ordered before every earlier
//! order has ended: a new leader waits out the earlier leader's lease and the longest order, and an
//! unanswered order is waited out before the next one to the same engine. An order is sent only if it
//! ends inside the leader's own lease. See docs/DESIGN.md, "Orders to engines".

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    domain::{Fencing, Instance, InstanceState, Intent, Service, ServiceKind},
    ports::{EngineLoad, OrderKind, OrderOutcome, Target},
};

/// Times that decide when an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// The longest time that an order takes; after it the connection is closed.
    pub longest_order: Duration,
    /// The longest lease that an earlier leader may have held.
    pub leader_lease: Duration,
    /// Pause before an engine that failed or refused is tried again.
    pub retry: Duration,
    /// Time after which an engine's state is read again, to find what a late order changed.
    pub read_back: Duration,
}

/// An engine and what it should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Where it is.
    pub target: Target,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// The versions wanted by model, or nothing if it should drain.
    pub wanted: Option<BTreeMap<String, String>>,
}

/// What to do with an engine next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read its state back.
    Read,
    /// Give it these orders, one after the other, in this order.
    Order(Vec<OrderKind>),
}

/// How an action ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Its state was read.
    Read(EngineLoad),
    /// An order was answered.
    Answered(OrderKind, OrderOutcome),
    /// There was no answer; the order may still be carried out.
    Unanswered,
    /// Nothing was sent.
    NotSent,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    /// When its state was read; nothing while what it has is not known.
    read_at: Option<Duration>,
    loaded: BTreeMap<String, Option<String>>,
    drained: bool,
    not_before: Duration,
}

/// What the leader of a term knows of the engines.
#[derive(Clone, Debug)]
pub struct Desk {
    timing: OrderTiming,
    led_since: Duration,
    known: BTreeMap<(String, u64), Known>,
}

impl Desk {
    /// Makes the desk of a leader that took up its term at a time.
    pub fn new(timing: OrderTiming, led_since: Duration) -> Self {
        Self {
            timing,
            led_since,
            known: BTreeMap::new(),
        }
    }

    /// Returns what to do now, one action for each engine that needs one.
    pub fn next(&self, now: Duration, engines: &[Engine]) -> Vec<(Target, Action)> {
        engines
            .iter()
            .filter_map(|engine| Some((engine.target.clone(), self.action(now, engine)?)))
            .collect()
    }

    fn action(&self, now: Duration, engine: &Engine) -> Option<Action> {
        let known = self.known.get(&key(&engine.target));
        if known.is_some_and(|known| now < known.not_before) || !self.is_past(now, engine) {
            return None;
        }
        let Some((known, read_at)) = known.and_then(|known| Some((known, known.read_at?))) else {
            return Some(Action::Read);
        };
        let Some(wanted) = &engine.wanted else {
            return (!known.drained).then(|| Action::Order(vec![OrderKind::Drain]));
        };
        let unloads = known
            .loaded
            .keys()
            .filter(|model| !wanted.contains_key(*model))
            .map(|model| OrderKind::Unload {
                model: model.as_str().into(),
            });
        let loads = wanted
            .iter()
            .filter(|(model, version)| known.loaded.get(*model) != Some(&Some((*version).clone())))
            .map(|(model, version)| OrderKind::Load {
                model: model.as_str().into(),
                version: version.clone(),
            });
        let orders: Vec<_> = unloads.chain(loads).collect();
        if orders.is_empty() {
            return (now >= read_at + self.timing.read_back).then_some(Action::Read);
        }
        Some(Action::Order(orders))
    }

    /// Whether all orders of earlier leaders have ended or cannot matter.
    fn is_past(&self, now: Duration, engine: &Engine) -> bool {
        match engine.fencing {
            Fencing::Checked => true,
            Fencing::Ignored => {
                now >= self.led_since + self.timing.leader_lease + self.timing.longest_order
            }
        }
    }

    /// Notes how an action ended.
    pub fn note(&mut self, now: Duration, target: &Target, outcome: Outcome) {
        let timing = self.timing;
        let known = self.known.entry(key(target)).or_default();
        match outcome {
            Outcome::Read(load) => {
                // The report names no versions: those of acknowledged orders stand, and what else
                // is loaded is ordered again once.
                let trusted = known.read_at.is_some();
                let models = load.models.iter().map(|model| {
                    let version = known.loaded.get(model.as_str()).filter(|_| trusted);
                    (model.to_string(), version.cloned().flatten())
                });
                known.loaded = models.collect();
                known.read_at = Some(now);
            }
            Outcome::Answered(kind, OrderOutcome::Done) => known.apply(kind),
            // A newer leader ordered, or an earlier round came late: look again.
            Outcome::Answered(_, OrderOutcome::Fenced) => {
                known.read_at = None;
                known.not_before = now + timing.retry;
            }
            Outcome::Unanswered => {
                known.read_at = None;
                known.not_before = now + timing.retry.max(timing.longest_order);
            }
            Outcome::NotSent => known.not_before = now + timing.retry,
        }
    }

    /// Forgets engines that are gone.
    pub fn keep(&mut self, engines: &[Engine]) {
        let present: BTreeSet<_> = engines.iter().map(|engine| key(&engine.target)).collect();
        self.known.retain(|place, _| present.contains(place));
    }
}

impl Known {
    fn apply(&mut self, kind: OrderKind) {
        match kind {
            OrderKind::Load { model, version } => {
                self.loaded.insert(model.to_string(), Some(version));
            }
            OrderKind::Unload { model } => {
                self.loaded.remove(model.as_str());
            }
            OrderKind::Drain => self.drained = true,
        }
    }
}

fn key(target: &Target) -> (String, u64) {
    (target.instance.to_string(), target.incarnation.0)
}

/// Returns the engines of an intent and what they should have.
pub fn engines(intent: &Intent, instances: &[Instance]) -> Vec<Engine> {
    let versions: BTreeMap<_, _> = intent
        .models
        .iter()
        .map(|model| (&model.name, &model.version))
        .collect();
    let engine = |instance: &Instance| {
        let service = service_of(intent, instance)?;
        let ServiceKind::Engines { models, fencing } = &service.kind else {
            return None;
        };
        let wanted = models.iter().filter_map(|model| {
            let version = versions.get(model)?;
            Some((model.to_string(), (*version).clone()))
        });
        Some(Engine {
            target: Target {
                instance: instance.name.clone(),
                incarnation: instance.incarnation,
                address: instance.address,
            },
            fencing: *fencing,
            wanted: (instance.state == InstanceState::Live).then(|| wanted.collect()),
        })
    };
    instances.iter().filter_map(engine).collect()
}

fn service_of<'a>(intent: &'a Intent, instance: &Instance) -> Option<&'a Service> {
    let mut services = intent.services.iter();
    services.find(|service| service.name == instance.service)
}
