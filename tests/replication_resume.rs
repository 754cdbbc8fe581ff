//! A snapshot that is sent in parts goes on where it stopped.

mod replication_support;

use bytes::Bytes;
use flamingocroft::{
    replication::{Input, ReplicaSettings},
    wire::ReplicaPayload,
};
use replication_support::{Cluster, ROUND_DURATION};

const MIB: usize = 1024 * 1024;

/// Guards against a transfer that begins anew after each interruption and so never ends.
#[test]
fn an_interrupted_snapshot_goes_on_at_the_part_that_was_lost() {
    let settings = ReplicaSettings {
        retained_entries: 0,
        ..ReplicaSettings::default()
    };
    let mut cluster = Cluster::with_settings(3, settings, &[]);
    let leader = cluster.elect();
    let slow = (leader + 1) % 3;
    let link = (cluster.nodes[leader].id, cluster.nodes[slow].id);
    cluster.nodes[slow].up = false;
    for _ in 0..24 {
        cluster.propose_command(leader, Bytes::from(vec![7; MIB]));
        cluster.run(2);
    }
    cluster.compact(leader);
    cluster.run(1);
    cluster.nodes[slow].up = true;
    let mut offsets = Vec::new();
    for round in 0..400 {
        for position in 0..3 {
            cluster.step(position, Input::Tick);
            cluster.sync(position);
        }
        let parts = cluster
            .messages
            .iter()
            .filter_map(|message| match &message.payload {
                Some(ReplicaPayload::InstallSnapshot(part)) => Some(part.offset),
                _ => None,
            });
        offsets.extend(parts);
        // The link is interrupted for longer than an election takes, again and again.
        if round % 40 >= 20 {
            cluster.messages.retain(|m| (m.from, m.to) != link);
        }
        for _ in 0..cluster.messages.len() {
            cluster.deliver(0, false);
        }
        cluster.now += ROUND_DURATION;
    }
    assert!(offsets.is_sorted(), "{offsets:?}");
    assert!(offsets.last() > Some(&(20 * MIB as u64)), "{offsets:?}");
    cluster.run(60);
    assert_eq!(cluster.nodes[slow].state, cluster.nodes[leader].state);
    cluster.heal_and_converge();
}
