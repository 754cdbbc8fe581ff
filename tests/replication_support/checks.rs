//! The naive single copy, and what must hold at every step.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use flamingocroft::{
    replication::{Effect, Rejection, Role, Ticket},
    wire::{Entry, EntryKind},
};
use prost::Message;

use super::Node;

#[derive(Default)]
pub struct Checks {
    pub committed: BTreeMap<u64, Entry>,
    pub acknowledged: BTreeMap<u64, Bytes>,
    pub rejected: Vec<(Ticket, Rejection)>,
    pub done: Vec<Ticket>,
    pub reads: usize,
    asked: BTreeMap<Ticket, u64>,
    visible: u64,
    leaders: BTreeMap<u64, u64>,
    written: BTreeMap<(u64, u64), (Bytes, Option<u64>)>,
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

impl Checks {
    /// Remembers what a read that is asked now must see.
    pub fn ask(&mut self, ticket: Ticket) {
        self.asked.insert(ticket, self.visible);
    }

    pub fn effect(&mut self, node: &mut Node, effect: &Effect) {
        match effect {
            Effect::Persist { entries, .. } => self.written(node, entries),
            Effect::Apply { entry, ticket } => self.applied(node, entry, *ticket),
            Effect::Restore(snapshot) => {
                node.state = decode_state(snapshot.state.clone());
                node.applied = snapshot.index;
                self.state(node);
            }
            Effect::ReadReady(ticket) => {
                let visible = self.asked[ticket];
                assert!(node.applied >= visible, "a read missed entry {visible}");
                self.reads += 1;
                self.done.push(*ticket);
            }
            Effect::Rejected { ticket, rejection } => self.rejected.push((*ticket, *rejection)),
            Effect::Send(_) => {}
        }
    }

    /// Log matching: an index and term name one command and one entry before it.
    fn written(&mut self, node: &Node, entries: &[Entry]) {
        for entry in entries {
            if node.replica.entry(entry.index) != Some(entry) {
                continue;
            }
            let previous = node.replica.entry(entry.index - 1).map(|e| e.term);
            let place = (entry.index, entry.term);
            let new = (entry.data.clone(), previous);
            let known = self.written.entry(place).or_insert(new);
            assert_eq!(known.0, entry.data, "two entries with one index and term");
            if let (Some(one), Some(other)) = (known.1, previous) {
                assert_eq!(one, other, "two histories before one entry");
            }
        }
    }

    fn applied(&mut self, node: &mut Node, entry: &Entry, ticket: Option<Ticket>) {
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
        self.visible = self.visible.max(entry.index);
        if let Some(ticket) = ticket {
            self.acknowledged.insert(entry.index, entry.data.clone());
            self.done.push(ticket);
        }
    }

    /// A member's state equals the naive copy's at the same index.
    pub fn state(&self, node: &Node) {
        let commands = self
            .committed
            .range(..=node.applied)
            .map(|(_, entry)| entry);
        let naive: Vec<(u64, Bytes)> = commands
            .filter(|entry| entry.kind == EntryKind::Command as i32)
            .map(|entry| (entry.index, entry.data.clone()))
            .collect();
        assert_eq!(node.state, naive, "a state differs from the naive copy");
    }

    /// Election safety and leader completeness.
    pub fn new_leader(&mut self, node: &Node) {
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
    pub fn leases(&self, nodes: &[Node], now: Duration) {
        let up = || nodes.iter().filter(|node| node.up);
        let leads = |node: &&Node| node.replica.role() == Role::Leader;
        let newest = up().filter(leads).map(|node| node.replica.term()).max();
        for node in up().filter(|node| Some(node.replica.term()) < newest) {
            let lease = node.replica.lease_until();
            let over = lease.is_none_or(|until| until <= now.mul_f64(node.rate));
            assert!(over, "a leader was elected during a lease");
        }
    }
}
