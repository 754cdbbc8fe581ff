//! The leader's lease and the votes that it rules out.

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    replication::{Effect, HardState, Input, Recovered, Replica, ReplicaSettings, Role, Snapshot},
    wire::{
        AppendReply, AppendRequest, MembershipRecord, ReplicaMessage, ReplicaPayload, VoteReply,
        VoteRequest,
    },
};

const START: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_millis(300);

fn replica() -> Replica {
    let recovered = Recovered {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        snapshot: Snapshot {
            index: 1,
            term: 1,
            membership: MembershipRecord {
                voters: vec![1, 2, 3],
                learners: Vec::new(),
            },
            ..Snapshot::default()
        },
        ..Recovered::default()
    };
    let settings = ReplicaSettings {
        election_timeout: TIMEOUT,
        ..ReplicaSettings::default()
    };
    Replica::new(MemberId(1), recovered, settings, 1, START)
}

fn receive(
    replica: &mut Replica,
    now: Duration,
    from: u64,
    term: u64,
    payload: ReplicaPayload,
) -> Vec<Effect> {
    let message = ReplicaMessage {
        from,
        to: 1,
        term,
        payload: Some(payload),
    };
    replica.step(now, Input::Receive(message))
}

fn granted(replica: &mut Replica, now: Duration, term: u64, pre_vote: bool) -> bool {
    let request = VoteRequest {
        pre_vote,
        last_index: 100,
        last_term: 100,
    };
    let effects = receive(replica, now, 3, term, ReplicaPayload::Vote(request));
    effects.iter().any(|effect| match effect {
        Effect::Send(ReplicaMessage {
            payload: Some(ReplicaPayload::VoteReply(reply)),
            ..
        }) => reply.granted,
        _ => false,
    })
}

fn heartbeat() -> ReplicaPayload {
    ReplicaPayload::Append(AppendRequest {
        previous_index: 1,
        previous_term: 1,
        commit: 1,
        round: 1,
        ..AppendRequest::default()
    })
}

#[test]
fn no_vote_within_the_shortest_timeout_after_hearing_a_leader() {
    for pre_vote in [true, false] {
        let mut replica = replica();
        let heard = START + TIMEOUT * 3;
        receive(&mut replica, heard, 2, 2, heartbeat());
        let almost = heard + TIMEOUT - Duration::from_millis(1);
        assert!(!granted(&mut replica, almost, 7, pre_vote));
        assert_eq!(replica.term(), 2, "a refused vote does not raise the term");
        assert!(granted(&mut replica, heard + TIMEOUT, 7, pre_vote));
    }
}

#[test]
fn no_vote_within_the_shortest_timeout_after_a_restart() {
    for pre_vote in [true, false] {
        let mut replica = replica();
        let almost = START + TIMEOUT - Duration::from_millis(1);
        assert!(!granted(&mut replica, almost, 7, pre_vote));
        assert!(granted(&mut replica, START + TIMEOUT, 7, pre_vote));
    }
}

/// Makes the replica lead term 2 at a time, with its first entry committed.
fn lead(replica: &mut Replica, now: Duration) {
    replica.step(now, Input::Tick);
    for pre_vote in [true, false] {
        let vote = VoteReply {
            pre_vote,
            granted: true,
        };
        receive(replica, now, 2, 2, ReplicaPayload::VoteReply(vote));
    }
    replica.step(now, Input::Persisted { index: 2, term: 2 });
    assert_eq!(replica.role(), Role::Leader);
}

fn echo(round: u64, matched: bool) -> ReplicaPayload {
    ReplicaPayload::AppendReply(AppendReply {
        matched,
        index: 2,
        round,
    })
}

#[test]
fn a_lease_counts_from_the_start_of_the_round_and_leaves_a_margin() {
    let mut replica = replica();
    let elected = START + TIMEOUT * 3;
    lead(&mut replica, elected);
    let answered = elected + Duration::from_millis(100);
    receive(&mut replica, answered, 2, 2, echo(1, true));
    let margin = Duration::from_millis(30);
    let until = elected + TIMEOUT - margin;
    assert_eq!(replica.lease_until(), Some(until));
    // A late or doubled echo of an old round changes nothing, one of a newer round does.
    let next = elected + Duration::from_millis(150);
    replica.step(next, Input::Tick);
    receive(&mut replica, next, 2, 2, echo(1, true));
    assert_eq!(replica.lease_until(), Some(until));
    receive(&mut replica, next, 3, 2, echo(2, false));
    assert_eq!(replica.lease_until(), Some(next + TIMEOUT - margin));
}

#[test]
fn a_leader_gives_no_vote_during_its_lease_and_leads_on() {
    let mut replica = replica();
    let elected = START + TIMEOUT * 3;
    lead(&mut replica, elected);
    receive(&mut replica, elected, 2, 2, echo(1, true));
    let until = replica.lease_until().unwrap();
    let almost = until - Duration::from_millis(1);
    for pre_vote in [true, false] {
        assert!(!granted(&mut replica, almost, 9, pre_vote));
        assert_eq!((replica.role(), replica.term()), (Role::Leader, 2));
    }
    assert!(granted(&mut replica, until, 9, false));
    assert_eq!(replica.role(), Role::Follower);
    assert_eq!(replica.lease_until(), None);
}

/// It learns of a newer term, but its followers may still keep the lease that it gave out.
#[test]
fn a_deposed_leader_gives_no_vote_before_its_lease_ends() {
    let mut replica = replica();
    let elected = START + TIMEOUT * 3;
    lead(&mut replica, elected);
    receive(&mut replica, elected, 2, 2, echo(1, true));
    let until = replica.lease_until().unwrap();
    receive(&mut replica, elected, 3, 5, echo(1, false));
    assert_eq!((replica.role(), replica.term()), (Role::Follower, 5));
    assert!(!granted(
        &mut replica,
        until - Duration::from_millis(1),
        9,
        false
    ));
    assert!(granted(&mut replica, until, 9, false));
}
