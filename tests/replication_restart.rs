//! All members start anew, one after the other: how long it takes until one leads.

mod replication_support;

use std::time::Duration;

use replication_support::{Group, STEP};

/// The shortest election timeout of the default settings.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the starts of two members.
const APART: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(200),
];

/// A voter may vote one timeout after its start, since it may have promised a lease before. What comes on
/// top of that is the members' own delay.
#[test]
fn one_leads_soon_after_a_majority_may_vote() {
    let mut group = Group::new(3);
    group.commit(3);
    let mut worst = Duration::ZERO;
    for round in 0..40 {
        let apart = APART[round % APART.len()];
        group.messages.clear();
        for node in &mut group.nodes {
            node.up = false;
        }
        let mut second_start = group.now;
        for place in 0..3 {
            let place = (place + round) % 3;
            group.nodes[place].up = true;
            group.crash(place);
            if place == (round + 1) % 3 {
                second_start = group.now;
            }
            let steps = apart.as_millis() / STEP.as_millis();
            group.run(steps as usize);
        }
        group.elect();
        worst = worst.max(group.now - second_start);
        group.commit(1);
    }
    let bound = TIMEOUT + TIMEOUT / 2 + STEP * 2;
    assert!(worst <= bound, "{worst:?}, more than {bound:?}");
}
