//! Follows the controllers with long polls: each one is asked for changes, and the newest of all replies
//! is used. A gateway that reaches no controller keeps serving from its last state.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{Core, documents::Documents};
use crate::{
    domain::RouteIndex,
    link::{Identity, Link, LinkSettings, PeerKey},
    ports::{Clock, Platform},
    settings::SettingsWatch,
    wire::{Body, ControllerRecord, FollowReply, FollowRequest, IngressRecord, Roster},
};

/// Long-poll timeout: without a change, a controller replies after this time as a heartbeat. It is a third
/// of the silence after which a controller drops a gateway from the roster.
pub(super) const FOLLOW_WAIT: Duration = Duration::from_millis(700);
/// The same while a roll-out runs: a verdict on a version waits for what all gateways report.
const ROLLOUT_WAIT: Duration = Duration::from_millis(300);
/// Part of that for each gateway, which bounds a controller to about 500 polls per second.
const ROLLOUT_WAIT_PER_GATEWAY: Duration = Duration::from_millis(2);
/// Time that a reply may take beyond [`FOLLOW_WAIT`].
const REPLY_GRACE: Duration = Duration::from_millis(800);
/// Timeout of the notice that this gateway leaves; a controller may delay its reply to batch changes.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before the notice that this gateway leaves is repeated.
const WITHDRAWAL_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a controller failed to reply.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Age of a controller's last reply after which its roster is ignored, while other controllers reply.
const MAX_ROSTER_AGE: Duration = Duration::from_millis(2500);

/// Follows the controllers in the settings, and those that they list, until the token is cancelled.
pub(super) async fn run<P: Platform, T: Clock>(
    core: Arc<Core<P, T>>,
    key: PeerKey,
    own: Identity,
    mut reloaded: SettingsWatch,
    stop: CancellationToken,
) {
    let follower = Arc::new(Follower {
        core,
        key,
        own,
        documents: Documents::default(),
        list: Mutex::default(),
        controllers: Mutex::default(),
    });
    let (fetching, fetching_stop) = (Arc::clone(&follower), stop.clone());
    tokio::spawn(async move {
        let fetch = fetching.fetch_tables();
        fetching_stop.run_until_cancelled(fetch).await;
    });
    loop {
        let settings = Arc::clone(&reloaded.borrow_and_update());
        for entry in &settings.controllers {
            follower.add_controller(entry.name.as_ref(), entry.peer_address, &stop);
        }
        tokio::select! {
            () = stop.cancelled() => return,
            Ok(()) = reloaded.changed() => {}
        }
    }
}

struct Follower<P, T> {
    core: Arc<Core<P, T>>,
    key: PeerKey,
    own: Identity,
    /// Fetches the published document.
    documents: Documents,
    /// Version of the list of upstreams in force.
    list: Mutex<crate::wire::ListVersion>,
    /// The controllers that are followed, by name.
    controllers: Mutex<HashMap<String, KnownController>>,
}

struct KnownController {
    /// The controller's last list of gateways.
    roster: Roster,
    /// When the controller last replied.
    last_reply: Option<Instant>,
}

impl<P: Platform, T: Clock> Follower<P, T> {
    /// Starts to follow a controller, unless it is already followed.
    fn add_controller(self: &Arc<Self>, name: &str, address: SocketAddr, stop: &CancellationToken) {
        let mut controllers = self
            .controllers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if controllers.contains_key(name) {
            return;
        }
        let known = KnownController {
            roster: Roster::default(),
            last_reply: None,
        };
        controllers.insert(name.to_owned(), known);
        let settings = LinkSettings::default();
        let link = Link::connect(address, self.key.clone(), self.own.clone(), settings);
        let (follower, name, stop) = (Arc::clone(self), name.to_owned(), stop.clone());
        tokio::spawn(async move {
            let origins = Arc::clone(&follower.core.origins);
            let all = async {
                tokio::join!(
                    follower.follow(&name, &link, &stop),
                    follower.withdraw(&name, &link),
                    origins.report_to(&name, &link),
                )
            };
            stop.run_until_cancelled(all).await;
        });
    }

    async fn follow(self: &Arc<Self>, name: &str, link: &Link, stop: &CancellationToken) {
        let mut is_answering = false;
        loop {
            let (sent, sent_at) = (self.core.clock.monotonic(), Instant::now());
            let (request, reported) = self.follow_request(name);
            let request = Body::Follow(request);
            let result = link.call(request, FOLLOW_WAIT + REPLY_GRACE).await;
            let answered = matches!(result, Ok(Body::FollowReply(_)));
            if answered != is_answering {
                is_answering = answered;
                self.core.origins.set_answering(name, link, answered);
                let table = self.core.routes.load();
                match is_answering {
                    true => log::info!(
                        event = "controller.answers", controller = name;
                        "ingress: controller {name} answers"
                    ),
                    false => log::warn!(
                        event = "controller.silent", controller = name,
                        version = table.table.version;
                        "ingress: controller {name} does not answer; the table in force stays"
                    ),
                }
            }
            match result {
                Ok(Body::FollowReply(reply)) => {
                    self.core
                        .crashes
                        .apply_reply(name, &reply, reported, Instant::now());
                    self.core
                        .controllers
                        .record_reply(name, reply.leads, Instant::now());
                    if let Some(news) = &reply.rollouts {
                        self.core.rollouts.apply(name, news, sent_at);
                    }
                    let leads = reply.leads;
                    if leads {
                        self.core.quotas.apply_lease(&reply, sent);
                        self.core.room.apply_sums(&reply, sent_at);
                        self.core.leader.store(Some(Arc::new(link.clone())));
                    }
                    self.apply_reply(name, link, reply, stop).await;
                    if leads {
                        self.core.upstreams.confirm_limits(sent);
                    }
                }
                Ok(other) => {
                    log::warn!("ingress: unexpected reply of controller {name}: {other:?}.");
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => {
                    self.core.crashes.record_silence(name);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Tells a controller that this gateway leaves as soon as the shutdown begins, even while a long poll or a
    /// transfer of the document is in progress, and until the controller replies.
    async fn withdraw(&self, name: &str, link: &Link) {
        self.core.shutdown.begun().await;
        loop {
            let request = FollowRequest {
                wait_ms: 0,
                ..self.state_report(name)
            };
            match link.call(Body::Follow(request), WITHDRAWAL_TIMEOUT).await {
                Ok(Body::FollowReply(_)) => return,
                Ok(other) => log::warn!(
                    "ingress: unexpected reply of controller {name} to a withdrawal: {other:?}."
                ),
                Err(e) => log::debug!(
                    "ingress: controller {name} did not confirm the withdrawal: {e}; it is repeated."
                ),
            }
            sleep(WITHDRAWAL_RETRY_PAUSE).await;
        }
    }

    /// Returns a poll of a controller, and the number of the last request that was cut off and is reported in it.
    fn follow_request(&self, name: &str) -> (FollowRequest, u64) {
        let mut request = self.state_report(name);
        let crashes = &self.core.crashes;
        let reported = crashes.add_to_request(name, &mut request, Instant::now());
        let paces = &self.core.upstreams.paces;
        request.paces = paces.report_to(name, Instant::now());
        request.held_paces_version = paces.held_version();
        (request, reported)
    }

    /// Returns a poll of a controller without reports of crashes, which are sent once.
    fn state_report(&self, name: &str) -> FollowRequest {
        let controllers = self
            .controllers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let held_roster_version = controllers
            .get(name)
            .map_or(0, |known| known.roster.version);
        drop(controllers);
        let (quota_uses, window_fraction) =
            self.core.quotas.usage_report(self.core.clock.monotonic());
        let rollouts = &self.core.rollouts;
        let wait = match rollouts.is_running() {
            true => {
                let gateways = u32::try_from(self.core.roster.load().len()).unwrap_or(u32::MAX);
                let fair = ROLLOUT_WAIT_PER_GATEWAY.saturating_mul(gateways);
                fair.clamp(ROLLOUT_WAIT, FOLLOW_WAIT)
            }
            false => FOLLOW_WAIT,
        };
        let upstreams = &self.core.upstreams;
        // Only the leader needs the demand of all gateways; without a known one, any controller may lead.
        let shares_room = self.core.room.is_enabled();
        let leader = self.core.controllers.leader();
        let may_lead = leader.is_none_or(|leader| leader == name);
        let rooms = match shares_room && may_lead {
            true => self.core.room.report(),
            false => Vec::new(),
        };
        FollowRequest {
            rollouts: rollouts.reports(Instant::now(), |service, target| {
                upstreams.in_progress_beside(service, target)
            }),
            held_rollouts_version: rollouts.held_version(name),
            rooms,
            shares_room,
            quota_uses,
            window_fraction,
            gateway: Some(self.core.record()),
            held_version: self
                .documents
                .newest_offer()
                .max(self.core.routes.load().table.version),
            held_list_version: Some(*self.list.lock().unwrap_or_else(PoisonError::into_inner)),
            held_roster_version,
            wait_ms: wait.as_millis() as u64,
            usage: self.core.usage.newest_windows(self.core.clock.unix_ms()),
            demands: self.core.quotas.demands(self.core.clock.monotonic()),
            incarnation: self.own.incarnation.0,
            held_shares: self.core.quotas.parts(self.core.clock.monotonic()),
            loads: self.core.upstreams.service_loads(Instant::now()),
            leaving: self.core.upstreams.said_leaving(Instant::now()),
            limits: self
                .core
                .upstreams
                .limit_reports(self.core.clock.monotonic()),
            ..FollowRequest::default()
        }
    }

    async fn apply_reply(
        self: &Arc<Self>,
        name: &str,
        link: &Link,
        reply: FollowReply,
        stop: &CancellationToken,
    ) {
        self.core.upstreams.set_prefill_speeds(&reply.speeds);
        if let Some(paces) = reply.paces.as_ref().filter(|_| reply.leads) {
            self.core.upstreams.apply_paces(paces);
        }
        for record in &reply.controllers {
            self.add_from_record(record, stop);
        }
        if let Some(list) = reply.list {
            let mut held = self.list.lock().unwrap_or_else(PoisonError::into_inner);
            let version = list.version.unwrap_or_default();
            if version > *held {
                match list.decode_rows() {
                    Ok(list) => {
                        *held = version;
                        let gone = match list.is_delta {
                            true => self.core.upstreams.apply_changes(&list),
                            false => self.core.upstreams.replace_list(&list),
                        };
                        if !gone.is_empty() {
                            self.core.client.retain(|target| !gone.contains(target));
                        }
                    }
                    Err(e) => log::error!(
                        "ingress: the list of controller {name} cannot be decoded: {e}."
                    ),
                }
            }
        }
        self.update_roster(name, reply.roster);
        if reply.version > self.core.routes.load().table.version {
            self.documents
                .offer(name, link, reply.version, reply.sends_blocks);
        }
    }

    fn add_from_record(self: &Arc<Self>, record: &ControllerRecord, stop: &CancellationToken) {
        match record.peer_address.parse() {
            Ok(address) => self.add_controller(&record.name, address, stop),
            Err(e) => log::warn!(
                "ingress: controller {} has no valid address: {e}.",
                record.name
            ),
        }
    }

    /// Stores a controller's roster and publishes the union of the rosters of all controllers that replied
    /// within [`MAX_ROSTER_AGE`].
    fn update_roster(&self, name: &str, roster: Option<Roster>) {
        let now = Instant::now();
        let mut controllers = self
            .controllers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(known) = controllers.get_mut(name) else {
            return;
        };
        known.last_reply = Some(now);
        let Some(roster) = roster else {
            return;
        };
        known.roster.apply(roster);
        let is_fresh = |known: &&KnownController| {
            known
                .last_reply
                .is_some_and(|at| now - at <= MAX_ROSTER_AGE)
        };
        let mut gateways: Vec<IngressRecord> = controllers
            .values()
            .filter(is_fresh)
            .flat_map(|known| known.roster.gateways.iter().cloned())
            .collect();
        // If two rosters disagree on whether a gateway is open, the closed record is more often the newer
        // one: gateways start rarely, and callers lose little by missing one for a moment.
        gateways.sort_by(|a, b| a.name.cmp(&b.name).then(a.open.cmp(&b.open)));
        gateways.dedup_by(|a, b| a.name == b.name);
        self.core.quotas.set_gateways(gateways.len());
        self.core.budgets.set_gateways(gateways.len());
        let own = &self.core.settings.name;
        self.core.announcer.set_gateways(&gateways, own);
        self.core.upstreams.set_gateways(own, &gateways);
        self.core.reach.set_gateways(&gateways);
        self.core.roster.store(Arc::new(gateways));
    }

    async fn fetch_tables(&self) {
        let held_version = self.core.routes.load().table.version;
        let apply = |name: &str, version, document: &Bytes| {
            self.apply_document(name, version, document);
        };
        self.documents.run(held_version, apply).await;
    }

    fn apply_document(&self, name: &str, version: u64, document: &Bytes) {
        match self.core.platform.read_table(document) {
            Ok(table) if table.version > self.core.routes.load().table.version => {
                log::info!(
                    event = "table.in_force", version = table.version, controller = name,
                    routes = table.routes.len(), accounts = table.accounts.len(),
                    before = self.core.routes.load().table.version;
                    "ingress: a table is in force"
                );
                self.core
                    .quotas
                    .set_accounts(&table.accounts, self.core.clock.monotonic());
                self.core.routes.store(Arc::new(RouteIndex::new(table)));
            }
            Ok(_) => {}
            Err(e) => log::error!(
                "ingress: table version {version} of controller {name} is invalid: {e}."
            ),
        }
    }
}
