//! Tests placement after a confirm: missing instances are started once and within the limits, and
//! surplus instances are drained before they are stopped.

mod controllers;

use std::time::{Duration, Instant};

use controllers::{Cluster, FakeCloud, engines_intent, listing};
use flamingocroft::{
    controller::placement::{CurrentInstances, may_stop, steps},
    domain::{Incarnation, Instance, InstanceState, Intent, MachineClass, Money, Purchase},
    operator::Plan,
    policy::place::{self, RefusedStart},
    settings::Timing,
    state::{StartOrder, StartRecord},
};

fn instance(name: &str, purchase: Purchase, state: InstanceState) -> Instance {
    Instance {
        name: name.into(),
        incarnation: Incarnation(1),
        service: "manifest".into(),
        zone: "z0".into(),
        class: MachineClass("gpu-1".into()),
        purchase,
        address: "127.0.0.1:9".parse().unwrap(),
        state,
    }
}

/// Returns the live instances that the plan of an intent wants.
fn wanted_instances(intent: &Intent) -> Vec<Instance> {
    let rows = place::plan(intent, &[]).wanted;
    let of = |row: &place::Placement| {
        let (count, purchase) = (row.count, row.purchase);
        (0..count)
            .map(move |i| instance(&format!("{purchase:?}-{i}"), purchase, InstanceState::Live))
    };
    rows.iter().flat_map(of).collect()
}

#[test]
fn missing_instances_are_ordered_only_once() {
    let intent = engines_intent("1", 8);
    let mut current = CurrentInstances::default();
    let first = steps(&intent, &current, &[]);
    assert_eq!(first.starts.len(), wanted_instances(&intent).len());
    assert!(!first.starts.is_empty());
    current.open_starts = first
        .starts
        .into_iter()
        .zip(1..)
        .map(|(order, index)| StartRecord {
            index,
            order: Some(order),
            ..StartRecord::default()
        })
        .collect();
    assert_eq!(steps(&intent, &current, &[]).starts, []);
}

#[test]
fn leaving_instances_count_towards_the_limits() {
    let mut intent = engines_intent("1", 8);
    let leaving = instance("i-1", Purchase::Reclaimable, InstanceState::Leaving);
    let current = CurrentInstances {
        instances: vec![leaving],
        ..CurrentInstances::default()
    };
    let count = wanted_instances(&intent).len();
    intent.limits.max_instances = count as u32;
    assert_eq!(steps(&intent, &current, &[]).starts.len(), count - 1);
    intent.limits.max_instances = 64;
    intent.limits.max_micros_per_hour = Money(1_500_000);
    assert_eq!(steps(&intent, &current, &[]).starts, []);
}

#[test]
fn a_refused_kind_is_not_ordered_again_immediately() {
    let intent = engines_intent("1", 8);
    let refused = [RefusedStart {
        zone: "z0".into(),
        class: MachineClass("gpu-1".into()),
        purchase: Purchase::Reclaimable,
    }];
    let ordered = steps(&intent, &CurrentInstances::default(), &refused).starts;
    let reclaimable = |order: &StartOrder| order.reclaimable;
    assert!(!ordered.iter().any(reclaimable), "{ordered:?}");
}

#[test]
fn only_instances_beyond_a_complete_placement_are_surplus() {
    let intent = engines_intent("1", 8);
    let mut current = CurrentInstances {
        instances: wanted_instances(&intent),
        ..CurrentInstances::default()
    };
    assert_eq!(steps(&intent, &current, &[]), no_steps());
    let more = instance("more", current.instances[0].purchase, InstanceState::Live);
    current.instances.push(more);
    let surplus = steps(&intent, &current, &[]).surplus;
    assert_eq!(surplus, [("more".into(), Incarnation(1))]);
    current.instances.last_mut().unwrap().service = "of somebody else".into();
    assert_eq!(steps(&intent, &current, &[]), no_steps());
}

fn no_steps() -> flamingocroft::controller::placement::Steps {
    flamingocroft::controller::placement::Steps::default()
}

#[test]
fn a_drained_instance_is_stopped_when_idle_or_after_the_longest_request() {
    let (lease, longest) = (Duration::from_secs(2), Duration::from_secs(120));
    let table = [
        (3, true, false),
        (4, true, true),
        (119, false, false),
        (120, false, true),
    ];
    for (seconds, idle, expected) in table {
        let leaving_for = Duration::from_secs(seconds);
        assert_eq!(
            may_stop(leaving_for, idle, lease, longest),
            expected,
            "{seconds} {idle}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirm_starts_missing_instances_once_even_if_the_leader_changes() {
    let timing = Timing {
        cloud_poll: Duration::from_millis(50),
        ..Timing::default()
    };
    let cloud = FakeCloud::with_instances(vec![listing("i-1", "manifest", "z0")]);
    let mut cluster = Cluster::start_with(3, timing, Some(cloud)).await;
    let intent = engines_intent("1", 8);
    cluster
        .wait_for_status(|status| status.instances.len() == 1)
        .await;
    assert_eq!(
        cluster.cloud.0.lock().unwrap().started.len(),
        0,
        "started before a confirm"
    );
    cluster.cloud.update(|cloud| cloud.refusals = 1);
    let (leader, _) = cluster.leader().await;
    let plan: Plan = cluster.plan(leader, &intent).await;
    let total: u32 = plan.placement.iter().map(|row| row.after).sum();
    assert_eq!(plan.placement.iter().map(|row| row.before).sum::<u32>(), 1);
    cluster.plan_and_confirm(&intent).await;
    cluster.stop(leader).await;
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let status = cluster.leader().await.1;
        let live = |i: &&Instance| i.state == InstanceState::Live;
        if status.instances.iter().filter(live).count() as u32 >= total {
            break;
        }
        assert!(Instant::now() < until, "{:?}", status.instances);
    }
    let again = cluster.plan(cluster.leader().await.0, &intent).await;
    let missing = again.placement.iter().filter(|row| row.before < row.after);
    assert_eq!(missing.count(), 0, "{:?}", again.placement);
    let inner = cluster.cloud.0.lock().unwrap();
    let mut operations: Vec<_> = inner.started.iter().map(|start| start.operation).collect();
    operations.sort();
    operations.dedup();
    assert_eq!(operations.len(), inner.started.len());
}
