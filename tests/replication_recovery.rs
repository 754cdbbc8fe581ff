//! Catching up, replacing a lost disk, membership changes, and what an isolated leader may answer.

mod replication_support;

use std::time::Duration;

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{
        Input, MAX_COMMAND_BYTES, MemberChange, Rejection, ReplicaSettings, Role, Ticket,
    },
};
use replication_support::{Cluster, Node, ROUND_DURATION};

const MISSED_COMMANDS: usize = 400;

/// Commits entries one by one while a member is down, then brings it back and lets it catch up.
fn catch_up(settings: ReplicaSettings, compact: bool) -> Cluster {
    let mut cluster = Cluster::with_settings(3, settings, &[]);
    let leader = cluster.elect();
    let slow = (leader + 1) % 3;
    cluster.run(3);
    cluster.nodes[slow].up = false;
    for _ in 0..MISSED_COMMANDS {
        cluster.propose(leader);
        cluster.run(1);
    }
    if compact {
        cluster.compact(leader);
        cluster.sync(leader);
    }
    assert_eq!(cluster.invariants.acknowledged.len(), MISSED_COMMANDS);
    let commit = cluster.nodes[leader].replica.commit();
    assert!(cluster.nodes[slow].applied + 300 < commit);
    cluster.nodes[slow].up = true;
    cluster.run(20);
    assert_eq!(cluster.nodes[slow].applied, commit);
    assert_eq!(cluster.nodes[slow].state, cluster.nodes[leader].state);
    cluster
}

/// Returns the number of disks that hold a later snapshot than the initial one.
fn snapshot_count(cluster: &mut Cluster) -> usize {
    let read = |node: &mut Node| node.disk.read().snapshot.index;
    cluster
        .nodes
        .iter_mut()
        .map(read)
        .filter(|index| *index > 1)
        .count()
}

#[test]
fn a_member_catches_up_with_entries() {
    let mut cluster = catch_up(ReplicaSettings::default(), false);
    assert_eq!(snapshot_count(&mut cluster), 0);
    cluster.heal_and_converge();
}

#[test]
fn a_member_catches_up_with_a_snapshot() {
    let settings = ReplicaSettings {
        retained_entries: 10,
        ..ReplicaSettings::default()
    };
    let mut cluster = catch_up(settings, true);
    assert_eq!(
        snapshot_count(&mut cluster),
        2,
        "the leader's and the slow member's"
    );
    cluster.heal_and_converge();
}

#[test]
fn a_member_catches_up_from_entries_kept_behind_a_snapshot() {
    let settings = ReplicaSettings {
        retained_entries: 1000,
        ..ReplicaSettings::default()
    };
    let mut cluster = catch_up(settings, true);
    assert_eq!(snapshot_count(&mut cluster), 1, "only the leader's own");
}

#[test]
fn a_snapshot_larger_than_a_frame_travels_in_chunks() {
    let settings = ReplicaSettings {
        retained_entries: 0,
        ..ReplicaSettings::default()
    };
    let mut cluster = Cluster::with_settings(3, settings, &[]);
    let leader = cluster.elect();
    let slow = (leader + 1) % 3;
    cluster.nodes[slow].up = false;
    for _ in 0..5 {
        cluster.propose_command(leader, Bytes::from(vec![7; 3 * 1024 * 1024]));
        cluster.run(2);
    }
    cluster.compact(leader);
    cluster.run(1);
    cluster.nodes[slow].up = true;
    cluster.run(10);
    assert_eq!(cluster.nodes[slow].state.len(), 5);
    cluster.heal_and_converge();
}

#[test]
fn an_oversized_command_is_refused_and_the_largest_one_fits() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let command = Bytes::from(vec![0; MAX_COMMAND_BYTES + 1]);
    let ticket = cluster.propose_command(leader, command);
    assert_eq!(cluster.invariants.rejected, [(ticket, Rejection::TooLarge)]);
    let ticket = cluster.propose_command(leader, Bytes::from(vec![0; MAX_COMMAND_BYTES]));
    cluster.run(3);
    assert!(cluster.is_completed(ticket));
}

/// Replaces a member that lost its disk by a learner that is promoted, with the old member removed first or
/// last, and then loses another disk.
#[test]
fn a_second_disk_lost_right_after_a_repair_loses_nothing() {
    for remove_first in [true, false] {
        for second in 0..3 {
            let mut cluster = Cluster::new(3);
            let leader = cluster.elect();
            let lost = (leader + 1) % 3;
            for _ in 0..50 {
                cluster.propose(leader);
            }
            cluster.run(3);
            let old = cluster.nodes[lost].id;
            let new = cluster.wipe(lost);
            let [old, new] = [old, new].map(MemberId);
            let changes = match remove_first {
                true => [
                    MemberChange::Remove(old),
                    MemberChange::AddLearner(new),
                    MemberChange::Promote(new),
                ],
                false => [
                    MemberChange::AddLearner(new),
                    MemberChange::Promote(new),
                    MemberChange::Remove(old),
                ],
            };
            for change in changes {
                cluster.change_members_and_wait(change);
            }
            let before = cluster.invariants.acknowledged.len();
            assert_eq!(before, 50 + 3);
            cluster.wipe(second);
            cluster.heal_and_converge();
            assert_eq!(cluster.invariants.acknowledged.len(), before + 1);
        }
    }
}

#[test]
fn a_learner_that_has_not_caught_up_is_not_promoted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    for _ in 0..300 {
        cluster.propose(leader);
    }
    cluster.run(3);
    let (position, id) = cluster.add_blank_member();
    cluster.nodes[position].up = false;
    cluster.change_members_and_wait(MemberChange::AddLearner(MemberId(id)));
    let ticket = cluster.change_members(leader, MemberChange::Promote(MemberId(id)));
    assert_eq!(
        cluster.invariants.rejected.pop(),
        Some((ticket, Rejection::ChangeRefused))
    );
    cluster.nodes[position].up = true;
    cluster.run(20);
    assert_eq!(cluster.nodes[position].replica.role(), Role::Learner);
    cluster.change_members_and_wait(MemberChange::Promote(MemberId(id)));
    cluster.run(5);
    assert_eq!(cluster.nodes[position].replica.role(), Role::Follower);
    cluster.heal_and_converge();
}

#[test]
fn only_one_applicable_membership_change_at_a_time() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let own = MemberId(cluster.nodes[leader].id);
    let (_, id) = cluster.add_blank_member();
    let first = cluster.change_members(leader, MemberChange::AddLearner(MemberId(id)));
    let second = cluster.change_members(leader, MemberChange::Remove(own));
    assert_eq!(
        cluster.invariants.rejected,
        [(second, Rejection::ChangeRefused)]
    );
    cluster.run(5);
    assert!(cluster.is_completed(first));
    for change in [
        MemberChange::AddLearner(MemberId(id)),
        MemberChange::AddLearner(own),
        MemberChange::Promote(own),
        MemberChange::Promote(MemberId(99)),
        MemberChange::Remove(MemberId(99)),
    ] {
        let ticket = cluster.change_members(leader, change);
        let refused = Some((ticket, Rejection::ChangeRefused));
        assert_eq!(cluster.invariants.rejected.pop(), refused, "{change:?}");
    }
}

#[test]
fn a_leader_that_removes_itself_hands_over_and_the_last_voter_stays() {
    let mut cluster = Cluster::new(3);
    for left in [2, 1] {
        let leader = cluster.elect();
        let own = MemberId(cluster.nodes[leader].id);
        let ticket = cluster.change_members(leader, MemberChange::Remove(own));
        cluster.run(5);
        assert!(cluster.is_completed(ticket));
        assert_eq!(cluster.nodes[leader].replica.role(), Role::Learner);
        cluster.nodes[leader].up = false;
        let next = cluster.elect();
        assert_eq!(cluster.nodes[next].replica.membership().voters.len(), left);
    }
    let last = cluster.elect();
    let own = MemberId(cluster.nodes[last].id);
    let ticket = cluster.change_members(last, MemberChange::Remove(own));
    assert_eq!(
        cluster.invariants.rejected.pop(),
        Some((ticket, Rejection::ChangeRefused))
    );
    let ticket = cluster.propose(last);
    cluster.run(2);
    assert!(cluster.is_completed(ticket));
}

fn isolate(cluster: &mut Cluster, position: usize) {
    let id = cluster.nodes[position].id;
    for other in cluster.nodes.iter().map(|node| node.id) {
        cluster.blocked_links.insert((id, other));
        cluster.blocked_links.insert((other, id));
    }
    cluster.messages.clear();
}

#[test]
fn an_isolated_leader_neither_commits_nor_reads_after_its_lease() {
    let mut cluster = Cluster::new(3);
    let old = cluster.elect();
    isolate(&mut cluster, old);
    let until = cluster.nodes[old].replica.lease_until().unwrap();
    while cluster.now < until {
        cluster.run(1);
    }
    cluster.step(old, Input::Tick);
    assert_eq!(cluster.nodes[old].replica.lease_until(), None);
    let proposal = cluster.propose(old);
    let read = cluster.read(old);
    assert!(!cluster.is_completed(read));
    let new = cluster.elect();
    assert_ne!(new, old);
    cluster.propose(new);
    cluster.run(50);
    assert!(
        cluster
            .invariants
            .rejected
            .contains(&(proposal, Rejection::Deposed))
    );
    assert!(
        cluster
            .invariants
            .rejected
            .contains(&(read, Rejection::NotLeader))
    );
    cluster.heal_and_converge();
    assert!(!cluster.is_completed(proposal) && !cluster.is_completed(read));
}

#[test]
fn a_read_without_a_lease_waits_for_a_majority() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    // The lease has expired, but no follower has started an election yet.
    cluster.now = cluster.nodes[leader].replica.lease_until().unwrap();
    cluster.step(leader, Input::Tick);
    assert_eq!(cluster.nodes[leader].replica.lease_until(), None);
    let read = cluster.read(leader);
    assert!(!cluster.is_completed(read));
    cluster.run(1);
    assert!(cluster.is_completed(read));
}

#[test]
fn an_isolated_member_returns_without_disrupting_the_leader() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let term = cluster.nodes[leader].replica.term();
    let away = (leader + 1) % 3;
    isolate(&mut cluster, away);
    cluster.run(100);
    assert_eq!(cluster.nodes[away].replica.role(), Role::Candidate);
    assert_eq!(cluster.nodes[away].replica.term(), term);
    cluster.blocked_links.clear();
    cluster.run(20);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.nodes[leader].replica.term(), term);
    assert_eq!(cluster.nodes[away].replica.role(), Role::Follower);
}

#[test]
fn a_restarted_cluster_elects_again_and_keeps_everything() {
    let mut cluster = Cluster::new(5);
    let leader = cluster.elect();
    for _ in 0..20 {
        cluster.propose(leader);
    }
    cluster.run(3);
    for position in 0..5 {
        cluster.crash(position);
    }
    cluster.messages.clear();
    cluster.heal_and_converge();
    assert_eq!(cluster.invariants.acknowledged.len(), 21);
}

#[test]
fn losing_a_minority_costs_at_most_the_longest_election() {
    for members in [3, 5, 7] {
        let mut cluster = Cluster::new(members);
        let leader = cluster.elect();
        for position in 0..members as usize / 2 {
            let position = (leader + position) % members as usize;
            cluster.nodes[position].up = false;
        }
        let lost = cluster.now;
        let next = cluster.elect();
        assert!(cluster.now - lost <= Duration::from_millis(1200));
        let ticket = cluster.propose(next);
        cluster.run(2);
        assert!(cluster.is_completed(ticket));
    }
}

#[test]
fn one_member_alone_leads_and_commits() {
    let mut cluster = Cluster::new(1);
    let leader = cluster.elect();
    let tickets: Vec<Ticket> = (0..3).map(|_| cluster.propose(leader)).collect();
    assert!(!cluster.is_completed(tickets[0]), "nothing is synced yet");
    cluster.sync(leader);
    assert!(tickets.iter().all(|ticket| cluster.is_completed(*ticket)));
    cluster.now += ROUND_DURATION * 100;
    let read = cluster.read(leader);
    assert!(cluster.is_completed(read));
}
