//! Claims: which attempt gets the right to dispatch a call, and which status the others get.

use flamingocroft::{
    state::{
        Action, ClaimCommand, ClaimRecord, Claims, Command, ExpireClaims, MarkUnknown, Reply, State,
    },
    wire::{ClaimRequest, ClaimStatus, OutcomeRequest, ReleaseRequest, StoredOutcome},
};

const NOW_MS: u64 = 1_700_000_000_000;
const RETENTION_MS: u64 = 60_000;
const SKEW_MS: u64 = 5_000;

fn request(created_ms: u64, attempt: u64) -> ClaimRequest {
    let mut key = created_ms.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, 7]);
    ClaimRequest {
        account: "office".into(),
        key,
        digest: vec![1; 32],
        gateway: "g0".into(),
        incarnation: 1,
        attempt,
    }
}

enum Step {
    Claim(ClaimRequest, ClaimStatus),
    RecordOutcome(ClaimRequest, bool),
    RecordUnknown(ClaimRequest, bool),
    Release(ClaimRequest, bool),
    Mark(u64),
    Expire(u64),
}

use Step::{Claim, Expire, Mark, RecordOutcome, RecordUnknown, Release};

fn run(name: &str, steps: Vec<Step>) {
    let mut state = State::default();
    for (number, step) in steps.into_iter().enumerate() {
        let (action, expected) = step.into_action();
        let command = Command {
            at_unix_ms: NOW_MS,
            action: Some(action),
        };
        let reply = state.apply(number as u64 + 1, &command);
        let seen = match reply {
            Reply::Claim(reply) => format!("{:?}", reply.status()),
            Reply::Accepted(accepted) => accepted.to_string(),
            Reply::Count(count) => count.to_string(),
            other => format!("{other:?}"),
        };
        assert_eq!(seen, expected, "{name}, step {number}");
        state = State::decode(&state.encode()).unwrap();
    }
}

impl Step {
    fn into_action(self) -> (Action, String) {
        let outcome = |claim, status| OutcomeRequest {
            claim: Some(claim),
            outcome: status,
        };
        match self {
            Claim(request, expected) => (
                Action::Claim(ClaimCommand {
                    request: Some(request),
                    retention_ms: RETENTION_MS,
                    skew_ms: SKEW_MS,
                }),
                format!("{expected:?}"),
            ),
            RecordOutcome(claim, expected) => {
                let stored = Some(StoredOutcome::default());
                (
                    Action::RecordOutcome(outcome(claim, stored)),
                    expected.to_string(),
                )
            }
            RecordUnknown(claim, expected) => (
                Action::RecordOutcome(outcome(claim, None)),
                expected.to_string(),
            ),
            Release(claim, expected) => (
                Action::ReleaseClaim(ReleaseRequest { claim: Some(claim) }),
                expected.to_string(),
            ),
            Mark(expected) => {
                let gateway = "g0".into();
                let mark = MarkUnknown {
                    gateway,
                    incarnation: 1,
                };
                (Action::MarkUnknown(mark), expected.to_string())
            }
            Expire(expected) => (
                Action::ExpireClaims(ExpireClaims {
                    before_unix_ms: NOW_MS + 1,
                }),
                expected.to_string(),
            ),
        }
    }
}

#[test]
fn claims_are_granted_to_one_attempt_only() {
    use ClaimStatus::{Conflict, Done as Recorded, Expired, Granted, InProgress, Unknown};
    let (a, b) = (request(NOW_MS, 1), request(NOW_MS, 2));
    let other_gateway = ClaimRequest {
        gateway: "g1".into(),
        ..a.clone()
    };
    let restarted = ClaimRequest {
        incarnation: 2,
        ..a.clone()
    };
    let other_body = ClaimRequest {
        digest: vec![2; 32],
        ..a.clone()
    };
    let other_account = ClaimRequest {
        account: "depot".into(),
        ..b.clone()
    };
    let old = request(NOW_MS - RETENTION_MS - 1, 1);
    let oldest = request(NOW_MS - RETENTION_MS, 1);
    let future = request(NOW_MS + SKEW_MS + 1, 1);
    run(
        "resent",
        vec![Claim(a.clone(), Granted), Claim(a.clone(), Granted)],
    );
    run(
        "two attempts",
        vec![Claim(a.clone(), Granted), Claim(b.clone(), InProgress)],
    );
    run(
        "two gateways",
        vec![Claim(a.clone(), Granted), Claim(other_gateway, InProgress)],
    );
    run(
        "restarted gateway",
        vec![Claim(a.clone(), Granted), Claim(restarted, InProgress)],
    );
    run(
        "other body",
        vec![Claim(a.clone(), Granted), Claim(other_body, Conflict)],
    );
    run(
        "other account",
        vec![Claim(a.clone(), Granted), Claim(other_account, Granted)],
    );
    run("too old", vec![Claim(old, Expired), Claim(oldest, Granted)]);
    run("from the future", vec![Claim(future, Expired)]);
    run(
        "outcome",
        vec![
            Claim(a.clone(), Granted),
            RecordOutcome(b.clone(), false),
            RecordOutcome(a.clone(), true),
            Claim(b.clone(), Recorded),
            Claim(a.clone(), Recorded),
            Release(a.clone(), false),
            Mark(0),
            Claim(b.clone(), Recorded),
        ],
    );
    run(
        "release by its own attempt",
        vec![
            Claim(a.clone(), Granted),
            Release(b.clone(), false),
            Release(a.clone(), true),
            Claim(a.clone(), InProgress),
            Claim(b.clone(), Granted),
            Claim(a.clone(), InProgress),
        ],
    );
    run(
        "release overtakes the claim",
        vec![
            Release(a.clone(), true),
            Claim(a.clone(), InProgress),
            Claim(b.clone(), Granted),
        ],
    );
    run(
        "lost gateway",
        vec![
            Claim(a.clone(), Granted),
            Mark(1),
            Claim(a.clone(), Unknown),
            Claim(b.clone(), Unknown),
            Release(a.clone(), false),
            RecordOutcome(b.clone(), false),
            Claim(b.clone(), Unknown),
            RecordOutcome(a.clone(), true),
            Claim(b.clone(), Recorded),
        ],
    );
    run(
        "lost answer",
        vec![
            Claim(a.clone(), Granted),
            RecordUnknown(a.clone(), true),
            Claim(b.clone(), Unknown),
            Claim(a.clone(), Unknown),
        ],
    );
    run(
        "a forgotten key stays refused",
        vec![
            Claim(a.clone(), Granted),
            RecordOutcome(a.clone(), true),
            Expire(1),
            Claim(b, Expired),
            Release(a, false),
        ],
    );
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    let mut bytes = State::default().encode().to_vec();
    bytes.extend([0xff; 5]);
    assert!(State::decode(&bytes).is_err());
}

#[test]
fn a_snapshot_with_a_claim_of_a_later_build_is_not_read_as_an_open_claim() {
    const LATER_STANDING: i32 = 99;
    let record = |standing| ClaimRecord {
        request: Some(request(NOW_MS, 1)),
        standing,
        outcome: None,
    };
    assert!(Claims::from_records(vec![record(0)], 0).is_some());
    assert_eq!(
        Claims::from_records(vec![record(LATER_STANDING)], 0),
        None,
        "its attempt would dispatch it again"
    );
}
