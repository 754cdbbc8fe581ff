//! Sends the orders that `orders` plans to engines, and records their outcomes.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{
    convert,
    core::Core,
    orders::{self, ActionOutcome, EngineAction, OrderPlanner, OrderTiming},
    periodic::run_periodically,
};
use crate::{
    domain::FencingToken,
    ports::{Clock, EngineOrder, Sent, Target, Upstreams},
    state::{Action, AllocateFence, Reply},
};

/// Interval between planning rounds.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before an engine that failed or refused an order is retried.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval after which the state of an engine is read again.
const STATE_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Most engines that are read or ordered concurrently.
const MAX_CONCURRENT_ENGINES: usize = 32;

/// Sends orders while this controller leads, until the token is cancelled.
pub(super) async fn run<T: Clock, U: Upstreams>(
    core: Arc<Core<T>>,
    upstreams: Arc<U>,
    stop: CancellationToken,
) {
    let timing = timing(&core);
    let runner = OrderRunner {
        planner: OrderPlanner::new(timing, Duration::ZERO),
        core,
        upstreams,
        timing,
        term: 0,
    };
    run_periodically(
        ORDER_CHECK_INTERVAL,
        &stop,
        runner,
        |mut runner| async move {
            runner.run_round().await;
            runner
        },
    )
    .await;
}

/// Derives the timing of orders. An order must end within the part of the leader's lease that remains between two
/// renewals.
fn timing<T: Clock>(core: &Core<T>) -> OrderTiming {
    let timing = &core.settings.timing;
    OrderTiming {
        order_timeout: timing.election_timeout / 2,
        leader_lease: timing.election_timeout,
        retry_delay: ORDER_RETRY_DELAY,
        read_interval: STATE_READ_INTERVAL,
    }
}

struct OrderRunner<T, U> {
    core: Arc<Core<T>>,
    upstreams: Arc<U>,
    timing: OrderTiming,
    planner: OrderPlanner,
    term: u64,
}

impl<T: Clock, U: Upstreams> OrderRunner<T, U> {
    async fn run_round(&mut self) {
        if !self.core.leads() {
            return;
        }
        let now = self.core.now();
        let term = self.core.fleet().term();
        if self.term != term {
            self.term = term;
            self.planner = OrderPlanner::new(self.timing, now);
        }
        let engines = {
            let state = self.core.log.state();
            let intent = state.configuration().intent();
            orders::engines_of(intent, &convert::present_instances(state.instances()))
        };
        self.planner.retain(&engines);
        let actions = self.planner.next_actions(now, &engines);
        if actions.is_empty() {
            return;
        }
        let orders = actions
            .iter()
            .any(|(_, action)| matches!(action, EngineAction::Order(_)));
        let fence = match orders {
            true => self.allocate_fence().await,
            false => Some(FencingToken::default()),
        };
        let Some(fence) = fence else {
            return;
        };
        let this = &*self;
        let outcomes: Vec<(Target, Vec<ActionOutcome>)> = stream::iter(actions)
            .map(|(target, action)| this.run_action(target, action, fence))
            .buffer_unordered(MAX_CONCURRENT_ENGINES)
            .collect()
            .await;
        let now = self.core.now();
        for (target, outcomes) in outcomes {
            for outcome in outcomes {
                self.planner.record_outcome(now, &target, outcome);
            }
        }
    }

    async fn allocate_fence(&self) -> Option<FencingToken> {
        let action = Action::AllocateFence(AllocateFence {});
        match self.core.propose(action).await.map(|applied| applied.reply) {
            Ok(Reply::Fence(fence)) => Some(fence),
            _ => None,
        }
    }

    async fn run_action(
        &self,
        target: Target,
        action: EngineAction,
        fence: FencingToken,
    ) -> (Target, Vec<ActionOutcome>) {
        let outcomes = match action {
            EngineAction::Read => vec![self.read_state(&target).await],
            EngineAction::Order(kinds) => {
                let mut outcomes = Vec::new();
                for kind in kinds {
                    let outcome = self.send_order(&target, EngineOrder { kind, fence }).await;
                    let answered = matches!(outcome, ActionOutcome::Answered(..));
                    outcomes.push(outcome);
                    if !answered {
                        break;
                    }
                }
                outcomes
            }
        };
        (target, outcomes)
    }

    async fn read_state(&self, target: &Target) -> ActionOutcome {
        let read = timeout(self.timing.order_timeout, self.upstreams.load(target)).await;
        match read {
            Ok(Ok(load)) => ActionOutcome::Read(load),
            Ok(Err(_)) | Err(_) => ActionOutcome::NotSent,
        }
    }

    async fn send_order(&self, target: &Target, order: EngineOrder) -> ActionOutcome {
        // The term is checked again because time has passed since the decision.
        let deadline = self.core.now() + self.timing.order_timeout;
        if self.core.log.led_term(deadline) != Some(self.term) {
            return ActionOutcome::NotSent;
        }
        let answer = timeout(
            self.timing.order_timeout,
            self.upstreams.order(target, &order),
        );
        match answer.await {
            Ok(Ok(outcome)) => {
                log::info!(
                    "orders: engine {} answered {:?} to order {:?} with fencing token {}.",
                    target.instance,
                    outcome,
                    order.kind,
                    order.fence
                );
                ActionOutcome::Answered(order.kind, outcome)
            }
            Ok(Err(e)) => {
                log::warn!(
                    "orders: engine {} did not accept an order: {e}.",
                    target.instance
                );
                match e.sent {
                    Sent::No => ActionOutcome::NotSent,
                    Sent::Maybe => ActionOutcome::Unanswered,
                }
            }
            Err(_) => ActionOutcome::Unanswered,
        }
    }
}
