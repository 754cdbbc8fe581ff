//! A reference model of the replicated state: plain lists with linear search, and rules written
//! from the specification.

use flamingocroft::{
    state::{
        Action, ClaimCommand, Command, ConfirmIntent, ConfirmOutcome, Observation, Publish, Reply,
        Sighting, StartRollout, UsageRecord,
    },
    wire::{
        ClaimReply, ClaimRequest, ClaimStatus, InstanceRecord, LeavingNotice, RolloutState,
        StoredOutcome,
    },
};

#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Open,
    Released,
    Done(StoredOutcome),
    Unknown,
}

#[derive(Clone, Debug)]
struct Claim {
    request: ClaimRequest,
    fate: Fate,
}

impl Claim {
    fn is_held_by(&self, other: &ClaimRequest) -> bool {
        let mine = &self.request;
        is_same_call(mine, other)
            && (&mine.gateway, mine.incarnation, mine.attempt)
                == (&other.gateway, other.incarnation, other.attempt)
    }
}

fn is_same_call(a: &ClaimRequest, b: &ClaimRequest) -> bool {
    a.account == b.account && a.key == b.key
}

fn created(request: &ClaimRequest) -> u64 {
    let mut time = [0; 8];
    time[2..].copy_from_slice(&request.key[..6]);
    u64::from_be_bytes(time)
}

#[derive(Clone, Debug, Default)]
pub struct Naive {
    revision: u64,
    confirms: Vec<(ConfirmIntent, ConfirmOutcome)>,
    claims: Vec<Claim>,
    forgotten: u64,
    fence: u64,
    instances: Vec<InstanceRecord>,
    notices: Vec<LeavingNotice>,
    starts: Vec<(u64, String)>,
    published: Vec<Publish>,
    usage: Vec<UsageRecord>,
    /// All orders of roll-outs that were accepted, with their log index.
    rollouts: Vec<(u64, StartRollout, RolloutState)>,
}

impl Naive {
    /// Returns the last order of a service's roll-out, and its state.
    pub fn rollout(&self, service: &str) -> Option<(u64, String, RolloutState)> {
        let mut rollouts = self.rollouts.iter();
        let last = rollouts.rfind(|(_, order, _)| order.service == service);
        last.map(|(index, order, state)| (*index, order.target.clone(), *state))
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    pub fn starts(&self) -> &[(u64, String)] {
        &self.starts
    }

    /// The document with the highest version; of equal versions the first one.
    pub fn published(&self) -> Option<&Publish> {
        let highest = self.published.iter().map(|publish| publish.version).max()?;
        self.published
            .iter()
            .find(|publish| publish.version == highest)
    }

    pub fn usage(&self) -> &[UsageRecord] {
        &self.usage
    }

    pub fn present(&self) -> Vec<InstanceRecord> {
        let mut present = self.instances.clone();
        present.retain(|record| record.state != 2);
        present.sort_by(|a, b| a.name.cmp(&b.name));
        present
    }

    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        let at = command.at_unix_ms;
        match command.action.as_ref().unwrap() {
            Action::Confirm(confirm) => Reply::Confirm(self.confirm(index, confirm)),
            Action::Claim(claim) => Reply::Claim(self.claim(at, claim)),
            Action::RecordOutcome(request) => {
                let claim = request.claim.as_ref().unwrap();
                Reply::Accepted(self.record(claim, request.outcome.as_ref()))
            }
            Action::ReleaseClaim(request) => {
                Reply::Accepted(self.release(at, request.claim.as_ref().unwrap()))
            }
            Action::ExpireClaims(expire) => Reply::Count(self.expire(expire.before_unix_ms)),
            Action::MarkUnknown(mark) => Reply::Count(self.mark(&mark.gateway, mark.incarnation)),
            Action::Observe(observe) => {
                let known: Vec<_> = observe
                    .observations
                    .iter()
                    .map(|o| self.observe(o))
                    .collect();
                Reply::Known(known.into_iter().all(|known| known))
            }
            Action::OrderStart(_) => {
                self.starts.push((index, String::new()));
                Reply::Accepted(true)
            }
            Action::SettleStart(settle) => {
                let known = self.starts.iter().position(|(at, _)| *at == settle.index);
                if let Some(at) = known {
                    self.starts[at].1.clone_from(&settle.instance);
                    let listed = self.instances.iter().any(|i| i.name == settle.instance);
                    if listed || settle.instance.is_empty() {
                        self.starts.remove(at);
                    }
                }
                Reply::Accepted(known.is_some())
            }
            Action::Publish(publish) => {
                let highest = self.published().map_or(0, |publish| publish.version);
                self.published.push(publish.clone());
                Reply::Accepted(publish.version > highest)
            }
            Action::RecordUsage(record) => {
                let is_newer = self.usage.iter().all(|known| known.window < record.window);
                if is_newer {
                    self.usage.push(record.clone());
                }
                Reply::Accepted(is_newer)
            }
            Action::StartRollout(order) => {
                let of_service =
                    |(_, held, _): &&(_, StartRollout, _)| held.service == order.service;
                let last = self.rollouts.iter().rfind(of_service);
                if let Some((_, held, RolloutState::Running)) = last {
                    return Reply::Accepted(held == order);
                }
                let running = RolloutState::Running;
                self.rollouts.push((index, order.clone(), running));
                Reply::Accepted(true)
            }
            Action::SettleRollout(settle) => {
                let is_open = |(at, _, state): &&mut (u64, _, RolloutState)| {
                    *at == settle.order && *state == RolloutState::Running
                };
                let open = self.rollouts.iter_mut().find(is_open);
                let is_found = open.is_some();
                if let Some((_, _, state)) = open {
                    *state = settle.state();
                }
                Reply::Accepted(is_found)
            }
            Action::AllocateFence(_) => {
                self.fence += 1;
                Reply::Fence(flamingocroft::domain::FencingToken(self.fence))
            }
        }
    }

    fn confirm(&mut self, index: u64, command: &ConfirmIntent) -> ConfirmOutcome {
        let first = self
            .confirms
            .iter()
            .find(|(old, _)| old.operation == command.operation);
        if let Some((old, outcome)) = first {
            let same = old.base_revision == command.base_revision && old.intent == command.intent;
            return if same {
                *outcome
            } else {
                ConfirmOutcome::Reused
            };
        }
        let outcome = if command.base_revision == self.revision {
            self.revision += 1;
            ConfirmOutcome::Confirmed {
                revision: self.revision,
                index,
            }
        } else {
            ConfirmOutcome::Conflict {
                newest: self.revision,
            }
        };
        self.confirms.push((command.clone(), outcome));
        outcome
    }

    fn claim(&mut self, at: u64, command: &ClaimCommand) -> ClaimReply {
        let request = command.request.as_ref().unwrap();
        let (status, outcome) = self.decide(at, command, request);
        if status == ClaimStatus::Granted {
            self.claims
                .retain(|claim| !is_same_call(&claim.request, request));
            self.claims.push(Claim {
                request: request.clone(),
                fate: Fate::Open,
            });
        }
        ClaimReply {
            status: status.into(),
            outcome,
        }
    }

    fn decide(
        &self,
        at: u64,
        command: &ClaimCommand,
        request: &ClaimRequest,
    ) -> (ClaimStatus, Option<StoredOutcome>) {
        let born = created(request);
        let too_old = born + command.retention_ms < at || born < self.forgotten;
        if too_old || born > at + command.skew_ms {
            return (ClaimStatus::Expired, None);
        }
        let known = self
            .claims
            .iter()
            .find(|c| is_same_call(&c.request, request));
        let Some(known) = known else {
            return (ClaimStatus::Granted, None);
        };
        if known.request.digest != request.digest {
            return (ClaimStatus::Conflict, None);
        }
        match (&known.fate, known.is_held_by(request)) {
            (Fate::Open, true) | (Fate::Released, false) => (ClaimStatus::Granted, None),
            (Fate::Open, false) | (Fate::Released, true) => (ClaimStatus::InProgress, None),
            (Fate::Done(outcome), _) => (ClaimStatus::Done, Some(outcome.clone())),
            (Fate::Unknown, _) => (ClaimStatus::Unknown, None),
        }
    }

    fn record(&mut self, request: &ClaimRequest, outcome: Option<&StoredOutcome>) -> bool {
        let Some(claim) = self.claims.iter_mut().find(|c| c.is_held_by(request)) else {
            return false;
        };
        match claim.fate {
            Fate::Released => return false,
            Fate::Done(_) => {}
            Fate::Open | Fate::Unknown => {
                claim.fate = outcome.map_or(Fate::Unknown, |o| Fate::Done(o.clone()));
            }
        }
        true
    }

    fn release(&mut self, at: u64, request: &ClaimRequest) -> bool {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.is_held_by(request)) {
            let free = matches!(claim.fate, Fate::Open | Fate::Released);
            if free {
                claim.fate = Fate::Released;
            }
            return free;
        }
        let known = self
            .claims
            .iter()
            .any(|c| is_same_call(&c.request, request));
        let born = created(request);
        if known || born < self.forgotten || born > at {
            return false;
        }
        self.claims.push(Claim {
            request: request.clone(),
            fate: Fate::Released,
        });
        true
    }

    fn expire(&mut self, before: u64) -> u64 {
        self.forgotten = self.forgotten.max(before);
        let count = self.claims.len();
        let forgotten = self.forgotten;
        self.claims
            .retain(|claim| created(&claim.request) >= forgotten);
        (count - self.claims.len()) as u64
    }

    fn mark(&mut self, gateway: &str, incarnation: u64) -> u64 {
        let mut count = 0;
        for claim in &mut self.claims {
            let request = &claim.request;
            let lost = request.gateway == gateway && request.incarnation == incarnation;
            if lost && claim.fate == Fate::Open {
                claim.fate = Fate::Unknown;
                count += 1;
            }
        }
        count
    }

    fn observe(&mut self, observation: &Observation) -> bool {
        match observation.sighting.as_ref().unwrap() {
            Sighting::Seen(record) => {
                self.seen(record);
                true
            }
            Sighting::Leaving(notice) => self.leave(notice),
            Sighting::Gone(notice) => {
                let known = self
                    .instances
                    .iter_mut()
                    .find(|i| i.name == notice.instance);
                let found = known.is_some();
                if let Some(record) = known.filter(|i| i.incarnation == notice.incarnation) {
                    record.state = 2;
                }
                found
            }
        }
    }

    fn seen(&mut self, record: &InstanceRecord) {
        self.starts.retain(|(_, name)| *name != record.name);
        let newer =
            |i: &InstanceRecord| i.name == record.name && i.incarnation > record.incarnation;
        if self.instances.iter().any(newer) {
            return;
        }
        if record.state == 1 {
            self.notices.push(LeavingNotice {
                instance: record.name.clone(),
                incarnation: record.incarnation,
            });
        }
        let left = self.is_left(record);
        self.instances.retain(|i| i.name != record.name);
        self.instances.push(InstanceRecord {
            state: u32::from(left),
            ..record.clone()
        });
    }

    fn leave(&mut self, notice: &LeavingNotice) -> bool {
        self.notices.push(notice.clone());
        let Some(at) = self
            .instances
            .iter()
            .position(|i| i.name == notice.instance)
        else {
            return false;
        };
        if self.instances[at].state != 2 && self.is_left(&self.instances[at]) {
            self.instances[at].state = 1;
        }
        self.instances[at].incarnation >= notice.incarnation
    }

    fn is_left(&self, record: &InstanceRecord) -> bool {
        let covers =
            |n: &LeavingNotice| n.instance == record.name && n.incarnation >= record.incarnation;
        self.notices.iter().any(covers)
    }
}
