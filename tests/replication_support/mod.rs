//! A few replicas in one process, joined by a list of messages, with the checks that must always hold.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{
        Batch, Effect, Input, MemberChange, Recovered, Rejection, Replica, ReplicaSettings, Role,
        Snapshot, Ticket, Write,
    },
    wire::{Entry, EntryKind, MembershipRecord, ReplicaMessage},
};
use prost::Message;

pub const STEP: Duration = Duration::from_millis(20);

/// What survives a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk(pub Recovered);

impl Disk {
    pub fn write(&mut self, write: Write) {
        let Recovered {
            hard_state,
            snapshot,
            entries,
        } = &mut self.0;
        if let Some(new) = write.hard_state {
            *hard_state = new;
        }
        for entry in write.entries {
            entries.retain(|old| old.index < entry.index);
            entries.push(entry);
        }
        if let Some(new) = write.snapshot {
            let same = |e: &Entry| e.index == new.index && e.term == new.term;
            let keep = entries.iter().any(same);
            entries.retain(|e| keep && e.index > new.index);
            *snapshot = new;
        }
    }
}

pub struct Node {
    pub id: u64,
    pub replica: Replica,
    pub disk: Disk,
    pub batch: Batch,
    /// The state machine: the commands applied, by index.
    pub state: Vec<(u64, Bytes)>,
    pub applied: u64,
    pub rate: f64,
    pub up: bool,
    pub incarnation: u64,
}

/// The replicas, the messages between them, and the naive single copy.
pub struct Group {
    pub nodes: Vec<Node>,
    pub messages: Vec<ReplicaMessage>,
    pub now: Duration,
    pub settings: ReplicaSettings,
    pub cut: BTreeSet<(u64, u64)>,
    pub committed: BTreeMap<u64, Entry>,
    pub acknowledged: BTreeMap<u64, Bytes>,
    pub rejected: Vec<(Ticket, Rejection)>,
    pub done: Vec<Ticket>,
    pub sent: u64,
    pub sent_bytes: u64,
    visible: u64,
    leaders: BTreeMap<u64, u64>,
    written: BTreeMap<(u64, u64), (Bytes, Option<u64>)>,
    reads: BTreeMap<Ticket, u64>,
    pub reads_done: u64,
    next_ticket: u64,
    next_id: u64,
}

pub fn encode_state(state: &[(u64, Bytes)]) -> Bytes {
    let entries = state.iter().map(|(index, data)| Entry {
        index: *index,
        data: data.clone(),
        ..Entry::default()
    });
    let mut bytes = Vec::new();
    for entry in entries {
        entry.encode_length_delimited(&mut bytes).unwrap();
    }
    bytes.into()
}

pub fn decode_state(mut bytes: Bytes) -> Vec<(u64, Bytes)> {
    let mut state = Vec::new();
    while !bytes.is_empty() {
        let entry = Entry::decode_length_delimited(&mut bytes).unwrap();
        state.push((entry.index, entry.data));
    }
    state
}

pub fn first_state(ids: impl IntoIterator<Item = u64>) -> Recovered {
    Recovered {
        snapshot: Snapshot {
            index: 1,
            term: 1,
            membership: MembershipRecord {
                voters: ids.into_iter().collect(),
                learners: Vec::new(),
            },
            state: Bytes::new(),
        },
        ..Recovered::default()
    }
}

impl Group {
    pub fn new(members: u64) -> Self {
        Self::with(members, ReplicaSettings::default(), &[])
    }

    /// Makes a group whose members' clocks run at the given rates.
    pub fn with(members: u64, settings: ReplicaSettings, rates: &[f64]) -> Self {
        let mut group = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            now: Duration::from_secs(1),
            settings,
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            rejected: Vec::new(),
            done: Vec::new(),
            sent: 0,
            sent_bytes: 0,
            visible: 0,
            leaders: BTreeMap::new(),
            written: BTreeMap::new(),
            reads: BTreeMap::new(),
            reads_done: 0,
            next_ticket: 1,
            next_id: members + 1,
        };
        let ids: Vec<u64> = (1..=members).collect();
        for id in &ids {
            let rate = rates.get(*id as usize - 1).copied().unwrap_or(1.0);
            group.join(*id, first_state(ids.clone()), rate);
        }
        group
    }

    fn join(&mut self, id: u64, recovered: Recovered, rate: f64) {
        let now = self.now.mul_f64(rate);
        let replica = Replica::new(
            MemberId(id),
            recovered.clone(),
            self.settings.clone(),
            id,
            now,
        );
        self.nodes.push(Node {
            id,
            replica,
            disk: Disk(recovered),
            batch: Batch::default(),
            state: Vec::new(),
            applied: 0,
            rate,
            up: true,
            incarnation: 0,
        });
    }

    /// Adds a member with an empty folder and returns its place and identifier.
    pub fn add_blank(&mut self) -> (usize, u64) {
        let id = self.next_id;
        self.next_id += 1;
        self.join(id, Recovered::default(), 1.0);
        (self.nodes.len() - 1, id)
    }

    /// Empties a member's disk; it starts as somebody else.
    pub fn wipe(&mut self, place: usize) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.nodes[place].id = id;
        self.nodes[place].disk = Disk::default();
        self.crash(place);
        id
    }

    /// Loses everything that was not synced and starts again.
    pub fn crash(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.incarnation += 1;
        node.batch = Batch::default();
        node.state.clear();
        node.applied = 0;
        node.replica = Replica::new(
            MemberId(node.id),
            node.disk.0.clone(),
            self.settings.clone(),
            node.id * 1000 + node.incarnation,
            self.now.mul_f64(node.rate),
        );
    }

    pub fn step(&mut self, place: usize, input: Input) {
        if !self.nodes[place].up {
            return;
        }
        let node = &mut self.nodes[place];
        let was_leader = node.replica.role() == Role::Leader;
        let effects = node.replica.step(self.now.mul_f64(node.rate), input);
        for effect in &effects {
            self.check_effect(place, effect);
        }
        let node = &mut self.nodes[place];
        node.batch.add(effects);
        node.batch.take_rest();
        let ready = node.batch.take_ready();
        self.post(ready);
        if !was_leader && self.nodes[place].replica.role() == Role::Leader {
            self.check_new_leader(place);
        }
        self.check_leases();
    }

    fn post(&mut self, messages: Vec<ReplicaMessage>) {
        for message in messages {
            self.sent += 1;
            self.sent_bytes += message.encoded_len() as u64;
            assert!(message.encoded_len() < flamingocroft::wire::MAX_FRAME_BYTES);
            if !self.cut.contains(&(message.from, message.to)) {
                self.messages.push(message);
            }
        }
    }

    /// Finishes what a member has to write.
    pub fn sync(&mut self, place: usize) {
        if !self.nodes[place].up {
            return;
        }
        let node = &mut self.nodes[place];
        for write in node.batch.take_writes() {
            node.disk.write(write);
        }
        let held = node.batch.take_held();
        let persisted = node.batch.take_persisted();
        self.post(held);
        for input in persisted {
            self.step(place, input);
        }
    }

    pub fn deliver(&mut self, number: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let number = number % self.messages.len();
        let message = match keep {
            true => self.messages[number].clone(),
            false => self.messages.remove(number),
        };
        if let Some(place) = self.nodes.iter().position(|node| node.id == message.to) {
            self.step(place, Input::Receive(message));
        }
    }

    /// Delivers everything, syncs everything and lets a little time pass, some times.
    pub fn run(&mut self, times: usize) {
        for _ in 0..times {
            for place in 0..self.nodes.len() {
                self.step(place, Input::Tick);
            }
            for _ in 0..6 {
                for message in std::mem::take(&mut self.messages) {
                    let place = self.nodes.iter().position(|node| node.id == message.to);
                    if let Some(place) = place {
                        self.step(place, Input::Receive(message));
                    }
                }
                for place in 0..self.nodes.len() {
                    self.sync(place);
                }
            }
            self.now += STEP;
        }
    }

    /// Runs until a leader is known by all who are up, and returns its place.
    pub fn elect(&mut self) -> usize {
        for _ in 0..500 {
            self.run(1);
            if let Some(place) = self.leader() {
                return place;
            }
        }
        panic!("no leader within 10 s");
    }

    /// The place of the newest leader that has committed in its term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &&Node| node.up && node.replica.lease_until().is_some();
        let newest = self.nodes.iter().filter(leads);
        let newest = newest.max_by_key(|node| node.replica.term())?;
        self.nodes.iter().position(|node| node.id == newest.id)
    }

    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub fn propose(&mut self, place: usize) -> Ticket {
        let ticket = self.ticket();
        let command = Bytes::from(format!("command {}", ticket.0));
        self.step(place, Input::Propose { ticket, command });
        ticket
    }

    pub fn read(&mut self, place: usize) -> Ticket {
        let ticket = self.ticket();
        self.reads.insert(ticket, self.visible);
        self.step(place, Input::Read { ticket });
        ticket
    }

    pub fn change(&mut self, place: usize, change: MemberChange) -> Ticket {
        let ticket = self.ticket();
        self.step(place, Input::ChangeMembers { ticket, change });
        ticket
    }

    pub fn compact(&mut self, place: usize) {
        let node = &self.nodes[place];
        let (index, state) = (node.applied, encode_state(&node.state));
        self.step(place, Input::Compact { index, state });
    }

    /// Makes a change and runs until it is committed, asking again while it is refused.
    pub fn change_and_wait(&mut self, change: MemberChange) {
        for _ in 0..200 {
            let leader = self.elect();
            let ticket = self.change(leader, change);
            self.run(5);
            if self.done.contains(&ticket) {
                return;
            }
        }
        panic!("{change:?} was refused for 200 times");
    }

    fn check_effect(&mut self, place: usize, effect: &Effect) {
        match effect {
            Effect::Persist { entries, .. } => self.check_written(place, entries),
            Effect::Apply { entry, ticket } => self.check_applied(place, entry, *ticket),
            Effect::Restore(snapshot) => {
                let node = &mut self.nodes[place];
                node.state = decode_state(snapshot.state.clone());
                node.applied = snapshot.index;
                let state = node.state.clone();
                self.check_state(snapshot.index, &state);
            }
            Effect::ReadReady(ticket) => {
                let visible = self.reads[ticket];
                let applied = self.nodes[place].applied;
                assert!(applied >= visible, "a read at {applied} missed {visible}");
                self.reads_done += 1;
                self.done.push(*ticket);
            }
            Effect::Rejected { ticket, rejection } => self.rejected.push((*ticket, *rejection)),
            Effect::Send(_) => {}
        }
    }

    /// Log matching: an index and term name one command and one entry before it.
    fn check_written(&mut self, place: usize, entries: &[Entry]) {
        for entry in entries {
            let replica = &self.nodes[place].replica;
            let Some(now_held) = replica.entry(entry.index) else {
                continue;
            };
            if now_held.term != entry.term {
                continue;
            }
            let previous = replica.entry(entry.index - 1).map(|e| e.term);
            let known = self
                .written
                .entry((entry.index, entry.term))
                .or_insert((entry.data.clone(), previous));
            assert_eq!(known.0, entry.data, "two entries with one index and term");
            if let (Some(one), Some(other)) = (known.1, previous) {
                assert_eq!(one, other, "two histories before one entry");
            }
        }
    }

    fn check_applied(&mut self, place: usize, entry: &Entry, ticket: Option<Ticket>) {
        let node = &mut self.nodes[place];
        assert_eq!(
            node.applied + 1,
            entry.index,
            "entries are applied in order"
        );
        node.applied = entry.index;
        if entry.kind == EntryKind::Command as i32 {
            node.state.push((entry.index, entry.data.clone()));
        }
        let known = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "two members applied different entries");
        self.visible = self.visible.max(entry.index);
        if let Some(ticket) = ticket {
            self.acknowledged.insert(entry.index, entry.data.clone());
            self.done.push(ticket);
        }
    }

    fn check_state(&self, index: u64, state: &[(u64, Bytes)]) {
        let naive: Vec<(u64, Bytes)> = self
            .committed
            .range(..=index)
            .filter(|(_, entry)| entry.kind == EntryKind::Command as i32)
            .map(|(index, entry)| (*index, entry.data.clone()))
            .collect();
        assert_eq!(state, naive, "a state differs from the naive copy");
    }

    /// Election safety and leader completeness.
    fn check_new_leader(&mut self, place: usize) {
        let node = &self.nodes[place];
        let term = node.replica.term();
        let known = *self.leaders.entry(term).or_insert(node.id);
        assert_eq!(known, node.id, "two leaders in term {term}");
        for (index, entry) in self.committed.range(node.applied + 1..) {
            let held = node.replica.entry(*index);
            assert_eq!(
                held,
                Some(entry),
                "the leader of term {term} misses {index}"
            );
        }
    }

    /// While a lease holds nobody else leads in a later term.
    fn check_leases(&self) {
        for node in self.nodes.iter().filter(|node| node.up) {
            let lease = node.replica.lease_until();
            if lease.is_none_or(|until| until <= self.now.mul_f64(node.rate)) {
                continue;
            }
            let other = self.nodes.iter().find(|other| {
                other.up
                    && other.replica.role() == Role::Leader
                    && other.replica.term() > node.replica.term()
            });
            assert!(other.is_none(), "a leader was elected during a lease");
        }
    }

    /// Everything works again: all must agree on everything that was acknowledged.
    pub fn settle(&mut self) {
        self.cut.clear();
        for place in 0..self.nodes.len() {
            self.nodes[place].up = true;
        }
        let leader = self.elect();
        let ticket = self.propose(leader);
        for _ in 0..500 {
            self.run(1);
            if self.done.contains(&ticket) && self.agree() {
                break;
            }
        }
        assert!(self.agree(), "the members did not agree within 10 s");
        for (index, data) in &self.acknowledged {
            assert_eq!(
                &self.committed[index].data, data,
                "an acknowledged entry was lost"
            );
        }
        let last = *self.committed.keys().last().unwrap();
        for node in self.members() {
            self.check_state(last, &node.state);
        }
    }

    fn members(&self) -> impl Iterator<Item = &Node> {
        let leader = self.leader().expect("a settled group has a leader");
        let record = self.nodes[leader].replica.membership().clone();
        let is_member = move |node: &&Node| record.voters.contains(&node.id);
        self.nodes.iter().filter(is_member)
    }

    fn agree(&self) -> bool {
        let last = self.committed.keys().last().copied().unwrap_or_default();
        self.leader().is_some() && self.members().all(|node| node.applied == last)
    }
}
