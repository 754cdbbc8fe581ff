//! Which bodies give their memory up, and which connections are closed, when a process has little room.

use std::time::Duration;

use flamingocroft::policy::{
    connections::{
        Awaits, WaitingConnection, choose_closed, max_connections, max_endpoint_connections,
    },
    memory_budget::{
        Growth, HeldBody, MemoryBudget, Room, SMALL_BODY_BYTES, STALLED_TIME, make_room,
    },
};

const KIB: u64 = 1024;
const BUDGET: MemoryBudget = MemoryBudget {
    total: 1000 * KIB,
    small_reserve: 200 * KIB,
};

fn body(id: u64, account: &str, kib: u64) -> HeldBody<'_> {
    HeldBody {
        id,
        account,
        bytes: kib * KIB,
        silence: Duration::ZERO,
        is_whole: false,
        is_leaving: false,
    }
}

fn stalled(id: u64, account: &str, kib: u64) -> HeldBody<'_> {
    HeldBody {
        silence: STALLED_TIME,
        ..body(id, account, kib)
    }
}

fn new_body(account: &str, kib: u64) -> Growth<'_> {
    Growth {
        id: None,
        account,
        size: kib * KIB,
        added: kib * KIB,
    }
}

fn room(growth: &Growth<'_>, held: &[HeldBody<'_>]) -> Room {
    make_room(&BUDGET, growth, held)
}

#[test]
fn a_body_of_the_largest_size_fits_beside_the_reserve_of_any_machine() {
    for memory_mb in [None, Some(16), Some(64), Some(120), Some(400)] {
        let budget = MemoryBudget::of_machine(memory_mb);
        assert!(
            budget.has_room(4 * KIB * KIB, 4 * KIB * KIB),
            "{memory_mb:?}"
        );
    }
}

#[test]
fn small_bodies_use_a_reserve_that_large_ones_leave() {
    let held = [body(1, "depot", 780)];
    let free = Room::From(Vec::new());
    assert_eq!(room(&new_body("yard", 20), &held), free);
    assert!(BUDGET.has_room(SMALL_BODY_BYTES, BUDGET.total));
    assert!(!BUDGET.has_room(SMALL_BODY_BYTES + 1, BUDGET.total));
}

#[test]
fn stalled_bodies_go_first_and_of_these_the_largest() {
    let held = [
        body(1, "depot", 300),
        stalled(2, "depot", 100),
        stalled(3, "depot", 200),
        body(4, "depot", 200),
    ];
    assert_eq!(room(&new_body("depot", 100), &held), Room::From(vec![3]));
    let needs_two = new_body("depot", 250);
    assert_eq!(room(&needs_two, &held), Room::From(vec![3, 2]));
}

#[test]
fn a_body_takes_nothing_from_a_smaller_one_of_its_account_that_still_arrives() {
    let held = [body(1, "depot", 400), body(2, "depot", 400)];
    assert_eq!(room(&new_body("depot", 500), &held), Room::Full);
    assert_eq!(room(&new_body("depot", 300), &held), Room::From(vec![1]));
}

#[test]
fn the_account_that_holds_most_gives_up_first() {
    let mut held: Vec<_> = (0..6).map(|id| body(id, "crowd", 100)).collect();
    held.push(body(9, "yard", 200));
    assert_eq!(room(&new_body("depot", 100), &held), Room::From(vec![0]));
    // The crowd holds more than the yard, so it takes nothing from it.
    assert_eq!(room(&new_body("crowd", 300), &held), Room::Full);
}

#[test]
fn a_whole_body_keeps_its_memory_and_one_that_leaves_is_not_counted_twice() {
    let whole = HeldBody {
        is_whole: true,
        ..stalled(1, "depot", 800)
    };
    assert_eq!(room(&new_body("yard", 100), &[whole]), Room::Full);
    let leaving = HeldBody {
        is_leaving: true,
        ..stalled(1, "depot", 800)
    };
    let free = Room::From(Vec::new());
    assert_eq!(room(&new_body("yard", 100), &[leaving]), free);
}

#[test]
fn a_growing_body_never_gives_way_to_itself() {
    let held = [stalled(1, "depot", 700)];
    let growth = Growth {
        id: Some(1),
        account: "depot",
        size: 900 * KIB,
        added: 200 * KIB,
    };
    assert_eq!(room(&growth, &held), Room::Full);
}

fn waiting(id: u64, awaits: Awaits, ms: u64) -> WaitingConnection {
    WaitingConnection {
        id,
        awaits,
        waited: Duration::from_millis(ms),
    }
}

#[test]
fn the_longest_idle_connection_is_closed_then_the_slowest_head_then_a_stalled_body() {
    let body = waiting(1, Awaits::Body, 9_000);
    let heads = [
        waiting(2, Awaits::Head, 2_000),
        waiting(5, Awaits::Head, 1_900),
    ];
    let idle = [
        waiting(3, Awaits::Request, 1_000),
        waiting(4, Awaits::Request, 1_010),
    ];
    let [slowest, other] = heads;
    let all = [body, slowest, other, idle[0], idle[1]];
    assert_eq!(choose_closed(all), Some(4));
    assert_eq!(choose_closed([body, slowest, other, idle[0]]), Some(3));
    assert_eq!(choose_closed([body, slowest, other]), Some(2));
    assert_eq!(choose_closed([body, other]), Some(5));
    assert_eq!(choose_closed([body]), Some(1));
    assert_eq!(choose_closed([waiting(1, Awaits::Body, 900)]), None);
}

/// Otherwise a crowd of slow heads that fills all places would have each ordinary connection closed for the next one.
#[test]
fn a_connection_that_was_just_accepted_is_closed_after_slow_heads_and_stalled_bodies() {
    let idle = [
        waiting(1, Awaits::Request, 10),
        waiting(2, Awaits::Request, 20),
    ];
    let head = waiting(3, Awaits::Head, 15);
    let body = waiting(4, Awaits::Body, 1_000);
    assert_eq!(choose_closed([idle[0], idle[1], head, body]), Some(3));
    assert_eq!(choose_closed([idle[0], idle[1], body]), Some(4));
    assert_eq!(choose_closed(idle), Some(2));
}

#[test]
fn a_connection_that_was_just_answered_and_closes_goes_last_but_does_not_stay() {
    let answered = waiting(1, Awaits::Close, 900);
    let accepted = waiting(2, Awaits::Request, 10);
    assert_eq!(choose_closed([answered, accepted]), Some(2));
    assert_eq!(choose_closed([answered]), Some(1));
    let lingers = waiting(1, Awaits::Close, 1_000);
    let head = waiting(3, Awaits::Head, 2_000);
    assert_eq!(choose_closed([lingers, head, accepted]), Some(1));
}

#[test]
fn the_bound_of_connections_follows_what_the_machine_states() {
    assert_eq!(max_connections(None, None), usize::MAX);
    assert!(max_connections(Some(3_075), None) < 3_075);
    assert!(max_connections(Some(3_075), Some(64)) <= max_connections(Some(3_075), Some(120)));
}

#[test]
fn the_endpoints_leave_most_descriptors_beside_those_for_callers_of_routes() {
    for descriptors in [256, 3_075, 10_250] {
        let callers = max_connections(Some(descriptors), None);
        let endpoints = 2 * max_endpoint_connections(Some(descriptors), None);
        assert!(endpoints >= 2);
        let left = descriptors as usize - callers - endpoints;
        assert!(left >= descriptors as usize / 8, "{descriptors}: {left}");
    }
    assert_eq!(max_endpoint_connections(Some(4), Some(16)), 1);
}
