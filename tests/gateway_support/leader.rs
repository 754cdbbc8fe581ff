//! A leader that serves a view set by the test and keeps claims in memory.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use flamingocroft::{
    link::{Handler, Peer},
    wire::{
        Body, ClaimReply, ClaimRequest, ClaimStatus, GatewayHeartbeat, GatewayRecord,
        InstanceRecord, LeaseReply, NotLeader, OutcomeReply, ShareRecord, StoredOutcome, ViewReply,
        ViewRequest,
    },
};
use tokio::{sync::watch, time::timeout};

/// How the leader answers claims.
#[derive(Clone, Debug, Default)]
pub enum ClaimMode {
    /// With their proper status.
    #[default]
    Settled,
    /// Records them and does not answer.
    Silent,
    /// With this status, whatever was recorded.
    Always(ClaimStatus),
    /// With the code of a status that only a later build knows.
    AlwaysCode(i32),
}

struct Record {
    claim: ClaimRequest,
    outcome: Option<Option<StoredOutcome>>,
}

#[derive(Default)]
struct State {
    view: ViewReply,
    gateways: Vec<GatewayRecord>,
    shares: Vec<ShareRecord>,
    claims: HashMap<Vec<u8>, Record>,
    mode: ClaimMode,
    silent: bool,
    lease: Duration,
    outcomes: u32,
    lost_outcomes: u32,
    releases: Vec<u64>,
    claim_attempts: Vec<u64>,
    demand: u32,
    notices: Vec<String>,
    index_ahead: u64,
    older_view: Option<ViewReply>,
}

pub struct FakeLeader {
    state: Mutex<State>,
    /// Wakes view requests; the value is the view's sequence.
    changed: watch::Sender<u64>,
    /// Claims are answered while the value is true.
    pub grants_open: watch::Sender<bool>,
    /// Counts the answers with an older index.
    older_views_sent: Arc<watch::Sender<u32>>,
    /// Counts granted claims, including those with a delayed answer.
    pub granted: watch::Sender<u32>,
}

impl FakeLeader {
    pub fn new(lease: Duration) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                lease,
                ..State::default()
            }),
            changed: watch::Sender::new(0),
            grants_open: watch::Sender::new(true),
            older_views_sent: Arc::new(watch::Sender::new(0)),
            granted: watch::Sender::new(0),
        })
    }

    fn with_state<R>(&self, act: impl FnOnce(&mut State) -> R) -> R {
        act(&mut self.state.lock().unwrap())
    }

    pub fn set_intent(&self, intent: &str, shares: Vec<ShareRecord>) {
        self.change(|state| {
            state.view.intent = intent.to_owned().into();
            state.view.revision += 1;
            state.view.index += 1;
            state.shares = shares;
        });
    }

    pub fn set_instances(&self, instances: Vec<InstanceRecord>) {
        self.change(|state| state.view.instances = instances);
    }

    /// Marks an instance as leaving in the view.
    pub fn set_leaving(&self, name: &str) {
        self.change(|state| {
            for instance in &mut state.view.instances {
                if instance.name == name {
                    instance.state = 1;
                }
            }
        });
    }

    fn change(&self, act: impl FnOnce(&mut State)) {
        let sequence = self.with_state(|state| {
            act(state);
            state.view.sequence += 1;
            state.view.term = 1;
            state.view.instances_complete = true;
            state.view.gateways_changed = true;
            state.view.gateways = state.gateways.clone();
            state.view.sequence
        });
        self.changed.send_replace(sequence);
    }

    /// Sets whether heartbeats and view requests are left unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.with_state(|state| state.silent = silent);
    }

    pub fn set_claim_mode(&self, mode: ClaimMode) {
        self.with_state(|state| state.mode = mode);
    }

    /// Leaves the next `count` outcomes unanswered, though they are recorded.
    pub fn lose_outcomes(&self, count: u32) {
        self.with_state(|state| state.lost_outcomes = count);
    }

    pub fn outcomes(&self) -> u32 {
        self.with_state(|state| state.outcomes)
    }

    /// Returns the attempt numbers of released claims.
    pub fn releases(&self) -> Vec<u64> {
        self.with_state(|state| state.releases.clone())
    }

    /// Returns the attempt numbers of received claims, including resent ones.
    pub fn claim_attempts(&self) -> Vec<u64> {
        self.with_state(|state| state.claim_attempts.clone())
    }

    pub fn demand(&self) -> u32 {
        self.with_state(|state| state.demand)
    }

    pub fn notices(&self) -> Vec<String> {
        self.with_state(|state| state.notices.clone())
    }

    pub fn gateways(&self) -> Vec<GatewayRecord> {
        self.with_state(|state| state.gateways.clone())
    }

    /// Replaces the record of a gateway, as its heartbeat would.
    pub fn replace_gateway(&self, record: GatewayRecord) {
        self.change(|state| {
            state.gateways.retain(|known| known.name != record.name);
            state.gateways.push(record);
        });
    }

    /// Makes leases require a view index that is ahead of the published one.
    pub fn require_index_ahead(&self, ahead: u64) {
        self.with_state(|state| state.index_ahead = ahead);
    }

    /// Answers view requests with an older index but a higher term and sequence, and returns a
    /// counter of these answers.
    pub fn answer_with_older_index(
        &self,
        instances: Vec<InstanceRecord>,
    ) -> Arc<watch::Sender<u32>> {
        self.with_state(|state| {
            state.older_view = Some(ViewReply {
                index: state.view.index - 1,
                term: state.view.term + 1,
                sequence: state.view.sequence + 100,
                instances,
                ..state.view.clone()
            });
        });
        self.change(|_| {});
        Arc::clone(&self.older_views_sent)
    }

    fn heartbeat(&self, heartbeat: GatewayHeartbeat) -> Option<Body> {
        let record = heartbeat.gateway?;
        let (changed, lease) = self.with_state(|state| {
            let waiting: u32 = heartbeat.demand.iter().map(|d| d.running + d.waiting).sum();
            state.demand += waiting;
            let notices = heartbeat.leaving.into_iter().map(|n| n.instance);
            state.notices.extend(notices);
            let known = state.gateways.iter().position(|g| g.name == record.name);
            let changed = match known {
                Some(at) if state.gateways[at] == record => false,
                Some(at) => {
                    state.gateways[at] = record;
                    true
                }
                None => {
                    state.gateways.push(record);
                    true
                }
            };
            let lease = LeaseReply {
                lease_ms: state.lease.as_millis() as u64,
                required_index: state.view.index + state.index_ahead,
                shares: state.shares.clone(),
                shares_changed: true,
                shares_version: 1,
            };
            (changed, lease)
        });
        if changed {
            self.change(|_| {});
        }
        Some(Body::Lease(lease))
    }

    async fn view(&self, request: ViewRequest) -> Option<Body> {
        let mut changed = self.changed.subscribe();
        if let Some(older_view) = self.with_state(|state| state.older_view.clone()) {
            self.older_views_sent.send_modify(|sent| *sent += 1);
            return Some(Body::View(older_view));
        }
        let wait = Duration::from_millis(request.wait_ms);
        let newer = changed.wait_for(|sequence| *sequence > request.held_sequence);
        let _ = timeout(wait, newer).await;
        let view = self.with_state(|state| (!state.silent).then(|| state.view.clone()));
        view.map(Body::View)
    }

    async fn claim(&self, claim: ClaimRequest) -> Option<Body> {
        let (mode, reply) = self.with_state(|state| {
            state.claim_attempts.push(claim.attempt);
            (state.mode.clone(), settle(state, claim))
        });
        if reply.status() == ClaimStatus::Granted {
            self.granted.send_modify(|granted| *granted += 1);
        }
        let mut open = self.grants_open.subscribe();
        let _ = open.wait_for(|open| *open).await;
        match mode {
            ClaimMode::Settled => Some(Body::ClaimReply(reply)),
            ClaimMode::Silent => None,
            ClaimMode::Always(status) => Some(with_code(status as i32)),
            ClaimMode::AlwaysCode(code) => Some(with_code(code)),
        }
    }
}

fn with_code(status: i32) -> Body {
    Body::ClaimReply(ClaimReply {
        status,
        outcome: None,
    })
}

fn settle(state: &mut State, claim: ClaimRequest) -> ClaimReply {
    let key = [claim.account.as_bytes(), &claim.key].concat();
    let record = state.claims.entry(key).or_insert_with(|| Record {
        claim: claim.clone(),
        outcome: None,
    });
    let status = match &record.outcome {
        _ if record.claim.digest != claim.digest => ClaimStatus::Conflict,
        Some(Some(_)) => ClaimStatus::Done,
        Some(None) => ClaimStatus::Unknown,
        None if record.claim == claim => ClaimStatus::Granted,
        None => ClaimStatus::InProgress,
    };
    let outcome = match status {
        ClaimStatus::Done => record.outcome.clone().flatten(),
        _ => None,
    };
    ClaimReply {
        status: status as i32,
        outcome,
    }
}

/// A controller that only returns a hint to the leader.
pub struct Follower;

impl Handler for Follower {
    async fn handle(&self, _: &Peer, _: Body) -> Option<Body> {
        Some(Body::NotLeader(NotLeader {
            leader: "leader".to_owned(),
        }))
    }
}

/// A controller that never answers.
pub struct SilentController;

impl Handler for SilentController {
    async fn handle(&self, _: &Peer, _: Body) -> Option<Body> {
        None
    }
}

impl Handler for FakeLeader {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        let silent = self.with_state(|state| state.silent);
        match body {
            Body::Heartbeat(_) if silent => None,
            Body::Heartbeat(heartbeat) => self.heartbeat(heartbeat),
            Body::ViewRequest(request) => self.view(request).await,
            Body::Claim(claim) => self.claim(claim).await,
            Body::Outcome(request) => {
                let claim = request.claim?;
                let lost = self.with_state(|state| {
                    state.outcomes += 1;
                    let key = [claim.account.as_bytes(), &claim.key].concat();
                    if let Some(record) = state.claims.get_mut(&key) {
                        record.outcome.get_or_insert(request.outcome);
                    }
                    let lost = state.lost_outcomes > 0;
                    state.lost_outcomes = state.lost_outcomes.saturating_sub(1);
                    lost
                });
                (!lost).then_some(Body::OutcomeReply(OutcomeReply { accepted: true }))
            }
            Body::Release(request) => {
                let claim = request.claim?;
                let accepted = self.with_state(|state| {
                    state.releases.push(claim.attempt);
                    let key = [claim.account.as_bytes(), &claim.key].concat();
                    let held = state
                        .claims
                        .get(&key)
                        .is_some_and(|r| r.claim == claim && r.outcome.is_none());
                    if held {
                        state.claims.remove(&key);
                    }
                    held
                });
                Some(Body::OutcomeReply(OutcomeReply { accepted }))
            }
            _ => None,
        }
    }
}
