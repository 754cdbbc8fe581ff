//! A simulated cluster: replicas in one process that exchange messages through a queue, with invariants
//! that are checked at every step.

#![allow(dead_code)]

mod disk;
mod invariants;
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

use disk::Disk;
use invariants::{Invariants, encode_state};

/// Simulated time of one round of [`Cluster::run`].
pub const ROUND_DURATION: Duration = Duration::from_millis(20);

/// A member and its driver.
pub struct Node {
    pub id: u64,
    pub replica: Replica,
    pub disk: Disk,
    batch: Batch,
    /// The state machine: the commands applied, with their index.
    pub state: Vec<(u64, Bytes)>,
    pub applied: u64,
    /// Rate of its clock relative to simulated time.
    pub clock_rate: f64,
    pub up: bool,
    /// Whether its writes never complete.
    pub disk_hangs: bool,
    restarts: u64,
}

impl Node {
    /// Makes all further syncs fail, if the member has a data folder.
    pub fn fail_syncs(&self) {
        if let Disk::Folder(folder) = &self.disk {
            folder.fail_syncs.store(true, Ordering::SeqCst);
        }
    }
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub messages: Vec<ReplicaMessage>,
    pub now: Duration,
    /// Links whose messages are dropped, as sender and receiver.
    pub blocked_links: BTreeSet<(u64, u64)>,
    pub invariants: Invariants,
    settings: ReplicaSettings,
    next_ticket: u64,
    next_id: u64,
}

/// Returns the initial state that `Bootstrap` creates for these members.
pub fn bootstrap_state(ids: impl IntoIterator<Item = u64>) -> Recovered {
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

impl Cluster {
    pub fn new(members: u64) -> Self {
        Self::with_settings(members, ReplicaSettings::default(), &[])
    }

    /// Creates a cluster whose members' clocks run at the given rates.
    pub fn with_settings(members: u64, settings: ReplicaSettings, rates: &[f64]) -> Self {
        let disks = (1..=members).map(|id| (Disk::Memory(Recovered::default()), id));
        Self::on_disks(disks.collect(), settings, rates)
    }

    /// Creates a cluster on real data folders.
    pub fn with_data_folders(members: usize, settings: ReplicaSettings) -> Self {
        let disks = (0..members).map(|_| Disk::folder()).collect();
        Self::on_disks(disks, settings, &[])
    }

    fn on_disks(disks: Vec<(Disk, u64)>, settings: ReplicaSettings, rates: &[f64]) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            now: Duration::from_secs(1),
            blocked_links: BTreeSet::new(),
            invariants: Invariants::default(),
            settings,
            next_ticket: 1,
            next_id: 100,
        };
        let first = bootstrap_state(disks.iter().map(|(_, id)| *id));
        for (position, (mut disk, id)) in disks.into_iter().enumerate() {
            let write = LogWrite {
                hard_state: Some(first.hard_state.clone()),
                entries: Vec::new(),
                snapshot: Some(first.snapshot.clone()),
            };
            disk.write(write).unwrap();
            cluster.start_member(id, disk, rates.get(position).copied().unwrap_or(1.0));
        }
        cluster
    }

    fn start_member(&mut self, id: u64, mut disk: Disk, clock_rate: f64) {
        let now = self.now.mul_f64(clock_rate);
        let settings = self.settings.clone();
        let seed = self.nodes.len() as u64 * 1000;
        self.nodes.push(Node {
            id,
            replica: Replica::new(MemberId(id), disk.read(), settings, seed, now),
            disk,
            batch: Batch::default(),
            state: Vec::new(),
            applied: 0,
            clock_rate,
            up: true,
            disk_hangs: false,
            restarts: 0,
        });
    }

    fn blank_disk(&mut self, position: Option<usize>) -> (Disk, u64) {
        if position.is_some_and(|position| matches!(self.nodes[position].disk, Disk::Folder(_))) {
            return Disk::folder();
        }
        self.next_id += 1;
        (Disk::Memory(Recovered::default()), self.next_id)
    }

    /// Adds a member with an empty disk and returns its position and identifier.
    pub fn add_blank_member(&mut self) -> (usize, u64) {
        let (disk, id) = self.blank_disk(None);
        self.start_member(id, disk, 1.0);
        (self.nodes.len() - 1, id)
    }

    /// Empties a member's disk and restarts it under a new identifier, which is returned.
    pub fn wipe(&mut self, position: usize) -> u64 {
        let (disk, id) = self.blank_disk(Some(position));
        self.nodes[position].disk = disk;
        self.nodes[position].id = id;
        self.crash(position);
        id
    }

    /// Restarts a member without what it had not synced.
    pub fn crash(&mut self, position: usize) -> Recovered {
        let node = &mut self.nodes[position];
        let recovered = node.disk.read();
        node.restarts += 1;
        node.batch = Batch::default();
        node.state.clear();
        node.applied = 0;
        let (id, settings) = (MemberId(node.id), self.settings.clone());
        let seed = position as u64 * 1000 + node.restarts;
        let now = self.now.mul_f64(node.clock_rate);
        node.replica = Replica::new(id, recovered.clone(), settings, seed, now);
        recovered
    }

    pub fn step(&mut self, position: usize, input: Input) {
        let node = &mut self.nodes[position];
        if !node.up {
            return;
        }
        let was_leader = node.replica.role() == Role::Leader;
        let effects = node.replica.step(self.now.mul_f64(node.clock_rate), input);
        for effect in &effects {
            self.invariants.check_effect(node, effect);
        }
        node.batch.add(effects);
        node.batch.take_other_effects();
        let ready = node.batch.take_messages_before_sync();
        if !was_leader && node.replica.role() == Role::Leader {
            self.invariants.check_new_leader(node);
        }
        self.queue_messages(ready);
        self.invariants.check_leases(&self.nodes, self.now);
    }

    fn queue_messages(&mut self, messages: Vec<ReplicaMessage>) {
        for message in messages {
            assert!(message.encoded_len() < MAX_FRAME_BYTES);
            if !self.blocked_links.contains(&(message.from, message.to)) {
                self.messages.push(message);
            }
        }
    }

    /// Completes a member's pending writes. Its driver stops if one fails.
    pub fn sync(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        if !node.up || node.disk_hangs {
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
        self.queue_messages(held);
        for input in persisted {
            self.step(position, input);
        }
    }

    fn receive(&mut self, message: ReplicaMessage) {
        if let Some(position) = self.nodes.iter().position(|node| node.id == message.to) {
            self.step(position, Input::Receive(message));
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

    /// Runs rounds that tick all members, deliver all messages, complete all writes and advance the time.
    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for position in 0..self.nodes.len() {
                self.step(position, Input::Tick);
            }
            for _ in 0..6 {
                for message in std::mem::take(&mut self.messages) {
                    self.receive(message);
                }
                for position in 0..self.nodes.len() {
                    self.sync(position);
                }
            }
            self.now += ROUND_DURATION;
        }
    }

    /// Runs until a leader has committed an entry of its term, and returns its position.
    pub fn elect(&mut self) -> usize {
        for _ in 0..500 {
            self.run(1);
            if let Some(position) = self.leader() {
                return position;
            }
        }
        panic!("no leader within 10 s");
    }

    /// Returns the position of the leader with the highest term that holds a lease.
    pub fn leader(&self) -> Option<usize> {
        let positions = 0..self.nodes.len();
        positions
            .filter(|n| self.nodes[*n].up && self.nodes[*n].replica.lease_until().is_some())
            .max_by_key(|n| self.nodes[*n].replica.term())
    }

    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub fn propose(&mut self, position: usize) -> Ticket {
        let command = Bytes::from(format!("command {}", self.next_ticket));
        self.propose_command(position, command)
    }

    pub fn propose_command(&mut self, position: usize, command: Bytes) -> Ticket {
        let ticket = self.ticket();
        self.step(position, Input::Propose { ticket, command });
        ticket
    }

    pub fn read(&mut self, position: usize) -> Ticket {
        let ticket = self.ticket();
        self.invariants.record_read(ticket);
        self.step(position, Input::Read { ticket });
        ticket
    }

    pub fn change_members(&mut self, position: usize, change: MemberChange) -> Ticket {
        let ticket = self.ticket();
        self.step(position, Input::ChangeMembers { ticket, change });
        ticket
    }

    pub fn compact(&mut self, position: usize) {
        let node = &self.nodes[position];
        let (index, state) = (node.applied, encode_state(&node.state));
        self.step(position, Input::Compact { index, state });
    }

    pub fn is_completed(&self, ticket: Ticket) -> bool {
        self.invariants.completed.contains(&ticket)
    }

    /// Proposes commands and asserts that all are acknowledged.
    pub fn commit_commands(&mut self, count: usize) {
        let leader = self.elect();
        let tickets: Vec<Ticket> = (0..count).map(|_| self.propose(leader)).collect();
        self.run(4);
        assert!(tickets.into_iter().all(|ticket| self.is_completed(ticket)));
    }

    /// Requests a membership change until it is accepted and committed.
    pub fn change_members_and_wait(&mut self, change: MemberChange) {
        for _ in 0..200 {
            let leader = self.elect();
            let ticket = self.change_members(leader, change);
            self.run(5);
            if self.is_completed(ticket) {
                return;
            }
        }
        panic!("{change:?} was not committed in 200 attempts");
    }

    /// Ends all faults and asserts that the voters converge and that no acknowledged entry is lost.
    pub fn heal_and_converge(&mut self) {
        self.blocked_links.clear();
        for node in &mut self.nodes {
            node.up = true;
            node.disk_hangs = false;
        }
        let leader = self.elect();
        let ticket = self.propose(leader);
        for _ in 0..500 {
            self.run(1);
            if self.is_completed(ticket) && self.has_converged() {
                break;
            }
        }
        assert!(
            self.has_converged(),
            "the members did not converge within 10 s"
        );
        for (index, data) in &self.invariants.acknowledged {
            let held = &self.invariants.committed[index].data;
            assert_eq!(held, data, "an acknowledged entry was lost");
        }
        let leader = self.leader().expect("a converged cluster has a leader");
        let record = self.nodes[leader].replica.membership();
        for node in self.voters() {
            self.invariants.check_state(node);
            assert_eq!(node.replica.membership(), record);
        }
    }

    fn voters(&self) -> impl Iterator<Item = &Node> {
        let leader = self.leader().expect("a converged cluster has a leader");
        let record = self.nodes[leader].replica.membership();
        self.nodes
            .iter()
            .filter(|node| record.voters.contains(&node.id))
    }

    fn has_converged(&self) -> bool {
        let last = self.invariants.committed.keys().last().copied();
        self.leader().is_some() && self.voters().all(|node| Some(node.applied) == last)
    }
}
