//! Availability of upstreams that leave or request a pause, for notices and lists in any order.

use std::time::Duration;

use flamingocroft::policy::availability::{Availability, MAX_LIST_LAG};
use proptest::prelude::*;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

#[test]
fn a_leaving_notice_holds_until_the_list_shows_a_restart() {
    let mut upstream = Availability::default();
    assert!(upstream.mark_leaving(seconds(1.0)));
    assert!(!upstream.mark_leaving(seconds(1.1)), "already recorded");
    for s in 2..60 {
        upstream.apply_list(false, false, seconds(f64::from(s)));
        assert!(upstream.is_leaving(), "the list does not show the notice");
    }
    upstream.apply_list(true, false, seconds(60.0));
    assert!(
        upstream.apply_list(false, false, seconds(70.0)),
        "restarted"
    );
    assert!(!upstream.is_leaving());
}

/// A new leader's list may be older than its predecessor's.
#[test]
fn a_stale_list_does_not_revoke_a_leaving_notice() {
    let mut upstream = Availability::default();
    upstream.apply_list(true, false, seconds(0.9));
    upstream.mark_leaving(seconds(1.0));
    upstream.apply_list(false, false, seconds(1.5));
    assert!(upstream.is_leaving());
}

#[test]
fn the_latest_end_of_overlapping_pauses_applies() {
    let mut upstream = Availability::default();
    upstream.request_pause(seconds(4.0), seconds(1.0));
    upstream.request_pause(seconds(1.0), seconds(2.0));
    assert_eq!(upstream.remaining_pause(seconds(4.0)), Some(seconds(1.0)));
    assert_eq!(upstream.remaining_pause(seconds(5.0)), None);
    upstream.request_pause(Duration::MAX, seconds(6.0));
    assert!(upstream.remaining_pause(seconds(1e9)).is_some());
}

#[derive(Clone, Debug)]
enum Step {
    List(bool, bool),
    Says,
    Pause(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<bool>(), any::<bool>()).prop_map(|(leaving, known)| Step::List(leaving, known)),
        Just(Step::Says),
        (0.0..10.0).prop_map(Step::Pause),
    ]
}

proptest! {
    /// In any order of events, an upstream that sent a leaving notice is unavailable until the list
    /// has shown it as leaving and then, long enough after the notice, as ready; and no upstream is
    /// available before the end of a requested pause.
    #[test]
    fn no_order_of_notices_and_lists_makes_an_unavailable_upstream_available(
        steps in proptest::collection::vec((step(), 0.0..4.0), 1..40),
    ) {
        let (mut upstream, mut now) = (Availability::default(), Duration::ZERO);
        let (mut said, mut listed, mut until): (Option<Duration>, _, _) = (None, false, Duration::ZERO);
        for (step, passed) in steps {
            now += seconds(passed);
            match step {
                Step::List(leaving, known) => {
                    upstream.apply_list(leaving, known, now);
                    let is_old = |at: Duration| now - at >= MAX_LIST_LAG;
                    if listed && !leaving && said.is_some_and(is_old) {
                        said = None;
                    }
                    listed = leaving;
                    prop_assert!(upstream.is_leaving() || !(leaving || known));
                }
                Step::Says => {
                    upstream.mark_leaving(now);
                    said = Some(now);
                }
                Step::Pause(pause) => {
                    upstream.request_pause(seconds(pause), now);
                    until = until.max(now + seconds(pause));
                }
            }
            prop_assert!(said.is_none() || upstream.is_leaving());
            let left = until.saturating_sub(now);
            prop_assert_eq!(upstream.remaining_pause(now).unwrap_or_default(), left);
        }
    }
}
