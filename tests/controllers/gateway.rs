//! A fake gateway that only sends heartbeats, polls views and makes claims.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use flamingocroft::{
    domain::Incarnation,
    link::{Identity, Link, LinkSettings, PeerKey},
    wire::{
        Body, ClaimReply, ClaimRequest, Demand, GatewayHeartbeat, GatewayRecord, LeaseReply,
        LeavingNotice, ViewReply, ViewRequest,
    },
};
use tokio::{sync::watch, task::JoinSet};

use super::{Cluster, PEER_KEY};

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a gateway has received from the leader.
#[derive(Clone, Debug, Default)]
pub struct GatewayState {
    pub index: u64,
    pub term: u64,
    pub sequence: u64,
    pub revision: u64,
    pub gateways: Vec<String>,
    pub instances: Vec<(String, u32)>,
    pub lease: Option<LeaseReply>,
    pub slots: u32,
    pub shares_version: u64,
}

pub struct FakeGateway {
    pub record: GatewayRecord,
    pub shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

pub struct Shared {
    links: Vec<(String, Link)>,
    leader_index: AtomicUsize,
    pub state: watch::Sender<GatewayState>,
    pub leaving: std::sync::Mutex<Vec<LeavingNotice>>,
    pub demand: std::sync::Mutex<Vec<Demand>>,
    /// Bytes of all messages sent and received, without the length prefix of the frames.
    pub bytes: AtomicU64,
    /// Stops sending heartbeats.
    pub silent: AtomicBool,
    /// Drops the views that it polls.
    pub drops_views: AtomicBool,
    /// Drops the new shares in heartbeat replies, and so keeps its old ones.
    pub drops_shares: AtomicBool,
}

impl Shared {
    fn count(&self, body: &Body) {
        let bytes = body.encoded_len() as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Sends a message to the leader, following `NotLeader` redirects, until a controller answers.
    pub async fn ask(&self, body: Body) -> Body {
        loop {
            let index = self.leader_index.load(Ordering::Relaxed) % self.links.len();
            self.count(&body);
            let answer = self.links[index].1.call(body.clone(), CALL_TIMEOUT).await;
            if let Ok(reply) = &answer {
                self.count(reply);
            }
            match answer {
                Ok(Body::NotLeader(other)) => {
                    let named = self
                        .links
                        .iter()
                        .position(|(name, _)| *name == other.leader);
                    self.leader_index
                        .store(named.unwrap_or(index + 1), Ordering::Relaxed);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                Ok(reply) => return reply,
                Err(_) => {
                    self.leader_index.store(index + 1, Ordering::Relaxed);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Returns the link to the first controller.
    pub fn link(&self) -> &Link {
        &self.links[0].1
    }

    /// Returns the link that last reached the leader.
    pub fn leader_link(&self) -> &Link {
        let index = self.leader_index.load(Ordering::Relaxed) % self.links.len();
        &self.links[index].1
    }

    pub async fn claim(&self, request: &ClaimRequest) -> ClaimReply {
        match self.ask(Body::Claim(request.clone())).await {
            Body::ClaimReply(reply) => reply,
            other => panic!("unexpected answer {other:?}"),
        }
    }

    fn apply_view(&self, reply: &ViewReply) {
        self.state.send_modify(|state| {
            if (reply.index, reply.term, reply.sequence) < (state.index, state.term, state.sequence)
            {
                return;
            }
            state.index = reply.index;
            state.term = reply.term;
            state.sequence = reply.sequence;
            state.revision = reply.revision;
            if reply.gateways_changed {
                state.gateways = reply.gateways.iter().map(|g| g.name.clone()).collect();
            }
            if reply.instances_complete {
                state.instances.clear();
            }
            for record in &reply.instances {
                state.instances.retain(|(name, _)| *name != record.name);
                state.instances.push((record.name.clone(), record.state));
            }
        });
    }
}

impl FakeGateway {
    pub fn start(cluster: &Cluster, name: &str, zone: &str, incarnation: u64) -> Self {
        let own = Identity {
            name: name.into(),
            incarnation: Incarnation(incarnation),
        };
        let key = PeerKey::new(PEER_KEY).unwrap();
        let links = cluster.controllers.iter().map(|controller| {
            let address = controller.settings.peer_address;
            let link = Link::connect(address, key.clone(), own.clone(), LinkSettings::default());
            (controller.settings.name.to_string(), link)
        });
        let shared = Arc::new(Shared {
            links: links.collect(),
            leader_index: AtomicUsize::new(0),
            state: watch::channel(GatewayState::default()).0,
            leaving: std::sync::Mutex::default(),
            demand: std::sync::Mutex::default(),
            bytes: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            drops_views: AtomicBool::new(false),
            drops_shares: AtomicBool::new(false),
        });
        let record = GatewayRecord {
            name: name.into(),
            incarnation,
            zone: zone.into(),
            caller_address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
        };
        let mut tasks = JoinSet::new();
        let period = cluster.controllers[0].settings.timing.gateway_heartbeat;
        tasks.spawn(send_heartbeats(Arc::clone(&shared), record.clone(), period));
        tasks.spawn(poll_views(Arc::clone(&shared), name.to_owned()));
        Self {
            record,
            shared,
            tasks,
        }
    }

    /// Waits until the gateway's state has a property.
    pub async fn wait_for_state(
        &self,
        property: impl FnMut(&GatewayState) -> bool,
    ) -> GatewayState {
        let mut state = self.shared.state.subscribe();
        let seen = tokio::time::timeout(Duration::from_secs(20), state.wait_for(property)).await;
        match seen {
            Ok(state) => state.unwrap().clone(),
            Err(_) => panic!(
                "the state never had the property; last state: {:?}",
                *self.shared.state.borrow()
            ),
        }
    }

    pub fn claim_request(&self, key: uuid::Uuid, digest: u8, attempt: u64) -> ClaimRequest {
        ClaimRequest {
            account: "office".into(),
            key: key.as_bytes().to_vec(),
            digest: vec![digest; 32],
            gateway: self.record.name.clone(),
            incarnation: self.record.incarnation,
            attempt,
        }
    }
}

async fn send_heartbeats(shared: Arc<Shared>, record: GatewayRecord, period: Duration) {
    let mut tick = tokio::time::interval(period);
    loop {
        tick.tick().await;
        if shared.silent.load(Ordering::Relaxed) {
            continue;
        }
        send_heartbeat(&shared, &record).await;
    }
}

async fn send_heartbeat(shared: &Shared, record: &GatewayRecord) {
    let state = shared.state.borrow().clone();
    let heartbeat = GatewayHeartbeat {
        gateway: Some(record.clone()),
        view_index: state.index,
        demand: shared.demand.lock().unwrap().clone(),
        leaving: shared.leaving.lock().unwrap().clone(),
        shares_version: state.shares_version,
    };
    if let Body::Lease(lease) = shared.ask(Body::Heartbeat(heartbeat)).await {
        shared.state.send_modify(|state| {
            if lease.shares_changed && !shared.drops_shares.load(Ordering::Relaxed) {
                state.shares_version = lease.shares_version;
                state.slots = lease.shares.iter().map(|share| share.slots).sum();
            }
            state.lease = Some(lease);
        });
    }
}

async fn poll_views(shared: Arc<Shared>, gateway: String) {
    loop {
        let state = shared.state.borrow().clone();
        let request = ViewRequest {
            gateway: gateway.clone(),
            held_index: state.index,
            held_term: state.term,
            held_sequence: state.sequence,
            wait_ms: 1000,
        };
        if let Body::View(reply) = shared.ask(Body::ViewRequest(request)).await
            && !shared.drops_views.load(Ordering::Relaxed)
        {
            shared.apply_view(&reply);
        }
    }
}
