//! Carries out the placement through the cloud API: starts what is missing, drains and then stops
//! what is not wanted. Nothing is started or stopped before the first confirm.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::{
    convert,
    core::Core,
    placement::{self, Running, Steps},
};
use crate::{
    domain::{
        FencingNumber, Instance, InstanceName, InstanceState, Intent, MachineClass, OperationId,
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

/// Longest wait for an answer of the cloud API.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a first refused start; doubled up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause after refused starts.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// How long a started instance may be missing from the list before it is given up.
const LIST_PATIENCE: Duration = Duration::from_secs(120);
/// How long instances must be unwanted before they are drained, so that a short dip drains nothing.
const SURPLUS_PATIENCE: Duration = Duration::from_secs(30);
/// Pause before a stop is ordered again.
const STOP_PAUSE: Duration = Duration::from_secs(10);

type Offer = (ZoneName, MachineClass, Purchase);

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Duration,
    length: Duration,
}

/// The leader's memory of what it ordered from the cloud.
#[derive(Debug, Default)]
struct Placer {
    term: u64,
    fence: Option<FencingNumber>,
    pauses: BTreeMap<Offer, Pause>,
    surplus_since: Option<Duration>,
    stopped: BTreeMap<InstanceName, Duration>,
}

struct Look {
    intent: Arc<Intent>,
    running: Running,
    leaving_since: BTreeMap<InstanceName, u64>,
}

/// Carries out the placement while this controller leads, until the token is cancelled. It is apart
/// from the polls of the cloud API, so that a slow start holds up no reclaim notice.
pub(super) async fn run<T: Clock, C: CloudApi, U: Upstreams>(
    core: Arc<Core<T>>,
    cloud: Arc<C>,
    upstreams: Arc<U>,
    stop: CancellationToken,
) {
    let mut placer = Placer::default();
    let mut tick = interval(core.settings.timing.cloud_poll);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => return,
        }
        if !core.leads_with_instance_list() {
            continue;
        }
        tokio::select! {
            () = placer.look(&core, &*cloud, &*upstreams) => {}
            () = stop.cancelled() => return,
        }
    }
}

impl Placer {
    /// Looks at what runs and takes the next steps.
    async fn look<T: Clock, C: CloudApi, U: Upstreams>(
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
        let Some(look) = observe(core) else {
            return;
        };
        for record in &look.running.ordered {
            self.pursue(core, cloud, record).await;
        }
        let steps = placement::steps(&look.intent, &look.running, &self.refused(core.now()));
        for order in &steps.starts {
            if !propose(core, Action::OrderStart(order.clone())).await {
                return;
            }
        }
        self.drain(core, &steps).await;
        self.stop(core, cloud, upstreams, &look).await;
    }

    fn refused(&self, now: Duration) -> Vec<RefusedStart> {
        let paused = self.pauses.iter().filter(|(_, pause)| pause.until > now);
        paused
            .map(|((zone, class, purchase), _)| RefusedStart {
                zone: zone.clone(),
                class: class.clone(),
                purchase: *purchase,
            })
            .collect()
    }

    /// Sends an open order, or gives up one whose instance never came into the list.
    async fn pursue<T: Clock, C: CloudApi>(
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
            if Duration::from_millis(age) > LIST_PATIENCE {
                log::warn!("placement: {} never came into the list.", record.instance);
                settle(core, record.index, String::new()).await;
            }
            return;
        }
        let Some(fence) = self.fence(core).await else {
            return;
        };
        let request = request(record, order, fence);
        match timeout(CALL_TIMEOUT, cloud.start(&request)).await {
            Ok(Ok(name)) => {
                log::info!("placement: {name} starts for {}.", order.service);
                self.pauses.remove(&offer(&request));
                settle(core, record.index, name.to_string()).await;
            }
            Ok(Err(CloudError::Refused(why))) => {
                log::warn!(
                    "placement: a start for {} in {} was refused: {why}.",
                    order.service,
                    order.zone
                );
                self.pause(core.now(), offer(&request));
                settle(core, record.index, String::new()).await;
            }
            // The order stays open and is sent again under the same operation id.
            Ok(Err(CloudError::Unanswered(_))) | Err(_) => {}
        }
    }

    fn pause(&mut self, now: Duration, offer: Offer) {
        let before = self.pauses.get(&offer).map(|pause| pause.length * 2);
        let length = before.unwrap_or(FIRST_PAUSE).min(LONGEST_PAUSE);
        let until = now + length;
        self.pauses.insert(offer, Pause { until, length });
    }

    async fn drain<T: Clock>(&mut self, core: &Core<T>, steps: &Steps) {
        if steps.surplus.is_empty() {
            self.surplus_since = None;
            return;
        }
        let now = core.now();
        if now < *self.surplus_since.get_or_insert(now) + SURPLUS_PATIENCE {
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

    async fn stop<T: Clock, C: CloudApi, U: Upstreams>(
        &mut self,
        core: &Core<T>,
        cloud: &C,
        upstreams: &U,
        look: &Look,
    ) {
        for (name, since) in &look.leaving_since {
            let instance = look.running.instances.iter().find(|i| i.name == *name);
            let Some(instance) = instance else {
                continue;
            };
            let paused = self.stopped.get(name);
            if paused.is_some_and(|at| core.now() < *at + STOP_PAUSE) {
                continue;
            }
            if !is_finished(core, upstreams, instance, *since).await {
                continue;
            }
            let Some(fence) = self.fence(core).await else {
                return;
            };
            self.stopped.insert(name.clone(), core.now());
            match timeout(CALL_TIMEOUT, cloud.stop(name, fence)).await {
                Ok(Ok(())) => log::info!("placement: {name} is stopped."),
                Ok(Err(e)) => log::warn!("placement: {name} was not stopped: {e}."),
                Err(_) => log::warn!("placement: the stop of {name} was not answered."),
            }
        }
        let leaving = &look.leaving_since;
        self.stopped.retain(|name, _| leaving.contains_key(name));
    }

    async fn fence<T: Clock>(&mut self, core: &Core<T>) -> Option<FencingNumber> {
        if self.fence.is_none() {
            let action = Action::AllocateFence(AllocateFence {});
            if let Ok(Reply::Fence(fence)) = core.propose(action).await.map(|a| a.reply) {
                self.fence = Some(fence);
            }
        }
        self.fence
    }
}

/// Returns what runs, or nothing before the first confirm.
fn observe<T: Clock>(core: &Core<T>) -> Option<Look> {
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
    Some(Look {
        intent: Arc::clone(configuration.intent()),
        leaving_since: leaving_since.collect(),
        running: Running {
            instances,
            ordered: state.starts().open_orders().cloned().collect(),
        },
    })
}

async fn is_finished<T: Clock, U: Upstreams>(
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

async fn settle<T: Clock>(core: &Core<T>, index: u64, instance: String) {
    propose(core, Action::SettleStart(SettleStart { index, instance })).await;
}

async fn propose<T: Clock>(core: &Core<T>, action: Action) -> bool {
    let result = core.propose(action).await;
    if let Err(e) = &result {
        log::warn!("placement: a step is not recorded yet: {e}.");
    }
    result.is_ok()
}

fn request(record: &StartRecord, order: &StartOrder, fence: FencingNumber) -> StartRequest {
    StartRequest {
        operation: operation(record, order),
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

/// The same for every leader, and different for every order.
fn operation(record: &StartRecord, order: &StartOrder) -> OperationId {
    let mut hash = Sha256::new();
    hash.update(record.index.to_be_bytes());
    hash.update(record.at_unix_ms.to_be_bytes());
    hash.update(order.service.as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    OperationId(uuid::Builder::from_random_bytes(bytes).into_uuid())
}

fn offer(request: &StartRequest) -> Offer {
    (
        request.zone.clone(),
        request.class.clone(),
        request.purchase,
    )
}
