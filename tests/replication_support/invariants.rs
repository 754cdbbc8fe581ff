//! A reference model of the log, and the invariants that must hold at every step.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use flamingocroft::{
    replication::{Effect, Rejection, Role, Ticket},
    wire::{Entry, EntryKind},
};
use prost::Message;

use super::Node;

/// Checks Raft's safety properties, linearizable reads and leases over a whole cluster.
#[derive(Default)]
pub struct Invariants {
    pub committed: BTreeMap<u64, Entry>,
    pub acknowledged: BTreeMap<u64, Bytes>,
    pub rejected: Vec<(Ticket, Rejection)>,
    pub completed: Vec<Ticket>,
    pub reads: usize,
    /// The highest index that was applied anywhere when the read was requested.
    required_by_read: BTreeMap<Ticket, u64>,
    /// The highest index that any member has applied.
    last_applied: u64,
    /// Leader by term.
    leaders: BTreeMap<u64, u64>,
    /// Data and previous term of each entry, by index and term.
    history: BTreeMap<(u64, u64), (Bytes, Option<u64>)>,
}

pub fn encode_state(state: &[(u64, Bytes)]) -> Bytes {
    let mut bytes = Vec::new();
    for (index, data) in state {
        let entry = Entry {
            index: *index,
            data: data.clone(),
            ..Entry::default()
        };
        entry.encode_length_delimited(&mut bytes).unwrap();
    }
    bytes.into()
}

fn decode_state(mut bytes: Bytes) -> Vec<(u64, Bytes)> {
    let mut state = Vec::new();
    while !bytes.is_empty() {
        let entry = Entry::decode_length_delimited(&mut bytes).unwrap();
        state.push((entry.index, entry.data));
    }
    state
}

impl Invariants {
    /// Records the entries that a read requested now must observe.
    pub fn record_read(&mut self, ticket: Ticket) {
        self.required_by_read.insert(ticket, self.last_applied);
    }

    pub fn check_effect(&mut self, node: &mut Node, effect: &Effect) {
        match effect {
            Effect::Persist { entries, .. } => self.check_log_matching(node, entries),
            Effect::Apply { entry, ticket } => self.check_apply(node, entry, *ticket),
            Effect::Restore(snapshot) => {
                node.state = decode_state(snapshot.state.clone());
                node.applied = snapshot.index;
                self.check_state(node);
            }
            Effect::ReadReady(ticket) => {
                let last_applied = self.required_by_read[ticket];
                assert!(
                    node.applied >= last_applied,
                    "a read missed entry {last_applied}"
                );
                self.reads += 1;
                self.completed.push(*ticket);
            }
            Effect::Rejected { ticket, rejection } => self.rejected.push((*ticket, *rejection)),
            Effect::Send(_) => {}
        }
    }

    /// Log matching: an index and term identify one entry and the entry before it.
    fn check_log_matching(&mut self, node: &Node, entries: &[Entry]) {
        for entry in entries {
            if node.replica.entry(entry.index) != Some(entry) {
                continue;
            }
            let previous = node.replica.entry(entry.index - 1).map(|e| e.term);
            let position = (entry.index, entry.term);
            let new = (entry.data.clone(), previous);
            let known = self.history.entry(position).or_insert(new);
            assert_eq!(known.0, entry.data, "two entries with one index and term");
            if let (Some(one), Some(other)) = (known.1, previous) {
                assert_eq!(one, other, "two histories before one entry");
            }
        }
    }

    fn check_apply(&mut self, node: &mut Node, entry: &Entry, ticket: Option<Ticket>) {
        assert_eq!(
            node.applied + 1,
            entry.index,
            "entries are applied in order"
        );
        node.applied = entry.index;
        if entry.kind == EntryKind::Command as i32 {
            node.state.push((entry.index, entry.data.clone()));
        }
        let known = self.committed.entry(entry.index);
        let known = known.or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "two members applied different entries");
        self.last_applied = self.last_applied.max(entry.index);
        if let Some(ticket) = ticket {
            self.acknowledged.insert(entry.index, entry.data.clone());
            self.completed.push(ticket);
        }
    }

    /// Checks that a member's state equals the reference model's at the same index.
    pub fn check_state(&self, node: &Node) {
        let commands = self
            .committed
            .range(..=node.applied)
            .map(|(_, entry)| entry);
        let expected: Vec<(u64, Bytes)> = commands
            .filter(|entry| entry.kind == EntryKind::Command as i32)
            .map(|entry| (entry.index, entry.data.clone()))
            .collect();
        assert_eq!(
            node.state, expected,
            "a state differs from the reference model"
        );
    }

    /// Election safety (one leader per term) and leader completeness.
    pub fn check_new_leader(&mut self, node: &Node) {
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

    /// Checks that no member leads a later term while a lease is valid.
    pub fn check_leases(&self, nodes: &[Node], now: Duration) {
        let up = || nodes.iter().filter(|node| node.up);
        let leads = |node: &&Node| node.replica.role() == Role::Leader;
        let newest = up().filter(leads).map(|node| node.replica.term()).max();
        for node in up().filter(|node| Some(node.replica.term()) < newest) {
            let lease = node.replica.lease_until();
            let over = lease.is_none_or(|until| until <= now.mul_f64(node.clock_rate));
            assert!(over, "a leader was elected during a lease");
        }
    }
}
