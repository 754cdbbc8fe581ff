//! Replicas on real data folders: restarts, an emptied folder and failing disks.

mod replication_support;

use flamingocroft::{
    domain::MemberId,
    replication::{MemberChange, ReplicaSettings, Role},
};
use replication_support::Group;

fn group() -> Group {
    Group::on_folders(3, ReplicaSettings::default())
}

#[test]
fn everything_acknowledged_survives_a_restart_of_all() {
    let mut group = group();
    group.commit(30);
    for place in 0..3 {
        let recovered = group.crash(place);
        assert!(recovered.entries.len() > 30);
    }
    group.messages.clear();
    group.settle();
    assert_eq!(group.checks.acknowledged.len(), 31);
}

#[test]
fn a_compacted_log_is_restored_from_its_snapshot() {
    let mut group = group();
    group.commit(30);
    (0..3).for_each(|place| group.compact(place));
    group.commit(5);
    for place in 0..3 {
        let recovered = group.crash(place);
        assert!(recovered.snapshot.index > 30 && recovered.entries.len() >= 5);
    }
    group.messages.clear();
    group.settle();
    assert!(group.nodes.iter().all(|node| node.state.len() == 36));
}

#[test]
fn an_emptied_folder_is_a_stranger_until_it_is_added() {
    let mut group = group();
    group.commit(30);
    let lost = (group.elect() + 1) % 3;
    let old = group.nodes[lost].id;
    let new = group.wipe(lost);
    assert_ne!(old, new);
    group.commit(1);
    let stranger = &group.nodes[lost].replica;
    assert!(stranger.is_blank());
    assert_eq!(stranger.role(), Role::Learner);
    group.change_and_wait(MemberChange::Remove(MemberId(old)));
    group.change_and_wait(MemberChange::AddLearner(MemberId(new)));
    group.change_and_wait(MemberChange::Promote(MemberId(new)));
    // The second disk is lost right after the repair.
    group.nodes[(lost + 1) % 3].up = false;
    group.commit(1);
    assert_eq!(group.nodes[lost].state.len(), 32);
    group.settle();
}

#[test]
fn a_leader_with_a_failing_disk_acknowledges_nothing_more() {
    let mut group = group();
    group.commit(10);
    let leader = group.elect();
    group.nodes[leader].break_disk();
    let ticket = group.propose(leader);
    group.sync(leader);
    assert!(!group.nodes[leader].up, "its driver has stopped");
    group.commit(5);
    assert!(!group.is_done(ticket));
    group.crash(leader);
    group.settle();
}

#[test]
fn followers_with_failing_disks_do_not_count() {
    let mut group = group();
    group.commit(10);
    let leader = group.elect();
    for step in [1, 2] {
        group.nodes[(leader + step) % 3].break_disk();
    }
    let ticket = group.propose(leader);
    group.run(5);
    assert!(!group.is_done(ticket));
}
