//! The table of claims: who gets the right to dispatch, and what everybody else is told.

use flamingocroft::{
    state::{Action, ClaimCommand, Command, ExpireClaims, MarkUnknown, Reply, State},
    wire::{ClaimRequest, ClaimStatus, OutcomeRequest, ReleaseRequest, StoredOutcome},
};

const NOW: u64 = 1_700_000_000_000;
const RETENTION: u64 = 60_000;
const SKEW: u64 = 5_000;

fn request(born: u64, attempt: u64) -> ClaimRequest {
    let mut key = born.to_be_bytes()[2..].to_vec();
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
    Done(ClaimRequest, bool),
    Lost(ClaimRequest, bool),
    Release(ClaimRequest, bool),
    Mark(u64),
    Expire(u64),
}

use Step::{Claim, Done, Expire, Lost, Mark, Release};

fn run(name: &str, steps: Vec<Step>) {
    let mut state = State::default();
    for (place, step) in steps.into_iter().enumerate() {
        let (action, expected) = step.split();
        let command = Command {
            at_unix_ms: NOW,
            action: Some(action),
        };
        let reply = state.apply(place as u64 + 1, &command);
        let seen = match reply {
            Reply::Claim(reply) => format!("{:?}", reply.status()),
            Reply::Accepted(accepted) => accepted.to_string(),
            Reply::Count(count) => count.to_string(),
            other => format!("{other:?}"),
        };
        assert_eq!(seen, expected, "{name}, step {place}");
        state = State::decode(&state.encode()).unwrap();
    }
}

impl Step {
    fn split(self) -> (Action, String) {
        let outcome = |claim, status| OutcomeRequest {
            claim: Some(claim),
            outcome: status,
        };
        match self {
            Claim(request, expected) => (
                Action::Claim(ClaimCommand {
                    request: Some(request),
                    retention_ms: RETENTION,
                    skew_ms: SKEW,
                }),
                format!("{expected:?}"),
            ),
            Done(claim, expected) => {
                let stored = Some(StoredOutcome::default());
                (
                    Action::RecordOutcome(outcome(claim, stored)),
                    expected.to_string(),
                )
            }
            Lost(claim, expected) => (
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
                    before_unix_ms: NOW + 1,
                }),
                expected.to_string(),
            ),
        }
    }
}

#[test]
fn claims_are_granted_to_one_attempt_only() {
    use ClaimStatus::{Conflict, Done as Recorded, Expired, Granted, InProgress, Unknown};
    let (a, b) = (request(NOW, 1), request(NOW, 2));
    let other_gateway = ClaimRequest {
        gateway: "g1".into(),
        ..a.clone()
    };
    let reborn = ClaimRequest {
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
    let old = request(NOW - RETENTION - 1, 1);
    let oldest = request(NOW - RETENTION, 1);
    let future = request(NOW + SKEW + 1, 1);
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
        vec![Claim(a.clone(), Granted), Claim(reborn, InProgress)],
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
            Done(b.clone(), false),
            Done(a.clone(), true),
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
            Done(b.clone(), false),
            Claim(b.clone(), Unknown),
            Done(a.clone(), true),
            Claim(b.clone(), Recorded),
        ],
    );
    run(
        "lost answer",
        vec![
            Claim(a.clone(), Granted),
            Lost(a.clone(), true),
            Claim(b.clone(), Unknown),
            Claim(a.clone(), Unknown),
        ],
    );
    run(
        "a forgotten key stays refused",
        vec![
            Claim(a.clone(), Granted),
            Done(a.clone(), true),
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
