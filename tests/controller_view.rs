//! Tests the first views of a new leader with a simulated clock.

use std::time::Duration;

use flamingocroft::{
    controller::{fleet::Fleet, view::difference},
    state::State,
    wire::{GatewayHeartbeat, GatewayRecord, ViewRequest},
};

const NOW: Duration = Duration::from_millis(10);

fn heartbeat(name: &str) -> GatewayHeartbeat {
    GatewayHeartbeat {
        gateway: Some(GatewayRecord {
            name: name.into(),
            incarnation: 1,
            zone: "z0".into(),
            caller_address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
        }),
        ..GatewayHeartbeat::default()
    }
}

#[test]
fn the_first_gateways_get_lists_of_each_other_at_once() {
    let state = State::default();
    let mut fleet = Fleet::new(Duration::from_secs(2));
    fleet.start_term(1, Duration::ZERO);
    let mut held = ViewRequest::default();
    let mut listed = 0;
    // A gateway requests the view before and after each registration, always with the version that it holds.
    for name in ["", "g0", "g1", "g2"] {
        if !name.is_empty() {
            fleet.handle_heartbeat(NOW, &heartbeat(name), 0).unwrap();
        }
        if let Some(reply) = difference(&state, &fleet, NOW, &held) {
            held.held_term = reply.term;
            held.held_sequence = reply.sequence;
            if reply.gateways_changed {
                listed = reply.gateways.len();
            }
        }
        assert_eq!(listed, fleet.gateways().count(), "after {name:?}");
    }
}
