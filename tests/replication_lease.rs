//! The leader's lease and the votes that it rules out.

mod replication_support;

use std::time::Duration;

use flamingocroft::{
    replication::{Input, Replica, Role},
    wire::ReplicaPayload,
};
use replication_support::single::{
    START, append, entry, lead, receive, replica, reply, sent, vote,
};

const TIMEOUT: Duration = Duration::from_millis(300);
const MARGIN: Duration = Duration::from_millis(30);
const INSTANT: Duration = Duration::from_millis(1);
const ELECTED: Duration = Duration::from_secs(11);

fn grants(replica: &mut Replica, now: Duration, pre_vote: bool) -> bool {
    let effects = receive(replica, now, 3, 9, vote(pre_vote));
    let granted = |payload: &&ReplicaPayload| match payload {
        ReplicaPayload::VoteReply(reply) => reply.granted,
        _ => false,
    };
    sent(&effects).iter().any(granted)
}

/// Makes a leader whose first round, begun when it was elected, is echoed a little later.
fn leased() -> Replica {
    let mut replica = replica(1, Vec::new());
    lead(&mut replica, ELECTED);
    for from in [2, 3] {
        receive(&mut replica, ELECTED + INSTANT, from, 2, reply(true, 2, 1));
    }
    replica
}

#[test]
fn no_vote_within_the_shortest_timeout_after_hearing_a_leader() {
    for pre_vote in [true, false] {
        let mut replica = replica(1, Vec::new());
        let heard = ELECTED;
        receive(&mut replica, heard, 2, 2, append(entry(1, 1), Vec::new()));
        assert!(!grants(&mut replica, heard + TIMEOUT - INSTANT, pre_vote));
        assert_eq!(replica.term(), 2, "a refused vote does not raise the term");
        assert!(grants(&mut replica, heard + TIMEOUT, pre_vote));
    }
}

#[test]
fn no_vote_within_the_shortest_timeout_after_a_restart() {
    for pre_vote in [true, false] {
        let mut replica = replica(1, Vec::new());
        assert!(!grants(&mut replica, START + TIMEOUT - INSTANT, pre_vote));
        assert!(grants(&mut replica, START + TIMEOUT, pre_vote));
    }
}

#[test]
fn a_lease_counts_from_the_start_of_the_round_and_leaves_a_margin() {
    let mut replica = leased();
    let until = ELECTED + TIMEOUT - MARGIN;
    assert_eq!(replica.lease_until(), Some(until));
    // A late or doubled echo of an old round changes nothing, and neither does one alone.
    let next = ELECTED + TIMEOUT / 2;
    replica.step(next, Input::Tick);
    for (from, round) in [(2, 1), (3, 1), (4, 2)] {
        receive(&mut replica, next, from, 2, reply(true, 2, round));
        assert_eq!(replica.lease_until(), Some(until));
    }
    receive(&mut replica, next, 5, 2, reply(false, 1, 2));
    assert_eq!(replica.lease_until(), Some(next + TIMEOUT - MARGIN));
}

#[test]
fn a_leader_gives_no_vote_during_its_lease_and_leads_on() {
    let mut replica = leased();
    let until = replica.lease_until().unwrap();
    for pre_vote in [true, false] {
        assert!(!grants(&mut replica, until - INSTANT, pre_vote));
        assert_eq!((replica.role(), replica.term()), (Role::Leader, 2));
    }
    assert!(grants(&mut replica, until, false));
    assert_eq!(replica.role(), Role::Follower);
    assert_eq!(replica.lease_until(), None);
}

/// It learns of a newer term, but its followers may still keep the lease that it gave out.
#[test]
fn a_deposed_leader_gives_no_vote_before_its_lease_ends() {
    let mut replica = leased();
    let until = replica.lease_until().unwrap();
    receive(&mut replica, ELECTED + INSTANT, 3, 5, reply(false, 1, 1));
    assert_eq!((replica.role(), replica.term()), (Role::Follower, 5));
    assert!(!grants(&mut replica, until - INSTANT, false));
    assert!(grants(&mut replica, until, false));
}
