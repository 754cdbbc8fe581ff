//! The leader's lease, and the votes that must not be granted while it may be valid.

mod replication_support;

use std::time::Duration;

use flamingocroft::{
    replication::{Input, Replica, Role},
    wire::ReplicaPayload,
};
use replication_support::single::{
    START, append_reply, append_request, elect_replica, entry, receive, replica, sent_payloads,
    vote_request,
};

const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const LEASE_MARGIN: Duration = Duration::from_millis(30);
const MILLISECOND: Duration = Duration::from_millis(1);
const ELECTED_AT: Duration = Duration::from_secs(11);

fn grants_vote(replica: &mut Replica, now: Duration, pre_vote: bool) -> bool {
    let effects = receive(replica, now, 3, 9, vote_request(pre_vote));
    let granted = |payload: &&ReplicaPayload| match payload {
        ReplicaPayload::VoteReply(reply) => reply.granted,
        _ => false,
    };
    sent_payloads(&effects).iter().any(granted)
}

/// Creates a leader whose first heartbeat round, started when it was elected, is acknowledged 1 ms later.
fn leader_with_lease() -> Replica {
    let mut replica = replica(1, Vec::new());
    elect_replica(&mut replica, ELECTED_AT);
    for from in [2, 3] {
        receive(
            &mut replica,
            ELECTED_AT + MILLISECOND,
            from,
            2,
            append_reply(true, 2, 1),
        );
    }
    replica
}

#[test]
fn no_vote_within_the_shortest_timeout_after_a_message_from_a_leader() {
    for pre_vote in [true, false] {
        let mut replica = replica(1, Vec::new());
        let received_at = ELECTED_AT;
        receive(
            &mut replica,
            received_at,
            2,
            2,
            append_request(entry(1, 1), Vec::new()),
        );
        assert!(!grants_vote(
            &mut replica,
            received_at + ELECTION_TIMEOUT - MILLISECOND,
            pre_vote
        ));
        assert_eq!(replica.term(), 2, "a refused vote does not raise the term");
        assert!(grants_vote(
            &mut replica,
            received_at + ELECTION_TIMEOUT,
            pre_vote
        ));
    }
}

#[test]
fn no_vote_within_the_shortest_timeout_after_a_restart() {
    for pre_vote in [true, false] {
        let mut replica = replica(1, Vec::new());
        assert!(!grants_vote(
            &mut replica,
            START + ELECTION_TIMEOUT - MILLISECOND,
            pre_vote
        ));
        assert!(grants_vote(
            &mut replica,
            START + ELECTION_TIMEOUT,
            pre_vote
        ));
    }
}

#[test]
fn a_lease_counts_from_the_start_of_the_round_and_leaves_a_margin() {
    let mut replica = leader_with_lease();
    let until = ELECTED_AT + ELECTION_TIMEOUT - LEASE_MARGIN;
    assert_eq!(replica.lease_until(), Some(until));
    // Late or duplicate acknowledgements of an old round do not extend the lease, and neither does a single
    // acknowledgement of the new round.
    let next = ELECTED_AT + ELECTION_TIMEOUT / 2;
    replica.step(next, Input::Tick);
    for (from, round) in [(2, 1), (3, 1), (4, 2)] {
        receive(&mut replica, next, from, 2, append_reply(true, 2, round));
        assert_eq!(replica.lease_until(), Some(until));
    }
    receive(&mut replica, next, 5, 2, append_reply(false, 1, 2));
    assert_eq!(
        replica.lease_until(),
        Some(next + ELECTION_TIMEOUT - LEASE_MARGIN)
    );
}

#[test]
fn a_leader_grants_no_vote_during_its_lease_and_keeps_leading() {
    let mut replica = leader_with_lease();
    let until = replica.lease_until().unwrap();
    for pre_vote in [true, false] {
        assert!(!grants_vote(&mut replica, until - MILLISECOND, pre_vote));
        assert_eq!((replica.role(), replica.term()), (Role::Leader, 2));
    }
    assert!(grants_vote(&mut replica, until, false));
    assert_eq!(replica.role(), Role::Follower);
    assert_eq!(replica.lease_until(), None);
}

/// The leader steps down for a newer term, but the lease that its followers granted may still be valid.
#[test]
fn a_deposed_leader_grants_no_vote_before_its_lease_ends() {
    let mut replica = leader_with_lease();
    let until = replica.lease_until().unwrap();
    receive(
        &mut replica,
        ELECTED_AT + MILLISECOND,
        3,
        5,
        append_reply(false, 1, 1),
    );
    assert_eq!((replica.role(), replica.term()), (Role::Follower, 5));
    assert!(!grants_vote(&mut replica, until - MILLISECOND, false));
    assert!(grants_vote(&mut replica, until, false));
}
