//! Elections, commits, reads, catch-up and membership without failures, and with chosen ones.

mod replication_support;

use flamingocroft::{
    domain::MemberId,
    replication::{Input, Rejection, Role, Ticket},
};
use replication_support::Group;

#[test]
fn three_members_elect_commit_and_apply() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let tickets: Vec<Ticket> = (0..10).map(|_| group.propose(leader)).collect();
    group.run(4);
    assert!(tickets.iter().all(|ticket| group.is_done(*ticket)));
    group.settle();
    assert_eq!(group.checks.acknowledged.len(), 11);
}

#[test]
fn a_follower_rejects_proposals_reads_and_changes() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let follower = (leader + 1) % 3;
    let ticket = group.propose(follower);
    assert_eq!(group.checks.rejected, [(ticket, Rejection::NotLeader)]);
    let read = group.read(follower);
    assert_eq!(group.checks.rejected[1], (read, Rejection::NotLeader));
    assert_eq!(group.nodes[follower].replica.role(), Role::Follower);
    let known = group.nodes[follower].replica.leader();
    assert_eq!(known, Some(MemberId(group.nodes[leader].id)));
}

#[test]
fn nothing_commits_before_it_is_synced_on_a_majority() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let ticket = group.propose(leader);
    group.step(leader, Input::Tick);
    for _ in 0..4 {
        for _ in 0..group.messages.len() {
            group.deliver(0, false);
        }
        // Only the leader's disk answers.
        group.sync(leader);
    }
    assert!(!group.is_done(ticket));
    group.run(2);
    assert!(group.is_done(ticket));
}
