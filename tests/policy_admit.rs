//! Admission compared with "accept all": equal under light load, never over capacity, fair under
//! overload.

#[path = "naive/admit.rs"]
mod naive;

use std::time::Duration;

use flamingocroft::{
    domain::{Priority, RefusalKind},
    policy::admit::{Admission, AdmitRequest, UNLEASED_SLOTS, decide, excess_free, should_preempt},
};
use proptest::prelude::*;

fn idle() -> AdmitRequest {
    AdmitRequest {
        priority: Priority::Paying,
        account_in_progress: 0,
        share: Some(4),
        service_in_progress: 0,
        free_in_progress: 0,
        service_capacity: 32,
        paying_waiting: 0,
        waiting_ahead: 0,
        under_share_waiting: 0,
        waited: Duration::ZERO,
        service_time: Duration::from_secs(4),
        until_due: Duration::from_millis(640),
    }
}

fn free(req: AdmitRequest) -> AdmitRequest {
    AdmitRequest {
        priority: Priority::Free,
        ..req
    }
}

fn refusal(admission: Admission) -> Option<RefusalKind> {
    match admission {
        Admission::Refuse { kind, .. } => Some(kind),
        Admission::Accept | Admission::Wait => None,
    }
}

fn arbitrary_request() -> impl Strategy<Value = AdmitRequest> {
    let counts = (
        0..20_u32,
        0..80_u32,
        1..64_u32,
        0..20_u32,
        0..20_u32,
        0..20_u32,
    );
    let shares = (any::<bool>(), proptest::option::of(0..20_u32));
    let times = (0..10_000_u64, 0..2000_u64);
    (shares, counts, 0..20_u32, times).prop_map(|((pays, share), counts, free, times)| {
        AdmitRequest {
            priority: if pays {
                Priority::Paying
            } else {
                Priority::Free
            },
            account_in_progress: counts.0.min(counts.1),
            share,
            service_in_progress: counts.1,
            free_in_progress: free.min(counts.1),
            service_capacity: counts.2,
            paying_waiting: counts.3,
            waiting_ahead: counts.4,
            under_share_waiting: counts.5,
            waited: Duration::ZERO,
            service_time: Duration::from_millis(times.0),
            until_due: Duration::from_millis(times.1),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepts_what_accept_all_accepts_where_load_is_light(mut req in arbitrary_request()) {
        req.share = Some(req.account_in_progress + 1);
        req.paying_waiting = 0;
        req.under_share_waiting = 0;
        req.service_in_progress = req.service_in_progress.min(req.service_capacity / 2);
        prop_assert_eq!(decide(&req), Admission::Accept);
        prop_assert_eq!(naive::decide(&req), Admission::Accept);
    }

    #[test]
    fn never_accepts_over_capacity(req in arbitrary_request()) {
        let full = req.service_in_progress >= req.service_capacity;
        prop_assert!(!(full && decide(&req) == Admission::Accept));
    }

    #[test]
    fn free_work_never_goes_before_paying_work(req in arbitrary_request()) {
        let paying_waits = req.paying_waiting > 0;
        prop_assert!(!(paying_waits && refusal(decide(&free(req))).is_none()));
    }

    #[test]
    fn paying_work_is_not_refused_while_enough_free_work_runs(mut req in arbitrary_request()) {
        req.priority = Priority::Paying;
        req.until_due = req.until_due.max(Duration::from_millis(100));
        let ahead = req.waiting_ahead.max(req.under_share_waiting);
        req.free_in_progress = ahead + 1;
        prop_assert!(refusal(decide(&req)).is_none());
    }

    #[test]
    fn free_work_leaves_a_reserve(mut req in arbitrary_request()) {
        req.service_in_progress = req.service_capacity - req.service_capacity / 8;
        prop_assert!(decide(&free(req)) != Admission::Accept);
    }

    #[test]
    fn queued_requests_can_meet_their_deadline(req in arbitrary_request()) {
        let slot_ends_every = req.service_time / req.service_capacity;
        let free_yields = req.priority == Priority::Paying && req.free_in_progress > 0;
        if decide(&req) == Admission::Wait {
            prop_assert!(!req.until_due.is_zero());
            prop_assert!(free_yields || slot_ends_every < req.until_due);
        }
        if let Admission::Refuse { retry_after, .. } = decide(&req) {
            prop_assert!(!retry_after.is_zero());
        }
    }

    #[test]
    fn an_account_above_its_share_never_goes_before_one_below(mut req in arbitrary_request()) {
        req.share = Some(req.account_in_progress);
        req.under_share_waiting = req.under_share_waiting.max(1);
        prop_assert!(decide(&req) != Admission::Accept);
        req.free_in_progress = 0;
        prop_assert!(refusal(decide(&req)).is_some());
    }
}

#[test]
fn decisions_by_case() {
    let full = AdmitRequest {
        service_in_progress: 32,
        ..idle()
    };
    let above_share = AdmitRequest {
        account_in_progress: 4,
        ..idle()
    };
    let accept = Some(Admission::Accept);
    let wait = Some(Admission::Wait);
    let cases = [
        ("idle", idle(), accept, None),
        ("idle and free", free(idle()), accept, None),
        ("borrows", above_share.clone(), accept, None),
        ("free work borrows", free(above_share.clone()), accept, None),
        (
            "free work does not borrow before free work below its share",
            AdmitRequest {
                under_share_waiting: 1,
                ..free(above_share.clone())
            },
            None,
            Some(RefusalKind::OverShare),
        ),
        (
            "free work does not borrow where its account has no share",
            AdmitRequest {
                share: Some(0),
                ..free(above_share.clone())
            },
            None,
            Some(RefusalKind::OverShare),
        ),
        (
            "free work borrows less than its own share reaches to",
            AdmitRequest {
                service_in_progress: 24,
                ..free(above_share.clone())
            },
            None,
            Some(RefusalKind::OverShare),
        ),
        (
            "free work reaches its own share",
            AdmitRequest {
                service_in_progress: 24,
                ..free(idle())
            },
            accept,
            None,
        ),
        (
            "a long wait is short where free work yields",
            AdmitRequest {
                waiting_ahead: 10,
                under_share_waiting: 10,
                free_in_progress: 11,
                ..full.clone()
            },
            wait,
            None,
        ),
        ("waits for a slot", full.clone(), wait, None),
        (
            "waits behind few below their share, not behind many above it",
            AdmitRequest {
                waiting_ahead: 100,
                under_share_waiting: 1,
                ..full.clone()
            },
            wait,
            None,
        ),
        (
            "cannot make it",
            AdmitRequest {
                waiting_ahead: 10,
                under_share_waiting: 10,
                ..full.clone()
            },
            None,
            Some(RefusalKind::Overloaded),
        ),
        (
            "keeps a reserve for paying work",
            AdmitRequest {
                service_in_progress: 30,
                until_due: Duration::ZERO,
                ..free(idle())
            },
            None,
            Some(RefusalKind::Overloaded),
        ),
        (
            "few slots before the first lease",
            AdmitRequest {
                share: None,
                service_capacity: 0,
                service_in_progress: UNLEASED_SLOTS,
                account_in_progress: UNLEASED_SLOTS,
                until_due: Duration::ZERO,
                ..idle()
            },
            None,
            Some(RefusalKind::OverShare),
        ),
    ];
    for (name, req, admission, kind) in cases {
        let decision = decide(&req);
        match admission {
            Some(admission) => assert_eq!(decision, admission, "{name}"),
            None => assert_eq!(refusal(decision), kind, "{name}"),
        }
    }
}

#[test]
fn only_paying_work_that_is_next_preempts_and_only_when_full() {
    let full = AdmitRequest {
        service_in_progress: 32,
        free_in_progress: 2,
        ..idle()
    };
    let above_share = AdmitRequest {
        account_in_progress: 4,
        ..full.clone()
    };
    let not_its_turn = AdmitRequest {
        under_share_waiting: 1,
        ..above_share.clone()
    };
    let nothing_to_cancel = AdmitRequest {
        free_in_progress: 0,
        ..full.clone()
    };
    assert!(should_preempt(&full));
    assert!(should_preempt(&above_share));
    assert!(!should_preempt(&not_its_turn));
    assert!(!should_preempt(&nothing_to_cancel));
    assert!(!should_preempt(&idle()));
    assert!(!should_preempt(&free(full)));
}

#[test]
fn free_work_makes_room_when_the_capacity_shrinks() {
    let cases = [
        ((10, 10, 4), 0),
        ((8, 10, 4), 2),
        ((2, 10, 4), 4),
        ((0, 0, 0), 0),
    ];
    for ((capacity, in_progress, free), expected) in cases {
        assert_eq!(excess_free(capacity, in_progress, free), expected);
    }
}
