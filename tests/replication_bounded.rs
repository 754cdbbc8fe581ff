//! The log in memory is bounded in bytes: behind a snapshot, at a follower whose disk hangs, and at a leader that
//! cannot compact.

mod replication_support;

use bytes::Bytes;
use flamingocroft::{
    replication::{Input, Rejection, ReplicaSettings},
    wire::ReplicaPayload,
};
use prost::Message;
use replication_support::{Cluster, Node};

const MIB: usize = 1024 * 1024;

fn log_bytes(node: &Node) -> usize {
    let entries = (1..=node.replica.last_index()).filter_map(|index| node.replica.entry(index));
    entries.map(Message::encoded_len).sum()
}

fn commit_large(cluster: &mut Cluster, leader: usize, count: usize) {
    for _ in 0..count {
        cluster.propose_command(leader, Bytes::from(vec![7; MIB]));
        cluster.run(2);
    }
}

/// Encodes no state, since the states of these tests hold every command.
fn compact_to_nothing(cluster: &mut Cluster, position: usize) {
    let index = cluster.nodes[position].applied;
    let state = Bytes::new();
    cluster.step(position, Input::Compact { index, state });
}

#[test]
fn entries_kept_behind_a_snapshot_are_bounded_in_bytes() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    commit_large(&mut cluster, leader, 24);
    for position in 0..3 {
        cluster.compact(position);
        cluster.run(1);
        let kept = log_bytes(&cluster.nodes[position]);
        assert!(kept > MIB && kept <= 8 * MIB, "{kept} bytes are kept");
    }
    cluster.heal_and_converge();
}

#[test]
fn a_follower_whose_disk_hangs_is_sent_no_more_than_it_may_hold() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let slow = (leader + 1) % 3;
    cluster.nodes[slow].disk_hangs = true;
    commit_large(&mut cluster, leader, 24);
    let held = log_bytes(&cluster.nodes[slow]);
    assert!(held <= 6 * MIB, "{held} bytes are held without a sync");
    cluster.heal_and_converge();
}

#[test]
fn a_leader_that_cannot_compact_refuses_commands_instead_of_growing() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    commit_large(&mut cluster, leader, 40);
    let held = log_bytes(&cluster.nodes[leader]);
    assert!(held <= 33 * MIB, "{held} bytes are held");
    let refused = |(_, rejection): &(_, Rejection)| *rejection == Rejection::LogFull;
    assert!(cluster.invariants.rejected.iter().all(refused));
    compact_to_nothing(&mut cluster, leader);
    let ticket = cluster.propose(leader);
    cluster.run(3);
    assert!(cluster.is_completed(ticket));
}

/// Otherwise a leader that compacts faster than a snapshot travels sends one snapshot after the other.
#[test]
fn entries_after_a_snapshot_on_its_way_are_kept_for_its_receiver() {
    let settings = ReplicaSettings {
        retained_entries: 0,
        ..ReplicaSettings::default()
    };
    let mut cluster = Cluster::with_settings(3, settings, &[]);
    let leader = cluster.elect();
    let slow = (leader + 1) % 3;
    let (from, to) = (cluster.nodes[leader].id, cluster.nodes[slow].id);
    cluster.nodes[slow].up = false;
    commit_large(&mut cluster, leader, 6);
    cluster.compact(leader);
    cluster.run(1);
    cluster.nodes[slow].up = true;
    let mut transfers = std::collections::BTreeSet::new();
    for _ in 0..200 {
        cluster.propose(leader);
        cluster.compact(leader);
        cluster.step(leader, Input::Tick);
        cluster.sync(leader);
        for message in &cluster.messages {
            if let (true, Some(ReplicaPayload::InstallSnapshot(part))) =
                (message.from == from && message.to == to, &message.payload)
            {
                transfers.insert(part.index);
            }
        }
        for _ in 0..cluster.messages.len().min(8) {
            cluster.deliver(0, false);
        }
        (0..3).for_each(|position| cluster.sync(position));
        cluster.now += replication_support::ROUND_DURATION;
    }
    cluster.run(20);
    assert_eq!(cluster.nodes[slow].applied, cluster.nodes[leader].applied);
    assert!(transfers.len() <= 2, "snapshots sent: {transfers:?}");
}
