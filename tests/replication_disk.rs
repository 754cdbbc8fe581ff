//! Replicas on real data folders: restarts, an emptied folder and failing syncs.

mod replication_support;

use flamingocroft::{
    domain::MemberId,
    replication::{MemberChange, ReplicaSettings, Role},
};
use replication_support::Cluster;

fn cluster() -> Cluster {
    Cluster::with_data_folders(3, ReplicaSettings::default())
}

#[test]
fn everything_acknowledged_survives_a_restart_of_all() {
    let mut cluster = cluster();
    cluster.commit_commands(30);
    for position in 0..3 {
        let recovered = cluster.crash(position);
        assert!(recovered.entries.len() > 30);
    }
    cluster.messages.clear();
    cluster.heal_and_converge();
    assert_eq!(cluster.invariants.acknowledged.len(), 31);
}

#[test]
fn a_compacted_log_is_restored_from_its_snapshot() {
    let mut cluster = cluster();
    cluster.commit_commands(30);
    (0..3).for_each(|position| cluster.compact(position));
    cluster.commit_commands(5);
    for position in 0..3 {
        let recovered = cluster.crash(position);
        assert!(recovered.snapshot.index > 30 && recovered.entries.len() >= 5);
    }
    cluster.messages.clear();
    cluster.heal_and_converge();
    assert!(cluster.nodes.iter().all(|node| node.state.len() == 36));
}

#[test]
fn an_emptied_folder_is_an_unknown_member_until_it_is_added() {
    let mut cluster = cluster();
    cluster.commit_commands(30);
    let lost = (cluster.elect() + 1) % 3;
    let old = cluster.nodes[lost].id;
    let new = cluster.wipe(lost);
    assert_ne!(old, new);
    cluster.commit_commands(1);
    let unknown = &cluster.nodes[lost].replica;
    assert!(unknown.is_blank());
    assert_eq!(unknown.role(), Role::Learner);
    cluster.change_members_and_wait(MemberChange::Remove(MemberId(old)));
    cluster.change_members_and_wait(MemberChange::AddLearner(MemberId(new)));
    cluster.change_members_and_wait(MemberChange::Promote(MemberId(new)));
    // A second member fails right after the repair.
    cluster.nodes[(lost + 1) % 3].up = false;
    cluster.commit_commands(1);
    assert_eq!(cluster.nodes[lost].state.len(), 32);
    cluster.heal_and_converge();
}

#[test]
fn a_leader_with_a_failing_disk_acknowledges_nothing_more() {
    let mut cluster = cluster();
    cluster.commit_commands(10);
    let leader = cluster.elect();
    cluster.nodes[leader].fail_syncs();
    let ticket = cluster.propose(leader);
    cluster.sync(leader);
    assert!(!cluster.nodes[leader].up, "its driver did not stop");
    cluster.commit_commands(5);
    assert!(!cluster.is_completed(ticket));
    cluster.crash(leader);
    cluster.heal_and_converge();
}

#[test]
fn followers_with_failing_disks_do_not_count() {
    let mut cluster = cluster();
    cluster.commit_commands(10);
    let leader = cluster.elect();
    for step in [1, 2] {
        cluster.nodes[(leader + step) % 3].fail_syncs();
    }
    let ticket = cluster.propose(leader);
    cluster.run(5);
    assert!(!cluster.is_completed(ticket));
}
