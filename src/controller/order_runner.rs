//! Carries out the orders that `orders` decides on.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{
    convert,
    core::Core,
    orders::{self, Action, Desk, OrderTiming, Outcome},
    rounds::repeat,
};
use crate::{
    domain::FencingNumber,
    ports::{Clock, EngineOrder, Sent, Target, Upstreams},
    state::{Action as Order, AllocateFence, Reply},
};

/// Time between two looks at what engines need.
const LOOK: Duration = Duration::from_millis(100);
/// Pause before an engine that failed or refused is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// Time after which an engine's state is read again.
const READ_BACK: Duration = Duration::from_secs(5);
/// Engines that are ordered at once.
const AT_ONCE: usize = 32;

/// Gives orders while this controller leads, until the token is cancelled.
pub(super) async fn run<T: Clock, U: Upstreams>(
    core: Arc<Core<T>>,
    upstreams: Arc<U>,
    stop: CancellationToken,
) {
    let timing = timing(&core);
    let runner = Runner {
        desk: Desk::new(timing, Duration::ZERO),
        core,
        upstreams,
        timing,
        term: 0,
    };
    repeat(LOOK, &stop, runner, |mut runner| async move {
        runner.look().await;
        runner
    })
    .await;
}

/// An order must fit into what is left of the lease between two of its renewals.
fn timing<T: Clock>(core: &Core<T>) -> OrderTiming {
    let timing = &core.settings.timing;
    OrderTiming {
        longest_order: timing.election_timeout / 2,
        leader_lease: timing.election_timeout,
        retry: RETRY,
        read_back: READ_BACK,
    }
}

struct Runner<T, U> {
    core: Arc<Core<T>>,
    upstreams: Arc<U>,
    timing: OrderTiming,
    desk: Desk,
    term: u64,
}

impl<T: Clock, U: Upstreams> Runner<T, U> {
    async fn look(&mut self) {
        if !self.core.leads() {
            return;
        }
        let now = self.core.now();
        let term = self.core.fleet().term();
        if self.term != term {
            self.term = term;
            self.desk = Desk::new(self.timing, now);
        }
        let engines = {
            let state = self.core.log.state();
            let intent = state.configuration().intent();
            orders::engines(intent, &convert::present_instances(state.instances()))
        };
        self.desk.keep(&engines);
        let actions = self.desk.next(now, &engines);
        if actions.is_empty() {
            return;
        }
        let orders = actions
            .iter()
            .any(|(_, action)| matches!(action, Action::Order(_)));
        let fence = match orders {
            true => self.fence().await,
            false => Some(FencingNumber::default()),
        };
        let Some(fence) = fence else {
            return;
        };
        let this = &*self;
        let outcomes: Vec<(Target, Vec<Outcome>)> = stream::iter(actions)
            .map(|(target, action)| this.act(target, action, fence))
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        let now = self.core.now();
        for (target, outcomes) in outcomes {
            for outcome in outcomes {
                self.desk.note(now, &target, outcome);
            }
        }
    }

    async fn fence(&self) -> Option<FencingNumber> {
        let action = Order::AllocateFence(AllocateFence {});
        match self.core.propose(action).await.map(|applied| applied.reply) {
            Ok(Reply::Fence(fence)) => Some(fence),
            _ => None,
        }
    }

    async fn act(
        &self,
        target: Target,
        action: Action,
        fence: FencingNumber,
    ) -> (Target, Vec<Outcome>) {
        let outcomes = match action {
            Action::Read => vec![self.read(&target).await],
            Action::Order(kinds) => {
                let mut outcomes = Vec::new();
                for kind in kinds {
                    let outcome = self.order(&target, EngineOrder { kind, fence }).await;
                    let answered = matches!(outcome, Outcome::Answered(..));
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

    async fn read(&self, target: &Target) -> Outcome {
        let read = timeout(self.timing.longest_order, self.upstreams.load(target)).await;
        match read {
            Ok(Ok(load)) => Outcome::Read(load),
            Ok(Err(_)) | Err(_) => Outcome::NotSent,
        }
    }

    async fn order(&self, target: &Target, order: EngineOrder) -> Outcome {
        // The term is looked at again, because time has passed since the decision.
        let ends = self.core.now() + self.timing.longest_order;
        if self.core.log.led_term(ends) != Some(self.term) {
            return Outcome::NotSent;
        }
        let answer = timeout(
            self.timing.longest_order,
            self.upstreams.order(target, &order),
        );
        match answer.await {
            Ok(Ok(outcome)) => {
                log::info!(
                    "orders: {} answered {:?} to {:?} under {}.",
                    target.instance,
                    outcome,
                    order.kind,
                    order.fence
                );
                Outcome::Answered(order.kind, outcome)
            }
            Ok(Err(e)) => {
                log::warn!("orders: {} did not take an order: {e}.", target.instance);
                match e.sent {
                    Sent::No => Outcome::NotSent,
                    Sent::Maybe => Outcome::Unanswered,
                }
            }
            Err(_) => Outcome::Unanswered,
        }
    }
}
