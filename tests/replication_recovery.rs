//! Catching up, replacing a lost disk, changing members, and what an isolated leader may say.

mod replication_support;

use std::time::Duration;

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{
        Input, MAX_COMMAND_BYTES, MemberChange, Rejection, ReplicaSettings, Role, Ticket,
    },
};
use replication_support::{Group, Node, STEP};

const MISSED: usize = 400;

/// Commits entries one by one while a member is down, then lets it come back.
fn catch_up(settings: ReplicaSettings, compact: bool) -> Group {
    let mut group = Group::with(3, settings, &[]);
    let leader = group.elect();
    let slow = (leader + 1) % 3;
    group.run(3);
    group.nodes[slow].up = false;
    for _ in 0..MISSED {
        group.propose(leader);
        group.run(1);
    }
    if compact {
        group.compact(leader);
        group.sync(leader);
    }
    assert_eq!(group.checks.acknowledged.len(), MISSED);
    let commit = group.nodes[leader].replica.commit();
    assert!(group.nodes[slow].applied + 300 < commit);
    group.nodes[slow].up = true;
    group.run(20);
    assert_eq!(group.nodes[slow].applied, commit);
    assert_eq!(group.nodes[slow].state, group.nodes[leader].state);
    group
}

/// How many disks hold a later snapshot than the first one.
fn snapshots(group: &mut Group) -> usize {
    let read = |node: &mut Node| node.disk.read().snapshot.index;
    group
        .nodes
        .iter_mut()
        .map(read)
        .filter(|index| *index > 1)
        .count()
}

#[test]
fn a_member_catches_up_with_entries() {
    let mut group = catch_up(ReplicaSettings::default(), false);
    assert_eq!(snapshots(&mut group), 0);
    group.settle();
}

#[test]
fn a_member_catches_up_with_a_snapshot() {
    let settings = ReplicaSettings {
        retained_entries: 10,
        ..ReplicaSettings::default()
    };
    let mut group = catch_up(settings, true);
    assert_eq!(
        snapshots(&mut group),
        2,
        "the leader's and the slow member's"
    );
    group.settle();
}

#[test]
fn a_member_catches_up_from_entries_kept_behind_a_snapshot() {
    let settings = ReplicaSettings {
        retained_entries: 1000,
        ..ReplicaSettings::default()
    };
    let mut group = catch_up(settings, true);
    assert_eq!(snapshots(&mut group), 1, "only the leader's own");
}

#[test]
fn a_snapshot_larger_than_a_frame_travels_in_chunks() {
    let settings = ReplicaSettings {
        retained_entries: 0,
        ..ReplicaSettings::default()
    };
    let mut group = Group::with(3, settings, &[]);
    let leader = group.elect();
    let slow = (leader + 1) % 3;
    group.nodes[slow].up = false;
    for _ in 0..5 {
        group.propose_command(leader, Bytes::from(vec![7; 3 * 1024 * 1024]));
        group.run(2);
    }
    group.compact(leader);
    group.run(1);
    group.nodes[slow].up = true;
    group.run(10);
    assert_eq!(group.nodes[slow].state.len(), 5);
    group.settle();
}

#[test]
fn an_oversized_command_is_refused_and_the_largest_one_fits() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let command = Bytes::from(vec![0; MAX_COMMAND_BYTES + 1]);
    let ticket = group.propose_command(leader, command);
    assert_eq!(group.checks.rejected, [(ticket, Rejection::TooLarge)]);
    let ticket = group.propose_command(leader, Bytes::from(vec![0; MAX_COMMAND_BYTES]));
    group.run(3);
    assert!(group.is_done(ticket));
}

/// Replaces a lost disk by a learner that is promoted, in both orders, and then loses another one.
#[test]
fn a_second_disk_lost_right_after_a_repair_loses_nothing() {
    for remove_first in [true, false] {
        for second in 0..3 {
            let mut group = Group::new(3);
            let leader = group.elect();
            let lost = (leader + 1) % 3;
            for _ in 0..50 {
                group.propose(leader);
            }
            group.run(3);
            let old = group.nodes[lost].id;
            let new = group.wipe(lost);
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
                group.change_and_wait(change);
            }
            let before = group.checks.acknowledged.len();
            assert_eq!(before, 50 + 3);
            group.wipe(second);
            group.settle();
            assert_eq!(group.checks.acknowledged.len(), before + 1);
        }
    }
}

#[test]
fn a_learner_that_has_not_caught_up_is_not_promoted() {
    let mut group = Group::new(3);
    let leader = group.elect();
    for _ in 0..300 {
        group.propose(leader);
    }
    group.run(3);
    let (place, id) = group.add_blank();
    group.nodes[place].up = false;
    group.change_and_wait(MemberChange::AddLearner(MemberId(id)));
    let ticket = group.change(leader, MemberChange::Promote(MemberId(id)));
    assert_eq!(
        group.checks.rejected.pop(),
        Some((ticket, Rejection::ChangeRefused))
    );
    group.nodes[place].up = true;
    group.run(20);
    assert_eq!(group.nodes[place].replica.role(), Role::Learner);
    group.change_and_wait(MemberChange::Promote(MemberId(id)));
    group.run(5);
    assert_eq!(group.nodes[place].replica.role(), Role::Follower);
    group.settle();
}

#[test]
fn one_change_at_a_time_and_only_one_that_applies() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let own = MemberId(group.nodes[leader].id);
    let (_, id) = group.add_blank();
    let first = group.change(leader, MemberChange::AddLearner(MemberId(id)));
    let second = group.change(leader, MemberChange::Remove(own));
    assert_eq!(group.checks.rejected, [(second, Rejection::ChangeRefused)]);
    group.run(5);
    assert!(group.is_done(first));
    for change in [
        MemberChange::AddLearner(MemberId(id)),
        MemberChange::AddLearner(own),
        MemberChange::Promote(own),
        MemberChange::Promote(MemberId(99)),
        MemberChange::Remove(MemberId(99)),
    ] {
        let ticket = group.change(leader, change);
        let refused = Some((ticket, Rejection::ChangeRefused));
        assert_eq!(group.checks.rejected.pop(), refused, "{change:?}");
    }
}

#[test]
fn a_leader_that_removes_itself_hands_over_and_the_last_voter_stays() {
    let mut group = Group::new(3);
    for left in [2, 1] {
        let leader = group.elect();
        let own = MemberId(group.nodes[leader].id);
        let ticket = group.change(leader, MemberChange::Remove(own));
        group.run(5);
        assert!(group.is_done(ticket));
        assert_eq!(group.nodes[leader].replica.role(), Role::Learner);
        group.nodes[leader].up = false;
        let next = group.elect();
        assert_eq!(group.nodes[next].replica.membership().voters.len(), left);
    }
    let last = group.elect();
    let own = MemberId(group.nodes[last].id);
    let ticket = group.change(last, MemberChange::Remove(own));
    assert_eq!(
        group.checks.rejected.pop(),
        Some((ticket, Rejection::ChangeRefused))
    );
    let ticket = group.propose(last);
    group.run(2);
    assert!(group.is_done(ticket));
}

fn isolate(group: &mut Group, place: usize) {
    let id = group.nodes[place].id;
    for other in group.nodes.iter().map(|node| node.id) {
        group.cut.insert((id, other));
        group.cut.insert((other, id));
    }
    group.messages.clear();
}

#[test]
fn an_isolated_leader_neither_commits_nor_reads_after_its_lease() {
    let mut group = Group::new(3);
    let old = group.elect();
    isolate(&mut group, old);
    let until = group.nodes[old].replica.lease_until().unwrap();
    while group.now < until {
        group.run(1);
    }
    group.step(old, Input::Tick);
    assert_eq!(group.nodes[old].replica.lease_until(), None);
    let proposal = group.propose(old);
    let read = group.read(old);
    assert!(!group.is_done(read));
    let new = group.elect();
    assert_ne!(new, old);
    group.propose(new);
    group.run(50);
    assert!(
        group
            .checks
            .rejected
            .contains(&(proposal, Rejection::Deposed))
    );
    assert!(
        group
            .checks
            .rejected
            .contains(&(read, Rejection::NotLeader))
    );
    group.settle();
    assert!(!group.is_done(proposal) && !group.is_done(read));
}

#[test]
fn a_read_without_a_lease_waits_for_a_majority() {
    let mut group = Group::new(3);
    let leader = group.elect();
    // The lease has run out, but no follower stands for election yet.
    group.now = group.nodes[leader].replica.lease_until().unwrap();
    group.step(leader, Input::Tick);
    assert_eq!(group.nodes[leader].replica.lease_until(), None);
    let read = group.read(leader);
    assert!(!group.is_done(read));
    group.run(1);
    assert!(group.is_done(read));
}

#[test]
fn a_member_that_heard_a_leader_refuses_votes_and_a_returning_one_does_not_disturb() {
    let mut group = Group::new(3);
    let leader = group.elect();
    let term = group.nodes[leader].replica.term();
    let away = (leader + 1) % 3;
    isolate(&mut group, away);
    group.run(100);
    assert_eq!(group.nodes[away].replica.role(), Role::Candidate);
    assert_eq!(group.nodes[away].replica.term(), term);
    group.cut.clear();
    group.run(20);
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.nodes[leader].replica.term(), term);
    assert_eq!(group.nodes[away].replica.role(), Role::Follower);
}

#[test]
fn a_restarted_group_elects_again_and_keeps_everything() {
    let mut group = Group::new(5);
    let leader = group.elect();
    for _ in 0..20 {
        group.propose(leader);
    }
    group.run(3);
    for place in 0..5 {
        group.crash(place);
    }
    group.messages.clear();
    group.settle();
    assert_eq!(group.checks.acknowledged.len(), 21);
}

#[test]
fn losing_a_minority_costs_at_most_the_longest_election() {
    for members in [3, 5, 7] {
        let mut group = Group::new(members);
        let leader = group.elect();
        for place in 0..members as usize / 2 {
            let place = (leader + place) % members as usize;
            group.nodes[place].up = false;
        }
        let lost = group.now;
        let next = group.elect();
        assert!(group.now - lost <= Duration::from_millis(1200));
        let ticket = group.propose(next);
        group.run(2);
        assert!(group.is_done(ticket));
    }
}

#[test]
fn one_member_alone_leads_and_commits() {
    let mut group = Group::new(1);
    let leader = group.elect();
    let tickets: Vec<Ticket> = (0..3).map(|_| group.propose(leader)).collect();
    assert!(!group.is_done(tickets[0]), "nothing is synced yet");
    group.sync(leader);
    assert!(tickets.iter().all(|ticket| group.is_done(*ticket)));
    group.now += STEP * 100;
    let read = group.read(leader);
    assert!(group.is_done(read));
}
