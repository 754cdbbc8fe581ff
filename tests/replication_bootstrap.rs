//! Bootstrap forms the first cluster, and never a second one.

use std::{sync::Arc, time::Duration};

use flamingocroft::{
    domain::MemberId,
    replication::{Bootstrap, BootstrapStep, Recovered, Replica, ReplicaSettings},
    wire::MemberReport,
};

const NAMES: [&str; 3] = ["ant", "bee", "cat"];

fn bootstrap(own: u64, name: &str, names: &[&str], recovered: &Recovered) -> Bootstrap {
    let names: Vec<Arc<str>> = names.iter().map(|name| Arc::from(*name)).collect();
    Bootstrap::new(MemberId(own), name.into(), names, recovered)
}

fn blank_bootstrap(own: u64, name: &str) -> Bootstrap {
    bootstrap(own, name, &NAMES, &Recovered::default())
}

fn formed_state(first: &Bootstrap) -> Recovered {
    match first.next_step() {
        BootstrapStep::FormCluster(recovered) => recovered,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_smallest_name_forms_a_cluster_once_all_report_blank_folders() {
    let mut first = blank_bootstrap(30, "ant");
    assert_eq!(
        first.next_step(),
        BootstrapStep::QueryMembers(vec!["bee".into(), "cat".into()])
    );
    first.receive_report(&blank_bootstrap(20, "bee").report());
    assert_eq!(
        first.next_step(),
        BootstrapStep::QueryMembers(vec!["cat".into()])
    );
    first.receive_report(&blank_bootstrap(10, "cat").report());
    let recovered = formed_state(&first);
    assert_eq!(recovered.snapshot.membership.voters, [10, 20, 30]);
    assert_eq!(recovered.snapshot.index, 1);
}

#[test]
fn the_others_wait_for_a_leader() {
    for name in ["bee", "cat"] {
        let mut other = blank_bootstrap(20, name);
        other.receive_report(&blank_bootstrap(30, "ant").report());
        assert_eq!(other.next_step(), BootstrapStep::StartReplica);
    }
}

#[test]
fn an_emptied_folder_finds_the_others_and_forms_nothing() {
    let mut first = blank_bootstrap(30, "ant");
    first.receive_report(&blank_bootstrap(20, "bee").report());
    first.receive_report(&blank_bootstrap(10, "cat").report());
    let formed = formed_state(&first);
    // Only one other member holds the cluster's state, and that member is not emptied.
    let mut emptied = blank_bootstrap(31, "ant");
    let running = bootstrap(20, "bee", &NAMES, &formed);
    emptied.receive_report(&blank_bootstrap(10, "cat").report());
    assert_eq!(
        emptied.next_step(),
        BootstrapStep::QueryMembers(vec!["bee".into()])
    );
    emptied.receive_report(&running.report());
    assert_eq!(emptied.next_step(), BootstrapStep::StartReplica);
}

#[test]
fn a_folder_that_voted_is_not_blank() {
    let mut voted = Recovered::default();
    voted.hard_state.term = 2;
    let settings = ReplicaSettings::default();
    let replica = Replica::new(MemberId(20), voted, settings, 1, Duration::ZERO);
    let mut first = blank_bootstrap(30, "ant");
    first.receive_report(&blank_bootstrap(20, "bee").report_for(&replica));
    first.receive_report(&blank_bootstrap(10, "cat").report());
    assert_eq!(first.next_step(), BootstrapStep::StartReplica);
}

#[test]
fn a_folder_with_a_log_runs_as_it_is() {
    let mut first = blank_bootstrap(30, "ant");
    first.receive_report(&blank_bootstrap(20, "bee").report());
    first.receive_report(&blank_bootstrap(10, "cat").report());
    let again = bootstrap(30, "ant", &NAMES, &formed_state(&first));
    assert_eq!(again.next_step(), BootstrapStep::StartReplica);
}

#[test]
fn reports_from_unknown_controllers_or_with_other_settings_do_not_count() {
    let mut first = blank_bootstrap(30, "ant");
    let ask_both = BootstrapStep::QueryMembers(vec!["bee".into(), "cat".into()]);
    first.receive_report(&bootstrap(40, "dog", &["dog"], &Recovered::default()).report());
    let wider = ["ant", "bee", "cat", "dog", "elk"];
    first.receive_report(&bootstrap(20, "bee", &wider, &Recovered::default()).report());
    assert_eq!(first.next_step(), ask_both);
    let doubled = MemberReport {
        controllers: vec!["ant".into(); 3],
        ..blank_bootstrap(20, "bee").report()
    };
    first.receive_report(&doubled);
    assert_eq!(first.next_step(), ask_both);
}

#[test]
fn a_single_controller_forms_a_cluster_at_once() {
    let alone = bootstrap(5, "ant", &["ant"], &Recovered::default());
    assert_eq!(formed_state(&alone).snapshot.membership.voters, [5]);
}

/// The member that formed the cluster and two blank ones become a cluster of three voters.
#[test]
fn blank_members_join_the_formed_cluster() {
    use flamingocroft::replication::{Batch, Effect, Input, Role};

    let mut first = blank_bootstrap(30, "ant");
    first.receive_report(&blank_bootstrap(20, "bee").report());
    first.receive_report(&blank_bootstrap(10, "cat").report());
    let mut disks = [
        Recovered::default(),
        Recovered::default(),
        formed_state(&first),
    ];
    let settings = ReplicaSettings::default();
    let ids = [10, 20, 30];
    let mut replicas: Vec<Replica> = ids
        .iter()
        .zip(&mut disks)
        .map(|(id, disk)| {
            let disk = std::mem::take(disk);
            Replica::new(MemberId(*id), disk, settings.clone(), *id, Duration::ZERO)
        })
        .collect();
    let mut messages = Vec::new();
    for step in 0..200 {
        let now = Duration::from_millis(10 * step);
        let mut inputs: Vec<(usize, Input)> = (0..3).map(|n| (n, Input::Tick)).collect();
        for message in std::mem::take(&mut messages) {
            let message: flamingocroft::wire::ReplicaMessage = message;
            let position = ids.iter().position(|id| *id == message.to).unwrap();
            inputs.push((position, Input::Receive(message)));
        }
        for (position, input) in inputs {
            let mut batch = Batch::default();
            batch.add(replicas[position].step(now, input));
            for input in batch.take_persisted_inputs() {
                batch.add(replicas[position].step(now, input));
            }
            messages.extend(batch.take_messages_before_sync());
            messages.extend(batch.take_messages_after_sync());
            let restored = |e: &Effect| matches!(e, Effect::Restore(s) if s.index != 1);
            assert!(!batch.take_other_effects().iter().any(restored));
        }
    }
    for replica in &replicas {
        assert_eq!(replica.membership().voters, ids);
        assert_ne!(replica.role(), Role::Learner);
        assert!(replica.commit() > 1);
    }
    assert!(replicas.iter().any(|r| r.role() == Role::Leader));
}
