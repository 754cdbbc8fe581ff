//! Counts, without sockets or disks, the cost of a commit in groups of 1, 3, 5 and 7 members: messages,
//! their bytes, and bytes of entries written. Each figure is the slope between two run lengths, which
//! cancels the cost of elections and heartbeats.

use std::time::Duration;

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{
        Batch, Effect, Input, Recovered, Replica, ReplicaSettings, Role, Snapshot, Ticket,
    },
    wire::{MembershipRecord, ReplicaMessage},
};
use prost::Message;

const COMMAND_BYTES: usize = 200;
const SHORT_RUN_COMMANDS: usize = 256;
const LONG_RUN_COMMANDS: usize = 2560;

fn main() {
    println!("{COMMAND_BYTES}-byte commands; per commit, all members together");
    println!("members  batch  messages  message bytes  entry bytes written  leader's bytes sent");
    for members in [1, 3, 5, 7] {
        for batch in [1, 16, 256] {
            let short = ReplicaGroup::new(members).commit(SHORT_RUN_COMMANDS, batch);
            let long = ReplicaGroup::new(members).commit(LONG_RUN_COMMANDS, batch);
            let slope = |count: fn(&Counts) -> u64| {
                (count(&long) - count(&short)) as f64
                    / (LONG_RUN_COMMANDS - SHORT_RUN_COMMANDS) as f64
            };
            println!(
                "{members:7}  {batch:5}  {:8.2}  {:13.1}  {:19.1}  {:19.1}",
                slope(|c| c.messages),
                slope(|c| c.message_bytes),
                slope(|c| c.entry_bytes_written),
                slope(|c| c.leader_bytes),
            );
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    messages: u64,
    message_bytes: u64,
    leader_bytes: u64,
    entry_bytes_written: u64,
    committed: usize,
}

struct ReplicaGroup {
    replicas: Vec<Replica>,
    now: Duration,
    messages: Vec<ReplicaMessage>,
    counts: Counts,
}

impl ReplicaGroup {
    fn new(members: u64) -> Self {
        let recovered = Recovered {
            snapshot: Snapshot {
                index: 1,
                term: 1,
                membership: MembershipRecord {
                    voters: (1..=members).collect(),
                    learners: Vec::new(),
                },
                state: Bytes::new(),
            },
            ..Recovered::default()
        };
        let make = |id| {
            let settings = ReplicaSettings::default();
            Replica::new(
                MemberId(id),
                recovered.clone(),
                settings,
                id,
                Duration::ZERO,
            )
        };
        Self {
            replicas: (1..=members).map(make).collect(),
            now: Duration::ZERO,
            messages: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Elects a leader and commits at least `commands` commands in batches.
    fn commit(mut self, commands: usize, batch: usize) -> Counts {
        let leader = loop {
            let leads = |replica: &Replica| replica.lease_until().is_some();
            if let Some(position) = self.replicas.iter().position(leads) {
                break position;
            }
            self.now += Duration::from_millis(10);
            for position in 0..self.replicas.len() {
                self.handle(position, [Input::Tick]);
            }
            self.deliver();
        };
        let command = Bytes::from(vec![7; COMMAND_BYTES]);
        while self.counts.committed < commands {
            let proposals: Vec<Input> = (0..batch)
                .map(|number| Input::Propose {
                    ticket: Ticket(number as u64),
                    command: command.clone(),
                })
                .chain([Input::Tick])
                .collect();
            self.handle(leader, proposals);
            self.deliver();
        }
        assert_eq!(self.replicas[leader].role(), Role::Leader);
        self.counts
    }

    fn deliver(&mut self) {
        while !self.messages.is_empty() {
            let mut inputs = vec![Vec::new(); self.replicas.len()];
            for message in std::mem::take(&mut self.messages) {
                inputs[message.to as usize - 1].push(Input::Receive(message));
            }
            for (position, inputs) in inputs.into_iter().enumerate() {
                self.handle(position, inputs);
            }
        }
    }

    fn handle(&mut self, position: usize, inputs: impl IntoIterator<Item = Input>) {
        let replica = &mut self.replicas[position];
        let mut batch = Batch::default();
        for input in inputs {
            batch.add(replica.step(self.now, input));
        }
        loop {
            let sent = [
                batch.take_messages_before_sync(),
                batch.take_messages_after_sync(),
            ]
            .concat();
            let bytes: u64 = sent.iter().map(|m| m.encoded_len() as u64).sum();
            self.counts.messages += sent.len() as u64;
            self.counts.message_bytes += bytes;
            if replica.role() == Role::Leader {
                self.counts.leader_bytes += bytes;
            }
            self.messages.extend(sent);
            let writes = batch.take_writes();
            let entries = writes.iter().flat_map(|write| &write.entries);
            self.counts.entry_bytes_written +=
                entries.map(|entry| entry.encoded_len() as u64).sum::<u64>();
            let answered = |e: &Effect| {
                matches!(
                    e,
                    Effect::Apply {
                        ticket: Some(_),
                        ..
                    }
                )
            };
            self.counts.committed += batch
                .take_other_effects()
                .into_iter()
                .filter(answered)
                .count();
            let persisted = batch.take_persisted_inputs();
            if persisted.is_empty() {
                return;
            }
            for input in persisted {
                batch.add(replica.step(self.now, input));
            }
        }
    }
}
