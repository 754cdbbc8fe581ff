//! Plans the orders to engines, as a pure function of the wanted state, the known state and the time.
//!
//! Every round of orders carries a new fencing token from the log. Engines that check it refuse a
//! late order of an earlier round or leader. Other engines get no order until every earlier order has
//! ended: a new leader waits for the previous leader's lease plus the order timeout, and after an
//! unanswered order the same engine gets the next one only once the order timeout has passed. An
//! order is sent only if it ends within the leader's own lease. See docs/DESIGN.md, "Orders to engines".

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    domain::{Fencing, Instance, InstanceState, Intent, Service, ServiceKind},
    ports::{EngineLoad, OrderKind, OrderOutcome, Target},
};

/// Durations that determine when an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// The longest time that an order may take; the connection is closed afterwards.
    pub order_timeout: Duration,
    /// The longest lease that an earlier leader may still hold.
    pub leader_lease: Duration,
    /// Delay before an engine that failed or refused an order is retried.
    pub retry_delay: Duration,
    /// Interval after which an engine's state is read again, to detect changes by a late order.
    pub read_interval: Duration,
}

/// An engine and its wanted state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The instance that runs the engine.
    pub target: Target,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// The wanted version of each model, or `None` if the engine should drain.
    pub wanted: Option<BTreeMap<String, String>>,
}

/// The next action for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Read the state of the engine.
    Read,
    /// Send these orders one after the other.
    Order(Vec<OrderKind>),
}

/// The outcome of a read or of a single order.
#[derive(Clone, Debug, PartialEq)]
pub enum ActionOutcome {
    /// The state was read.
    Read(EngineLoad),
    /// The engine answered an order.
    Answered(OrderKind, OrderOutcome),
    /// No answer arrived; the engine may still execute the order.
    Unanswered,
    /// Nothing was sent.
    NotSent,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct EngineState {
    /// When the state was last read; `None` while the loaded models are unknown.
    read_at: Option<Duration>,
    loaded: BTreeMap<String, Option<String>>,
    drained: bool,
    retry_at: Duration,
}

/// The leader's knowledge of the engines within a term.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    timing: OrderTiming,
    term_started_at: Duration,
    engines: BTreeMap<(String, u64), EngineState>,
}

impl OrderPlanner {
    /// Creates the planner of a leader whose term started at `term_started_at`.
    pub fn new(timing: OrderTiming, term_started_at: Duration) -> Self {
        Self {
            timing,
            term_started_at,
            engines: BTreeMap::new(),
        }
    }

    /// Returns the actions that are due now, at most one per engine.
    pub fn next_actions(&self, now: Duration, engines: &[Engine]) -> Vec<(Target, EngineAction)> {
        engines
            .iter()
            .filter_map(|engine| Some((engine.target.clone(), self.action(now, engine)?)))
            .collect()
    }

    fn action(&self, now: Duration, engine: &Engine) -> Option<EngineAction> {
        let state = self.engines.get(&engine_key(&engine.target));
        if state.is_some_and(|state| now < state.retry_at)
            || !self.earlier_orders_ended(now, engine)
        {
            return None;
        }
        let Some((state, read_at)) = state.and_then(|state| Some((state, state.read_at?))) else {
            return Some(EngineAction::Read);
        };
        let Some(wanted) = &engine.wanted else {
            return (!state.drained).then(|| EngineAction::Order(vec![OrderKind::Drain]));
        };
        let unloads = state
            .loaded
            .keys()
            .filter(|model| !wanted.contains_key(*model))
            .map(|model| OrderKind::Unload {
                model: model.as_str().into(),
            });
        let loads = wanted
            .iter()
            .filter(|(model, version)| state.loaded.get(*model) != Some(&Some((*version).clone())))
            .map(|(model, version)| OrderKind::Load {
                model: model.as_str().into(),
                version: version.clone(),
            });
        let orders: Vec<_> = unloads.chain(loads).collect();
        if orders.is_empty() {
            return (now >= read_at + self.timing.read_interval).then_some(EngineAction::Read);
        }
        Some(EngineAction::Order(orders))
    }

    /// Returns whether every order of earlier leaders has ended or would be refused.
    fn earlier_orders_ended(&self, now: Duration, engine: &Engine) -> bool {
        match engine.fencing {
            Fencing::Checked => true,
            Fencing::Ignored => {
                now >= self.term_started_at + self.timing.leader_lease + self.timing.order_timeout
            }
        }
    }

    /// Records the outcome of an action.
    pub fn record_outcome(&mut self, now: Duration, target: &Target, outcome: ActionOutcome) {
        let timing = self.timing;
        let state = self.engines.entry(engine_key(target)).or_default();
        match outcome {
            ActionOutcome::Read(load) => {
                // The report contains no versions. Versions of acknowledged orders are kept; any other
                // loaded model has an unknown version and is ordered again once.
                let trusted = state.read_at.is_some();
                let models = load.models.iter().map(|model| {
                    let version = state.loaded.get(model.as_str()).filter(|_| trusted);
                    (model.to_string(), version.cloned().flatten())
                });
                state.loaded = models.collect();
                state.read_at = Some(now);
            }
            ActionOutcome::Answered(kind, OrderOutcome::Done) => state.apply_order(kind),
            // A newer leader sent an order, or a late order of an earlier round arrived: read the state again.
            ActionOutcome::Answered(_, OrderOutcome::Fenced) => {
                state.read_at = None;
                state.retry_at = now + timing.retry_delay;
            }
            ActionOutcome::Unanswered => {
                state.read_at = None;
                state.retry_at = now + timing.retry_delay.max(timing.order_timeout);
            }
            ActionOutcome::NotSent => state.retry_at = now + timing.retry_delay,
        }
    }

    /// Drops the state of engines that are not in `engines`.
    pub fn retain(&mut self, engines: &[Engine]) {
        let present: BTreeSet<_> = engines
            .iter()
            .map(|engine| engine_key(&engine.target))
            .collect();
        self.engines.retain(|key, _| present.contains(key));
    }
}

impl EngineState {
    fn apply_order(&mut self, kind: OrderKind) {
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

fn engine_key(target: &Target) -> (String, u64) {
    (target.instance.to_string(), target.incarnation.0)
}

/// Returns the engines of an intent with their wanted state.
pub fn engines_of(intent: &Intent, instances: &[Instance]) -> Vec<Engine> {
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
