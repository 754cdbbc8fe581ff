//! Tests the registry of gateways and the incremental views with a simulated clock.

use std::time::Duration;

use flamingocroft::{
    controller::{
        fleet::{Fleet, HeartbeatError, LostGateway},
        view::difference,
    },
    state::State,
    wire::{GatewayHeartbeat, GatewayRecord, ShareRecord, ViewRequest},
};

const LEASE_MS: u64 = 2000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn heartbeat(name: &str, incarnation: u64, view_index: u64) -> GatewayHeartbeat {
    GatewayHeartbeat {
        gateway: Some(GatewayRecord {
            name: name.into(),
            incarnation,
            zone: "z0".into(),
            caller_address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
        }),
        view_index,
        ..GatewayHeartbeat::default()
    }
}

fn fleet_in_term(term: u64, since: u64) -> Fleet {
    let mut fleet = Fleet::new(ms(LEASE_MS));
    fleet.start_term(term, ms(since));
    fleet
}

#[test]
fn a_revision_is_in_force_everywhere_when_no_lease_allows_an_older_one() {
    let mut fleet = fleet_in_term(1, 0);
    fleet
        .handle_heartbeat(ms(3000), &heartbeat("g0", 1, 5), 5)
        .unwrap();
    fleet
        .handle_heartbeat(ms(3000), &heartbeat("g1", 1, 5), 5)
        .unwrap();
    let everywhere = |fleet: &Fleet, now| fleet.progress(ms(now), 9, Some(1)).everywhere;
    assert!(!everywhere(&fleet, 3001));
    fleet
        .handle_heartbeat(ms(3400), &heartbeat("g0", 1, 9), 9)
        .unwrap();
    fleet
        .handle_heartbeat(ms(3400), &heartbeat("g1", 1, 5), 9)
        .unwrap();
    assert_eq!(fleet.progress(ms(3400), 9, Some(1)).in_force, 1);
    // The lease granted at 3000 ms permits g1 to work on the old view; the one granted at 3400 ms does not.
    assert!(!everywhere(&fleet, 4999));
    assert!(everywhere(&fleet, 5000));
}

#[test]
fn a_new_leader_reports_nothing_as_in_force_before_earlier_leases_have_expired() {
    let fleet = fleet_in_term(2, 1000);
    assert!(!fleet.progress(ms(2999), 1, Some(2)).everywhere);
    assert!(fleet.progress(ms(3000), 1, Some(2)).everywhere);
}

#[test]
fn a_replaced_incarnation_counts_until_its_lease_has_expired() {
    let mut fleet = fleet_in_term(1, 0);
    fleet
        .handle_heartbeat(ms(3000), &heartbeat("g0", 1, 5), 5)
        .unwrap();
    // The old process may only be suspended; it could resume under its lease.
    fleet
        .handle_heartbeat(ms(3500), &heartbeat("g0", 2, 9), 9)
        .unwrap();
    assert!(!fleet.progress(ms(4999), 9, Some(1)).everywhere);
    assert!(fleet.progress(ms(5000), 9, Some(1)).everywhere);
}

#[test]
fn a_registry_of_another_term_reports_nothing_as_in_force() {
    // The registry has not started term 4 yet, or this controller no longer leads.
    for led_term in [Some(4), None] {
        assert!(
            !fleet_in_term(2, 1000)
                .progress(ms(9000), 1, led_term)
                .everywhere
        );
        let without_term = Fleet::new(ms(LEASE_MS));
        assert!(!without_term.progress(ms(9000), 1, led_term).everywhere);
    }
}

#[test]
fn gateways_are_lost_after_their_lease_and_replaced_only_by_newer_incarnations() {
    let mut fleet = fleet_in_term(1, 0);
    fleet
        .handle_heartbeat(ms(100), &heartbeat("g0", 2, 0), 0)
        .unwrap();
    fleet
        .handle_heartbeat(ms(100), &heartbeat("g1", 1, 0), 0)
        .unwrap();
    assert_eq!(
        fleet.handle_heartbeat(ms(200), &heartbeat("g0", 1, 0), 0),
        Err(HeartbeatError::OldIncarnation)
    );
    fleet
        .handle_heartbeat(ms(300), &heartbeat("g0", 3, 0), 0)
        .unwrap();
    let lost = |name: &str, incarnation| LostGateway {
        name: name.into(),
        incarnation,
    };
    assert_eq!(fleet.remove_lost(ms(2100)), [lost("g0", 2)]);
    assert_eq!(fleet.remove_lost(ms(2101)), [lost("g1", 1)]);
    assert!(fleet.is_registered("g0", 3) && !fleet.is_registered("g1", 1));
    assert_eq!(fleet.remove_lost(ms(2300)), []);
}

#[test]
fn a_heartbeat_without_usable_addresses_is_refused() {
    let mut fleet = fleet_in_term(1, 0);
    let mut broken = heartbeat("g0", 1, 0);
    broken.gateway.as_mut().unwrap().caller_address = "nowhere".into();
    assert_eq!(
        fleet.handle_heartbeat(ms(0), &broken, 0),
        Err(HeartbeatError::Malformed)
    );
    assert_eq!(
        fleet.handle_heartbeat(ms(0), &GatewayHeartbeat::default(), 0),
        Err(HeartbeatError::Malformed)
    );
    assert_eq!(fleet.gateways().count(), 0);
}

#[test]
fn changed_shares_are_sent_repeatedly_and_unchanged_ones_rarely() {
    let mut fleet = fleet_in_term(1, 0);
    let replies = |fleet: &mut Fleet, count: u64| -> usize {
        let sent = (0..count).map(|_| {
            fleet
                .handle_heartbeat(ms(10), &heartbeat("g0", 1, 0), 0)
                .unwrap()
        });
        sent.filter(|reply| reply.shares_changed).count()
    };
    replies(&mut fleet, 10);
    let share = ShareRecord {
        service: "manifest".into(),
        account: "office".into(),
        slots: 3,
    };
    fleet.set_shares("g0", vec![share.clone()]);
    let first = fleet
        .handle_heartbeat(ms(20), &heartbeat("g0", 1, 0), 0)
        .unwrap();
    assert_eq!(first.shares, std::slice::from_ref(&share));
    assert_eq!(replies(&mut fleet, 15), 2);
    fleet.set_shares("g0", vec![share]);
    assert_eq!(replies(&mut fleet, 16), 1);
}

#[test]
fn a_list_of_an_earlier_leader_is_kept_until_the_new_one_is_complete() {
    let state = State::default();
    let held = |held_term, held_sequence| ViewRequest {
        gateway: "g0".into(),
        held_term,
        held_sequence,
        ..ViewRequest::default()
    };
    let mut fleet = fleet_in_term(2, 1000);
    fleet
        .handle_heartbeat(ms(1100), &heartbeat("g0", 1, 0), 0)
        .unwrap();
    let list = |fleet: &Fleet, now, held| {
        difference(&state, fleet, ms(now), &held).map(|reply| reply.gateways.len())
    };
    // A gateway without a list gets the incomplete one; a gateway with a list keeps it.
    assert_eq!(list(&fleet, 1200, held(0, 0)), Some(1));
    assert_eq!(list(&fleet, 1200, held(1, 7)), None);
    assert_eq!(list(&fleet, 2999, held(1, 7)), None);
    fleet
        .handle_heartbeat(ms(1300), &heartbeat("g1", 1, 0), 0)
        .unwrap();
    assert_eq!(list(&fleet, 1300, held(2, 1)), Some(2));
    assert_eq!(list(&fleet, 3000, held(1, 7)), Some(2));
    assert_eq!(list(&fleet, 3000, held(2, 2)), None);
}
