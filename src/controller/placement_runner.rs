//! Executes the placement through the cloud API: starts missing instances, and drains and then stops
//! surplus ones. Nothing is started or stopped before the first intent is confirmed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{
    convert,
    core::Core,
    periodic::run_periodically,
    placement::{self, CurrentInstances, Steps},
};
use crate::{
    domain::{
        FencingToken, Instance, InstanceName, InstanceState, Intent, MachineClass, OperationId,
        Purchase, ZoneName,
    },
    policy::place::RefusedStart,
    ports::{Clock, CloudApi, CloudError, StartRequest, Target, Upstreams},
    state::{
        Action, AllocateFence, Observation, ObserveInstances, Reply, SettleStart, Sighting,
        StartOrder, StartRecord,
    },
    wire::LeavingNotice,
};

/// Longest wait for a response of the cloud API.
const CLOUD_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff after the first refused start; doubled with each refusal up to `MAX_START_BACKOFF`.
const MIN_START_BACKOFF: Duration = Duration::from_secs(2);
/// Longest backoff after refused starts.
const MAX_START_BACKOFF: Duration = Duration::from_secs(60);
/// Longest time for a started instance to appear in the cloud's list; the start is abandoned afterwards.
const LISTING_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which instances must stay surplus before they are drained, so that a short dip in demand drains nothing.
const SURPLUS_DRAIN_DELAY: Duration = Duration::from_secs(30);
/// Delay before a stop is ordered again.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(10);

type CapacityPool = (ZoneName, MachineClass, Purchase);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    length: Duration,
}

/// The leader's record of its orders to the cloud within a term.
#[derive(Debug, Default)]
struct PlacementRunner {
    term: u64,
    fence: Option<FencingToken>,
    backoffs: BTreeMap<CapacityPool, Backoff>,
    surplus_since: Option<Duration>,
    stop_ordered_at: BTreeMap<InstanceName, Duration>,
}

struct Snapshot {
    intent: Arc<Intent>,
    current: CurrentInstances,
    leaving_since: BTreeMap<InstanceName, u64>,
}

/// Executes the placement while this controller leads, until the token is cancelled. It runs
/// separately from the polls of the cloud API, so that a slow start delays no reclaim notice.
pub(super) async fn run<T: Clock, C: CloudApi, U: Upstreams>(
    core: Arc<Core<T>>,
    cloud: Arc<C>,
    upstreams: Arc<U>,
    stop: CancellationToken,
) {
    let runner = PlacementRunner::default();
    let poll_interval = core.settings.timing.cloud_poll;
    run_periodically(poll_interval, &stop, runner, |mut runner| async {
        if core.leads_with_instance_list() {
            runner.run_round(&core, &*cloud, &*upstreams).await;
        }
        runner
    })
    .await;
}

impl PlacementRunner {
    /// Takes a snapshot of the instances and executes the next steps.
    async fn run_round<T: Clock, C: CloudApi, U: Upstreams>(
        &mut self,
        core: &Core<T>,
        cloud: &C,
        upstreams: &U,
    ) {
        let term = core.fleet().term();
        if self.term != term {
            *self = Self {
                term,
                ..Self::default()
            };
        }
        let Some(snapshot) = take_snapshot(core) else {
            return;
        };
        for record in &snapshot.current.open_starts {
            self.continue_start(core, cloud, record).await;
        }
        let steps = placement::steps(
            &snapshot.intent,
            &snapshot.current,
            &self.refused_pools(core.now()),
        );
        for order in &steps.starts {
            if !propose(core, Action::OrderStart(order.clone())).await {
                return;
            }
        }
        self.drain_surplus(core, &steps).await;
        self.stop_drained(core, cloud, upstreams, &snapshot).await;
    }

    fn refused_pools(&self, now: Duration) -> Vec<RefusedStart> {
        let refused = self
            .backoffs
            .iter()
            .filter(|(_, backoff)| backoff.until > now);
        refused
            .map(|((zone, class, purchase), _)| RefusedStart {
                zone: zone.clone(),
                class: class.clone(),
                purchase: *purchase,
            })
            .collect()
    }

    /// Sends an open start order, or abandons it if its instance never appeared in the list.
    async fn continue_start<T: Clock, C: CloudApi>(
        &mut self,
        core: &Core<T>,
        cloud: &C,
        record: &StartRecord,
    ) {
        let Some(order) = &record.order else {
            return;
        };
        if !record.instance.is_empty() {
            let age = core.clock.unix_ms().saturating_sub(record.at_unix_ms);
            if Duration::from_millis(age) > LISTING_TIMEOUT {
                log::warn!(
                    "placement: started instance {} never appeared in the cloud's list; abandoning the start.",
                    record.instance
                );
                settle_start(core, record.index, String::new()).await;
            }
            return;
        }
        let Some(fence) = self.term_fence(core).await else {
            return;
        };
        let request = start_request(record, order, fence);
        match timeout(CLOUD_CALL_TIMEOUT, cloud.start(&request)).await {
            Ok(Ok(name)) => {
                log::info!(
                    "placement: instance {name} is starting for service {}.",
                    order.service
                );
                self.backoffs.remove(&capacity_pool(&request));
                settle_start(core, record.index, name.to_string()).await;
            }
            Ok(Err(CloudError::Refused(why))) => {
                log::warn!(
                    "placement: the cloud refused a start for service {} in zone {}: {why}.",
                    order.service,
                    order.zone
                );
                self.back_off(core.now(), capacity_pool(&request));
                settle_start(core, record.index, String::new()).await;
            }
            // The order stays open and is retried with the same operation id.
            Ok(Err(CloudError::Unanswered(_) | CloudError::Unreadable(_))) | Err(_) => {}
        }
    }

    fn back_off(&mut self, now: Duration, pool: CapacityPool) {
        let before = self.backoffs.get(&pool).map(|backoff| backoff.length * 2);
        let length = before.unwrap_or(MIN_START_BACKOFF).min(MAX_START_BACKOFF);
        let until = now + length;
        self.backoffs.insert(pool, Backoff { until, length });
    }

    async fn drain_surplus<T: Clock>(&mut self, core: &Core<T>, steps: &Steps) {
        if steps.surplus.is_empty() {
            self.surplus_since = None;
            return;
        }
        let now = core.now();
        if now < *self.surplus_since.get_or_insert(now) + SURPLUS_DRAIN_DELAY {
            return;
        }
        self.surplus_since = None;
        let observations = steps.surplus.iter().map(|(name, incarnation)| Observation {
            reason: "the confirmed placement wants fewer of its kind".into(),
            sighting: Some(Sighting::Leaving(LeavingNotice {
                instance: name.to_string(),
                incarnation: incarnation.0,
            })),
        });
        let observations = observations.collect();
        propose(core, Action::Observe(ObserveInstances { observations })).await;
    }

    async fn stop_drained<T: Clock, C: CloudApi, U: Upstreams>(
        &mut self,
        core: &Core<T>,
        cloud: &C,
        upstreams: &U,
        snapshot: &Snapshot,
    ) {
        for (name, since) in &snapshot.leaving_since {
            let instance = snapshot.current.instances.iter().find(|i| i.name == *name);
            let Some(instance) = instance else {
                continue;
            };
            let last_order = self.stop_ordered_at.get(name);
            if last_order.is_some_and(|at| core.now() < *at + STOP_RETRY_DELAY) {
                continue;
            }
            if !may_stop_now(core, upstreams, instance, *since).await {
                continue;
            }
            let Some(fence) = self.term_fence(core).await else {
                return;
            };
            self.stop_ordered_at.insert(name.clone(), core.now());
            match timeout(CLOUD_CALL_TIMEOUT, cloud.stop(name, fence)).await {
                Ok(Ok(())) => log::info!("placement: stopped instance {name}."),
                Ok(Err(e)) => log::warn!("placement: cannot stop instance {name}: {e}."),
                Err(_) => log::warn!("placement: the stop of instance {name} timed out."),
            }
        }
        let leaving = &snapshot.leaving_since;
        self.stop_ordered_at
            .retain(|name, _| leaving.contains_key(name));
    }

    /// Returns the fencing token for one order if this controller still leads in the term of this round; allocates it on
    /// first use. The answer to the order before may have taken any time, also because this process was stopped.
    async fn term_fence<T: Clock>(&mut self, core: &Core<T>) -> Option<FencingToken> {
        if self.fence.is_none() {
            let action = Action::AllocateFence(AllocateFence {});
            if let Ok(Reply::Fence(fence)) = core.propose(action).await.map(|a| a.reply) {
                self.fence = Some(fence);
            }
        }
        let still_leads = core.leads() && core.fleet().term() == self.term;
        self.fence.filter(|_| still_leads)
    }
}

/// Returns the current instances and starts, or `None` before the first confirmed intent.
fn take_snapshot<T: Clock>(core: &Core<T>) -> Option<Snapshot> {
    let state = core.log.state();
    let configuration = state.configuration();
    if configuration.revision() == 0 {
        return None;
    }
    let instances = convert::present_instances(state.instances());
    let leaving = instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Leaving);
    let leaving_since = leaving.filter_map(|instance| {
        let fact = state.instances().get(instance.name.as_str())?;
        Some((instance.name.clone(), fact.events.last()?.at_unix_ms))
    });
    Some(Snapshot {
        intent: Arc::clone(configuration.intent()),
        leaving_since: leaving_since.collect(),
        current: CurrentInstances {
            instances,
            open_starts: state.starts().open_orders().cloned().collect(),
        },
    })
}

async fn may_stop_now<T: Clock, U: Upstreams>(
    core: &Core<T>,
    upstreams: &U,
    instance: &Instance,
    since_unix_ms: u64,
) -> bool {
    let timing = &core.settings.timing;
    let elapsed = core.clock.unix_ms().saturating_sub(since_unix_ms);
    let leaving_for = Duration::from_millis(elapsed);
    let check =
        |idle| placement::may_stop(leaving_for, idle, timing.view_lease, timing.request_timeout);
    if check(false) || !check(true) {
        return check(false);
    }
    let target = Target {
        instance: instance.name.clone(),
        incarnation: instance.incarnation,
        address: instance.address,
    };
    let load = timeout(timing.connect_timeout, upstreams.load(&target)).await;
    matches!(load, Ok(Ok(load)) if load.running == 0 && load.queued == 0)
}

async fn settle_start<T: Clock>(core: &Core<T>, index: u64, instance: String) {
    propose(core, Action::SettleStart(SettleStart { index, instance })).await;
}

async fn propose<T: Clock>(core: &Core<T>, action: Action) -> bool {
    let result = core.propose(action).await;
    if let Err(e) = &result {
        log::warn!("placement: cannot commit a step yet: {e}.");
    }
    result.is_ok()
}

fn start_request(record: &StartRecord, order: &StartOrder, fence: FencingToken) -> StartRequest {
    StartRequest {
        operation: operation_id(record, order),
        service: order.service.as_str().into(),
        zone: order.zone.as_str().into(),
        class: MachineClass(order.class.as_str().into()),
        purchase: match order.reclaimable {
            true => Purchase::Reclaimable,
            false => Purchase::OnDemand,
        },
        fence,
    }
}

/// Returns an operation id that is the same on every leader and unique to the order, so that a retried start takes
/// effect once.
fn operation_id(record: &StartRecord, order: &StartOrder) -> OperationId {
    let mut hash = Sha256::new();
    hash.update(record.index.to_be_bytes());
    hash.update(record.at_unix_ms.to_be_bytes());
    hash.update(order.service.as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    OperationId(uuid::Builder::from_random_bytes(bytes).into_uuid())
}

fn capacity_pool(request: &StartRequest) -> CapacityPool {
    (
        request.zone.clone(),
        request.class.clone(),
        request.purchase,
    )
}
