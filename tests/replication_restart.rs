//! Time to elect a leader after all members restart one after another.

mod replication_support;

use std::time::Duration;

use replication_support::{Cluster, ROUND_DURATION};

/// The shortest election timeout of the default settings.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Intervals between the starts of two members.
const START_INTERVALS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(200),
];

/// A voter grants no vote within one election timeout after its start, because it may have extended a lease
/// before. The bound limits the delay on top of that timeout.
#[test]
fn one_leads_soon_after_a_majority_may_vote() {
    let mut cluster = Cluster::new(3);
    cluster.commit_commands(3);
    let mut longest = Duration::ZERO;
    for round in 0..40 {
        let interval = START_INTERVALS[round % START_INTERVALS.len()];
        cluster.messages.clear();
        for node in &mut cluster.nodes {
            node.up = false;
        }
        let mut second_start = cluster.now;
        for position in 0..3 {
            let position = (position + round) % 3;
            cluster.nodes[position].up = true;
            cluster.crash(position);
            if position == (round + 1) % 3 {
                second_start = cluster.now;
            }
            let steps = interval.as_millis() / ROUND_DURATION.as_millis();
            cluster.run(steps as usize);
        }
        cluster.elect();
        longest = longest.max(cluster.now - second_start);
        cluster.commit_commands(1);
    }
    let bound = ELECTION_TIMEOUT + ELECTION_TIMEOUT / 2 + ROUND_DURATION * 2;
    assert!(longest <= bound, "{longest:?}, more than {bound:?}");
}
