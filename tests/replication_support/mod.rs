//! A few replicas in one process, joined by a list of messages, with the checks that must always hold.

#![allow(dead_code)]

mod checks;
mod disk;
pub mod single;

use std::{collections::BTreeSet, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{
        Batch, HardState, Input, LogWrite, MemberChange, Recovered, Replica, ReplicaSettings, Role,
        Snapshot, Ticket,
    },
    wire::{MAX_FRAME_BYTES, MembershipRecord, ReplicaMessage},
};
use prost::Message;

use checks::{Checks, encode_state};
use disk::Disk;

pub const STEP: Duration = Duration::from_millis(20);

/// A member and its driver.
pub struct Node {
    pub id: u64,
    pub replica: Replica,
    pub disk: Disk,
    batch: Batch,
    /// The state machine: the commands applied, with their index.
    pub state: Vec<(u64, Bytes)>,
    pub applied: u64,
    /// How fast its clock runs.
    pub rate: f64,
    pub up: bool,
    /// Its disk finishes no write.
    pub hangs: bool,
    starts: u64,
}

impl Node {
    /// From now on its syncs fail, if it has a data folder.
    pub fn break_disk(&self) {
        if let Disk::Folder(folder) = &self.disk {
            folder.broken.store(true, Ordering::SeqCst);
        }
    }
}

pub struct Group {
    pub nodes: Vec<Node>,
    pub messages: Vec<ReplicaMessage>,
    pub now: Duration,
    pub cut: BTreeSet<(u64, u64)>,
    pub checks: Checks,
    settings: ReplicaSettings,
    next_ticket: u64,
    next_id: u64,
}

/// What `Bootstrap` forms of these members.
pub fn first_state(ids: impl IntoIterator<Item = u64>) -> Recovered {
    Recovered {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        snapshot: Snapshot {
            index: 1,
            term: 1,
            membership: MembershipRecord {
                voters: ids.into_iter().collect(),
                learners: Vec::new(),
            },
            state: Bytes::new(),
        },
        entries: Vec::new(),
    }
}

impl Group {
    pub fn new(members: u64) -> Self {
        Self::with(members, ReplicaSettings::default(), &[])
    }

    /// Makes a group whose members' clocks run at the given rates.
    pub fn with(members: u64, settings: ReplicaSettings, rates: &[f64]) -> Self {
        let disks = (1..=members).map(|id| (Disk::Memory(Recovered::default()), id));
        Self::on(disks.collect(), settings, rates)
    }

    /// Makes a group on real data folders.
    pub fn on_folders(members: usize, settings: ReplicaSettings) -> Self {
        let disks = (0..members).map(|_| Disk::folder()).collect();
        Self::on(disks, settings, &[])
    }

    fn on(disks: Vec<(Disk, u64)>, settings: ReplicaSettings, rates: &[f64]) -> Self {
        let mut group = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            now: Duration::from_secs(1),
            cut: BTreeSet::new(),
            checks: Checks::default(),
            settings,
            next_ticket: 1,
            next_id: 100,
        };
        let first = first_state(disks.iter().map(|(_, id)| *id));
        for (place, (mut disk, id)) in disks.into_iter().enumerate() {
            let write = LogWrite {
                hard_state: Some(first.hard_state.clone()),
                entries: Vec::new(),
                snapshot: Some(first.snapshot.clone()),
            };
            disk.write(write).unwrap();
            group.join(id, disk, rates.get(place).copied().unwrap_or(1.0));
        }
        group
    }

    fn join(&mut self, id: u64, mut disk: Disk, rate: f64) {
        let now = self.now.mul_f64(rate);
        let settings = self.settings.clone();
        let seed = self.nodes.len() as u64 * 1000;
        self.nodes.push(Node {
            id,
            replica: Replica::new(MemberId(id), disk.read(), settings, seed, now),
            disk,
            batch: Batch::default(),
            state: Vec::new(),
            applied: 0,
            rate,
            up: true,
            hangs: false,
            starts: 0,
        });
    }

    fn blank(&mut self, place: Option<usize>) -> (Disk, u64) {
        if place.is_some_and(|place| matches!(self.nodes[place].disk, Disk::Folder(_))) {
            return Disk::folder();
        }
        self.next_id += 1;
        (Disk::Memory(Recovered::default()), self.next_id)
    }

    /// Adds a member with an empty folder and returns its place and identifier.
    pub fn add_blank(&mut self) -> (usize, u64) {
        let (disk, id) = self.blank(None);
        self.join(id, disk, 1.0);
        (self.nodes.len() - 1, id)
    }

    /// Empties a member's disk; it starts as somebody else.
    pub fn wipe(&mut self, place: usize) -> u64 {
        let (disk, id) = self.blank(Some(place));
        self.nodes[place].disk = disk;
        self.nodes[place].id = id;
        self.crash(place);
        id
    }

    /// Loses everything that was not synced and starts again.
    pub fn crash(&mut self, place: usize) -> Recovered {
        let node = &mut self.nodes[place];
        let recovered = node.disk.read();
        node.starts += 1;
        node.batch = Batch::default();
        node.state.clear();
        node.applied = 0;
        let (id, settings) = (MemberId(node.id), self.settings.clone());
        let seed = place as u64 * 1000 + node.starts;
        let now = self.now.mul_f64(node.rate);
        node.replica = Replica::new(id, recovered.clone(), settings, seed, now);
        recovered
    }

    pub fn step(&mut self, place: usize, input: Input) {
        let node = &mut self.nodes[place];
        if !node.up {
            return;
        }
        let was_leader = node.replica.role() == Role::Leader;
        let effects = node.replica.step(self.now.mul_f64(node.rate), input);
        for effect in &effects {
            self.checks.effect(node, effect);
        }
        node.batch.add(effects);
        node.batch.take_other_effects();
        let ready = node.batch.take_messages_before_sync();
        if !was_leader && node.replica.role() == Role::Leader {
            self.checks.new_leader(node);
        }
        self.post(ready);
        self.checks.leases(&self.nodes, self.now);
    }

    fn post(&mut self, messages: Vec<ReplicaMessage>) {
        for message in messages {
            assert!(message.encoded_len() < MAX_FRAME_BYTES);
            if !self.cut.contains(&(message.from, message.to)) {
                self.messages.push(message);
            }
        }
    }

    /// Finishes what a member has to write. Its driver stops if that fails.
    pub fn sync(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        if !node.up || node.hangs {
            return;
        }
        for write in node.batch.take_writes() {
            if node.disk.write(write).is_err() {
                node.up = false;
                return;
            }
        }
        let held = node.batch.take_messages_after_sync();
        let persisted = node.batch.take_persisted_inputs();
        self.post(held);
        for input in persisted {
            self.step(place, input);
        }
    }

    fn receive(&mut self, message: ReplicaMessage) {
        if let Some(place) = self.nodes.iter().position(|node| node.id == message.to) {
            self.step(place, Input::Receive(message));
        }
    }

    pub fn deliver(&mut self, number: usize, keep: bool) {
        let Some(number) = number.checked_rem(self.messages.len()) else {
            return;
        };
        let message = match keep {
            true => self.messages[number].clone(),
            false => self.messages.remove(number),
        };
        self.receive(message);
    }

    /// Delivers everything, syncs everything and lets a little time pass, some times.
    pub fn run(&mut self, times: usize) {
        for _ in 0..times {
            for place in 0..self.nodes.len() {
                self.step(place, Input::Tick);
            }
            for _ in 0..6 {
                for message in std::mem::take(&mut self.messages) {
                    self.receive(message);
                }
                for place in 0..self.nodes.len() {
                    self.sync(place);
                }
            }
            self.now += STEP;
        }
    }

    /// Runs until a leader has committed in its term, and returns its place.
    pub fn elect(&mut self) -> usize {
        for _ in 0..500 {
            self.run(1);
            if let Some(place) = self.leader() {
                return place;
            }
        }
        panic!("no leader within 10 s");
    }

    /// The place of the newest leader that holds a lease.
    pub fn leader(&self) -> Option<usize> {
        let places = 0..self.nodes.len();
        places
            .filter(|n| self.nodes[*n].up && self.nodes[*n].replica.lease_until().is_some())
            .max_by_key(|n| self.nodes[*n].replica.term())
    }

    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub fn propose(&mut self, place: usize) -> Ticket {
        let command = Bytes::from(format!("command {}", self.next_ticket));
        self.propose_command(place, command)
    }

    pub fn propose_command(&mut self, place: usize, command: Bytes) -> Ticket {
        let ticket = self.ticket();
        self.step(place, Input::Propose { ticket, command });
        ticket
    }

    pub fn read(&mut self, place: usize) -> Ticket {
        let ticket = self.ticket();
        self.checks.ask(ticket);
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

    pub fn is_done(&self, ticket: Ticket) -> bool {
        self.checks.done.contains(&ticket)
    }

    /// Proposes some commands and checks that all are acknowledged.
    pub fn commit(&mut self, count: usize) {
        let leader = self.elect();
        let tickets: Vec<Ticket> = (0..count).map(|_| self.propose(leader)).collect();
        self.run(4);
        assert!(tickets.into_iter().all(|ticket| self.is_done(ticket)));
    }

    /// Makes a change and runs until it is committed, asking again while it is refused.
    pub fn change_and_wait(&mut self, change: MemberChange) {
        for _ in 0..200 {
            let leader = self.elect();
            let ticket = self.change(leader, change);
            self.run(5);
            if self.is_done(ticket) {
                return;
            }
        }
        panic!("{change:?} was refused for 200 times");
    }

    /// Everything works again: all must agree on everything that was acknowledged.
    pub fn settle(&mut self) {
        self.cut.clear();
        for node in &mut self.nodes {
            node.up = true;
            node.hangs = false;
        }
        let leader = self.elect();
        let ticket = self.propose(leader);
        for _ in 0..500 {
            self.run(1);
            if self.is_done(ticket) && self.agree() {
                break;
            }
        }
        assert!(self.agree(), "the members did not agree within 10 s");
        for (index, data) in &self.checks.acknowledged {
            let held = &self.checks.committed[index].data;
            assert_eq!(held, data, "an acknowledged entry was lost");
        }
        let leader = self.leader().expect("a settled group has a leader");
        let record = self.nodes[leader].replica.membership();
        for node in self.voters() {
            self.checks.state(node);
            assert_eq!(node.replica.membership(), record);
        }
    }

    fn voters(&self) -> impl Iterator<Item = &Node> {
        let leader = self.leader().expect("a settled group has a leader");
        let record = self.nodes[leader].replica.membership();
        self.nodes
            .iter()
            .filter(|node| record.voters.contains(&node.id))
    }

    fn agree(&self) -> bool {
        let last = self.checks.committed.keys().last().copied();
        self.leader().is_some() && self.voters().all(|node| Some(node.applied) == last)
    }
}
