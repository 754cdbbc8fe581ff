//! Elections, commits and reads in a cluster without faults.

mod replication_support;

use flamingocroft::{
    domain::MemberId,
    replication::{Input, Rejection, Role, Ticket},
};
use replication_support::Cluster;

#[test]
fn three_members_elect_commit_and_apply() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let tickets: Vec<Ticket> = (0..10).map(|_| cluster.propose(leader)).collect();
    cluster.run(4);
    assert!(tickets.iter().all(|ticket| cluster.is_completed(*ticket)));
    cluster.heal_and_converge();
    assert_eq!(cluster.invariants.acknowledged.len(), 11);
}

#[test]
fn a_follower_rejects_proposals_reads_and_changes() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let follower = (leader + 1) % 3;
    let ticket = cluster.propose(follower);
    assert_eq!(
        cluster.invariants.rejected,
        [(ticket, Rejection::NotLeader)]
    );
    let read = cluster.read(follower);
    assert_eq!(cluster.invariants.rejected[1], (read, Rejection::NotLeader));
    assert_eq!(cluster.nodes[follower].replica.role(), Role::Follower);
    let known = cluster.nodes[follower].replica.leader();
    assert_eq!(known, Some(MemberId(cluster.nodes[leader].id)));
}

#[test]
fn nothing_commits_before_it_is_synced_on_a_majority() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let ticket = cluster.propose(leader);
    cluster.step(leader, Input::Tick);
    for _ in 0..4 {
        for _ in 0..cluster.messages.len() {
            cluster.deliver(0, false);
        }
        // Only the leader's disk completes its writes.
        cluster.sync(leader);
    }
    assert!(!cluster.is_completed(ticket));
    cluster.run(2);
    assert!(cluster.is_completed(ticket));
}
