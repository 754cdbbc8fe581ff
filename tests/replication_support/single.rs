//! A single replica whose peers are simulated by the test.

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    replication::{Effect, Input, Replica, ReplicaSettings, Role},
    wire::{
        AppendReply, AppendRequest, Entry, ReplicaMessage, ReplicaPayload, VoteReply, VoteRequest,
    },
};

use super::bootstrap_state;

/// Time at which the replica starts.
pub const START: Duration = Duration::from_secs(10);

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: 1,
        data: format!("{index} {term}").into(),
    }
}

/// Creates member 1 of five, in the given term and with the given entries after the initial snapshot.
pub fn replica(term: u64, entries: Vec<Entry>) -> Replica {
    let mut recovered = bootstrap_state(1..=5);
    recovered.hard_state.term = term;
    recovered.entries = entries;
    let settings = ReplicaSettings::default();
    let mut replica = Replica::new(MemberId(1), recovered, settings, 1, START);
    let effects = replica.step(START, Input::Tick);
    assert!(matches!(effects.as_slice(), [Effect::Restore(_)]));
    replica
}

pub fn receive(
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

/// Elects the replica with the votes of members 2 and 3 and completes the sync of its first entry.
pub fn elect_replica(replica: &mut Replica, now: Duration) {
    replica.step(now, Input::Tick);
    let term = replica.term() + 1;
    for pre_vote in [true, false] {
        for from in [2, 3] {
            let granted = true;
            let vote = ReplicaPayload::VoteReply(VoteReply { pre_vote, granted });
            receive(replica, now, from, term, vote);
        }
    }
    assert_eq!((replica.role(), replica.term()), (Role::Leader, term));
    let index = replica.last_index();
    replica.step(now, Input::Persisted { index, term });
}

pub fn append_reply(matched: bool, index: u64, round: u64) -> ReplicaPayload {
    ReplicaPayload::AppendReply(AppendReply {
        matched,
        index,
        round,
    })
}

pub fn append_request(previous: Entry, entries: Vec<Entry>) -> ReplicaPayload {
    ReplicaPayload::Append(AppendRequest {
        previous_index: previous.index,
        previous_term: previous.term,
        entries,
        commit: 1,
        round: 1,
    })
}

/// A vote request whose log is at least as up to date as any in these tests.
pub fn vote_request(pre_vote: bool) -> ReplicaPayload {
    ReplicaPayload::Vote(VoteRequest {
        pre_vote,
        last_index: 100,
        last_term: 100,
    })
}

/// Returns the payloads of the messages that a step sends.
pub fn sent_payloads(effects: &[Effect]) -> Vec<&ReplicaPayload> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send(message) => message.payload.as_ref(),
            _ => None,
        })
        .collect()
}
