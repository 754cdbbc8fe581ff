//! Orders to engines: which are given, when, and that a late one changes nothing in the end.

mod controllers;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use controllers::{Cluster, FakeCloud, engines_intent, listing};
use flamingocroft::{
    controller::orders::{Action, Desk, Engine, OrderTiming, Outcome},
    domain::{Fencing, FencingNumber, Incarnation},
    ports::{EngineLoad, EngineOrder, OrderKind, OrderOutcome, Target},
    settings::Timing,
};

const TIMING: OrderTiming = OrderTiming {
    longest_order: Duration::from_millis(150),
    leader_lease: Duration::from_millis(300),
    retry: Duration::from_millis(1000),
    read_back: Duration::from_millis(5000),
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

fn load(version: &str) -> OrderKind {
    OrderKind::Load {
        model: "gull".into(),
        version: version.into(),
    }
}

fn report(models: &[&str]) -> Outcome {
    Outcome::Read(EngineLoad {
        models: models.iter().map(|model| (*model).into()).collect(),
        ..EngineLoad::default()
    })
}

/// Returns the single action wanted at a time, if any.
fn at(desk: &Desk, now: u64, engine: &Engine) -> Option<Action> {
    let mut actions = desk.next(ms(now), std::slice::from_ref(engine));
    assert!(actions.len() <= 1);
    actions.pop().map(|(_, action)| action)
}

#[test]
fn a_new_leader_waits_for_late_orders_only_where_the_fence_is_ignored() {
    let desk = Desk::new(TIMING, ms(1000));
    assert_eq!(
        at(&desk, 1000, &engine(Fencing::Checked, "1")),
        Some(Action::Read)
    );
    let ignoring = engine(Fencing::Ignored, "1");
    assert_eq!(at(&desk, 1449, &ignoring), None);
    assert_eq!(at(&desk, 1450, &ignoring), Some(Action::Read));
}

#[test]
fn what_is_loaded_is_replaced_once_and_again_after_a_lost_answer() {
    let mut desk = Desk::new(TIMING, ms(0));
    let (one, two) = (engine(Fencing::Checked, "1"), engine(Fencing::Checked, "2"));
    desk.note(ms(1), &target(), report(&["old"]));
    let unload = OrderKind::Unload {
        model: "old".into(),
    };
    assert_eq!(
        at(&desk, 2, &one),
        Some(Action::Order(vec![unload.clone(), load("1")]))
    );
    desk.note(
        ms(3),
        &target(),
        Outcome::Answered(unload, OrderOutcome::Done),
    );
    desk.note(
        ms(3),
        &target(),
        Outcome::Answered(load("1"), OrderOutcome::Done),
    );
    assert_eq!(at(&desk, 4, &one), None);
    assert_eq!(at(&desk, 4, &two), Some(Action::Order(vec![load("2")])));
    desk.note(ms(5), &target(), Outcome::Unanswered);
    assert_eq!(at(&desk, 1004, &two), None);
    assert_eq!(at(&desk, 1005, &two), Some(Action::Read));
    desk.note(ms(1006), &target(), report(&["gull"]));
    assert_eq!(at(&desk, 1007, &two), Some(Action::Order(vec![load("2")])));
    desk.note(
        ms(1008),
        &target(),
        Outcome::Answered(load("2"), OrderOutcome::Fenced),
    );
    assert_eq!(at(&desk, 2008, &two), Some(Action::Read));
}

#[test]
fn what_a_late_order_loaded_or_unloaded_is_found_and_repaired() {
    let ignoring = engine(Fencing::Ignored, "1");
    for (found, repair) in [
        (report(&["gull"]), None),
        (report(&[]), Some(vec![load("1")])),
        (
            report(&["gull", "old"]),
            Some(vec![OrderKind::Unload {
                model: "old".into(),
            }]),
        ),
    ] {
        let mut desk = Desk::new(TIMING, ms(0));
        desk.note(ms(500), &target(), report(&[]));
        desk.note(
            ms(501),
            &target(),
            Outcome::Answered(load("1"), OrderOutcome::Done),
        );
        assert_eq!(at(&desk, 5499, &ignoring), None);
        assert_eq!(at(&desk, 5500, &ignoring), Some(Action::Read));
        desk.note(ms(5501), &target(), found);
        assert_eq!(at(&desk, 5502, &ignoring), repair.map(Action::Order));
    }
}

#[test]
fn a_leaving_engine_is_drained_once() {
    let mut desk = Desk::new(TIMING, ms(0));
    let leaving = Engine {
        wanted: None,
        ..engine(Fencing::Checked, "1")
    };
    desk.note(ms(1), &target(), report(&["gull"]));
    assert_eq!(
        at(&desk, 2, &leaving),
        Some(Action::Order(vec![OrderKind::Drain]))
    );
    desk.note(
        ms(3),
        &target(),
        Outcome::Answered(OrderKind::Drain, OrderOutcome::Done),
    );
    assert_eq!(at(&desk, 4, &leaving), None);
}

async fn until_loaded(cluster: &Cluster, version: &str) -> Vec<(Target, EngineOrder)> {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let orders = cluster.upstreams.orders();
        if orders
            .last()
            .is_some_and(|(_, order)| order.kind == load(version))
        {
            return orders;
        }
        assert!(Instant::now() < until, "last {:?}", orders.last());
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_version_is_loaded_under_growing_fences_and_a_late_order_is_refused() {
    let cloud = FakeCloud::with_instances(vec![listing("i-1", "manifest", "z0")]);
    let mut cluster = Cluster::start_with(3, Timing::default(), Some(cloud)).await;
    cluster.plan_and_confirm(&engines_intent("1", 4)).await;
    let first = until_loaded(&cluster, "1").await;
    let (leader, _) = cluster.leader().await;
    cluster.stop(leader).await;
    cluster.plan_and_confirm(&engines_intent("2", 4)).await;
    let orders = until_loaded(&cluster, "2").await;
    let fences: Vec<FencingNumber> = orders.iter().map(|(_, order)| order.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let (target, late) = first.last().unwrap();
    let answer = flamingocroft::ports::Upstreams::order(&*cluster.upstreams, target, late).await;
    assert_eq!(answer.unwrap(), OrderOutcome::Fenced);
    assert_eq!(cluster.upstreams.orders().last(), orders.last());
}
