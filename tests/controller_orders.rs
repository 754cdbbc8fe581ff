//! Tests orders to engines: which are sent, when, and that the effect of a late order is repaired.

mod controllers;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use controllers::{Cluster, FakeCloud, engines_intent, listing};
use flamingocroft::{
    controller::orders::{ActionOutcome, Engine, EngineAction, OrderPlanner, OrderTiming},
    domain::{Fencing, FencingToken, Incarnation},
    ports::{EngineLoad, EngineOrder, OrderKind, OrderOutcome, ReclaimNotice, Target},
    settings::Timing,
};

const TIMING: OrderTiming = OrderTiming {
    order_timeout: Duration::from_millis(150),
    leader_lease: Duration::from_millis(300),
    retry_delay: Duration::from_millis(1000),
    read_interval: Duration::from_millis(5000),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target() -> Target {
    Target {
        instance: "i-1".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().unwrap(),
    }
}

fn engine(fencing: Fencing, version: &str) -> Engine {
    Engine {
        target: target(),
        fencing,
        wanted: Some(BTreeMap::from([("gull".to_owned(), version.to_owned())])),
    }
}

fn load_order(version: &str) -> OrderKind {
    OrderKind::Load {
        model: "gull".into(),
        version: version.into(),
    }
}

fn state_report(models: &[&str]) -> ActionOutcome {
    ActionOutcome::Read(EngineLoad {
        models: models.iter().map(|model| (*model).into()).collect(),
        ..EngineLoad::default()
    })
}

/// Returns the action that is due at `now` (ms), if any; asserts that there is at most one.
fn action_at(planner: &OrderPlanner, now: u64, engine: &Engine) -> Option<EngineAction> {
    let mut actions = planner.next_actions(ms(now), std::slice::from_ref(engine));
    assert!(actions.len() <= 1);
    actions.pop().map(|(_, action)| action)
}

#[test]
fn a_new_leader_waits_for_late_orders_only_if_the_engine_ignores_fencing() {
    let planner = OrderPlanner::new(TIMING, ms(1000));
    assert_eq!(
        action_at(&planner, 1000, &engine(Fencing::Checked, "1")),
        Some(EngineAction::Read)
    );
    let ignoring = engine(Fencing::Ignored, "1");
    assert_eq!(action_at(&planner, 1449, &ignoring), None);
    assert_eq!(
        action_at(&planner, 1450, &ignoring),
        Some(EngineAction::Read)
    );
}

#[test]
fn a_model_is_replaced_once_and_again_after_a_lost_answer() {
    let mut planner = OrderPlanner::new(TIMING, ms(0));
    let (one, two) = (engine(Fencing::Checked, "1"), engine(Fencing::Checked, "2"));
    planner.record_outcome(ms(1), &target(), state_report(&["old"]));
    let unload = OrderKind::Unload {
        model: "old".into(),
    };
    assert_eq!(
        action_at(&planner, 2, &one),
        Some(EngineAction::Order(vec![unload.clone(), load_order("1")]))
    );
    planner.record_outcome(
        ms(3),
        &target(),
        ActionOutcome::Answered(unload, OrderOutcome::Done),
    );
    planner.record_outcome(
        ms(3),
        &target(),
        ActionOutcome::Answered(load_order("1"), OrderOutcome::Done),
    );
    assert_eq!(action_at(&planner, 4, &one), None);
    assert_eq!(
        action_at(&planner, 4, &two),
        Some(EngineAction::Order(vec![load_order("2")]))
    );
    planner.record_outcome(ms(5), &target(), ActionOutcome::Unanswered);
    assert_eq!(action_at(&planner, 1004, &two), None);
    assert_eq!(action_at(&planner, 1005, &two), Some(EngineAction::Read));
    planner.record_outcome(ms(1006), &target(), state_report(&["gull"]));
    assert_eq!(
        action_at(&planner, 1007, &two),
        Some(EngineAction::Order(vec![load_order("2")]))
    );
    planner.record_outcome(
        ms(1008),
        &target(),
        ActionOutcome::Answered(load_order("2"), OrderOutcome::Fenced),
    );
    assert_eq!(action_at(&planner, 2008, &two), Some(EngineAction::Read));
}

#[test]
fn changes_by_a_late_order_are_detected_and_repaired() {
    let ignoring = engine(Fencing::Ignored, "1");
    for (found, repair) in [
        (state_report(&["gull"]), None),
        (state_report(&[]), Some(vec![load_order("1")])),
        (
            state_report(&["gull", "old"]),
            Some(vec![OrderKind::Unload {
                model: "old".into(),
            }]),
        ),
    ] {
        let mut planner = OrderPlanner::new(TIMING, ms(0));
        planner.record_outcome(ms(500), &target(), state_report(&[]));
        planner.record_outcome(
            ms(501),
            &target(),
            ActionOutcome::Answered(load_order("1"), OrderOutcome::Done),
        );
        assert_eq!(action_at(&planner, 5499, &ignoring), None);
        assert_eq!(
            action_at(&planner, 5500, &ignoring),
            Some(EngineAction::Read)
        );
        planner.record_outcome(ms(5501), &target(), found);
        assert_eq!(
            action_at(&planner, 5502, &ignoring),
            repair.map(EngineAction::Order)
        );
    }
}

#[test]
fn a_leaving_engine_is_drained_once() {
    let mut planner = OrderPlanner::new(TIMING, ms(0));
    let leaving = Engine {
        wanted: None,
        ..engine(Fencing::Checked, "1")
    };
    planner.record_outcome(ms(1), &target(), state_report(&["gull"]));
    assert_eq!(
        action_at(&planner, 2, &leaving),
        Some(EngineAction::Order(vec![OrderKind::Drain]))
    );
    planner.record_outcome(
        ms(3),
        &target(),
        ActionOutcome::Answered(OrderKind::Drain, OrderOutcome::Done),
    );
    assert_eq!(action_at(&planner, 4, &leaving), None);
}

async fn wait_until_loaded(cluster: &Cluster, version: &str) -> Vec<(Target, EngineOrder)> {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let orders = cluster.upstreams.orders();
        if orders
            .last()
            .is_some_and(|(_, order)| order.kind == load_order(version))
        {
            return orders;
        }
        assert!(Instant::now() < until, "last {:?}", orders.last());
        tokio::time::sleep(controllers::POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_version_is_loaded_with_increasing_fencing_tokens_and_a_late_order_is_refused() {
    let cloud = FakeCloud::with_instances(vec![listing("i-1", "manifest", "z0")]);
    let mut cluster = Cluster::start_with(3, Timing::default(), Some(cloud)).await;
    cluster.plan_and_confirm(&engines_intent("1", 4)).await;
    let first = wait_until_loaded(&cluster, "1").await;
    let (leader, _) = cluster.leader().await;
    cluster.stop(leader).await;
    cluster.plan_and_confirm(&engines_intent("2", 4)).await;
    let orders = wait_until_loaded(&cluster, "2").await;
    let fences: Vec<FencingToken> = orders.iter().map(|(_, order)| order.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let (target, late) = first.last().unwrap();
    let answer = flamingocroft::ports::Upstreams::order(&*cluster.upstreams, target, late).await;
    assert_eq!(answer.unwrap(), OrderOutcome::Fenced);
    assert_eq!(cluster.upstreams.orders().last(), orders.last());
}

/// Guards against a round that goes on with its old fencing token after another controller may lead.
#[tokio::test(flavor = "multi_thread")]
async fn no_order_follows_an_answer_that_took_longer_than_the_lease() {
    const INSTANCES: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
    let listings = INSTANCES.map(|name| listing(name, "manifest", "z0"));
    let cloud = FakeCloud::with_instances(listings.to_vec());
    let timing = Timing {
        cloud_poll: ms(50),
        view_lease: ms(200),
        ..Timing::default()
    };
    let mut cluster = Cluster::start_with(3, timing.clone(), Some(cloud)).await;
    cluster.plan_and_confirm(&engines_intent("1", 4)).await;
    let (leader, _) = cluster.leader().await;
    let notice = |name: &str| ReclaimNotice {
        instance: name.into(),
        incarnation: Incarnation(1),
        remaining: Duration::from_secs(600),
    };
    cluster.cloud.update(|cloud| {
        cloud.answer_delay = ms(1000);
        cloud.notices = INSTANCES.map(notice).to_vec();
    });
    let until = Instant::now() + Duration::from_secs(20);
    while cluster.cloud.stopped() == 0 {
        assert!(Instant::now() < until, "no instance is stopped");
        tokio::time::sleep(ms(5)).await;
    }
    for other in (0..3).filter(|other| *other != leader) {
        cluster.stop(other).await;
    }
    // The last answer of a follower renews the lease for the election timeout.
    tokio::time::sleep(timing.election_timeout + ms(100)).await;
    let before = cluster.cloud.stopped();
    tokio::time::sleep(ms(2500)).await;
    assert_eq!(cluster.cloud.stopped(), before, "orders without a lease");
}
