//! What a leader may count as committed, and what a member may claim to have synced.

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    replication::{
        Batch, Effect, HardState, Input, Recovered, Replica, ReplicaSettings, Role, Snapshot,
    },
    wire::{
        AppendReply, AppendRequest, Entry, MembershipRecord, ReplicaMessage, ReplicaPayload,
        VoteReply, VoteRequest,
    },
};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: 1,
        data: format!("{index} {term}").into(),
    }
}

fn replica(term: u64, entries: Vec<Entry>) -> Replica {
    let recovered = Recovered {
        hard_state: HardState { term, vote: None },
        snapshot: Snapshot {
            index: 1,
            term: 1,
            membership: MembershipRecord {
                voters: vec![1, 2, 3, 4, 5],
                learners: Vec::new(),
            },
            ..Snapshot::default()
        },
        entries,
    };
    let settings = ReplicaSettings::default();
    let mut replica = Replica::new(MemberId(1), recovered, settings, 1, Duration::ZERO);
    let effects = replica.step(Duration::ZERO, Input::Tick);
    assert!(matches!(effects.as_slice(), [Effect::Restore(_)]));
    replica
}

const LATER: Duration = Duration::from_secs(1);

fn receive(replica: &mut Replica, from: u64, term: u64, payload: ReplicaPayload) -> Vec<Effect> {
    let message = ReplicaMessage {
        from,
        to: 1,
        term,
        payload: Some(payload),
    };
    replica.step(LATER, Input::Receive(message))
}

fn vote(pre_vote: bool) -> ReplicaPayload {
    ReplicaPayload::VoteReply(VoteReply {
        pre_vote,
        granted: true,
    })
}

fn matched(index: u64) -> ReplicaPayload {
    ReplicaPayload::AppendReply(AppendReply {
        matched: true,
        index,
        round: 1,
    })
}

/// Entry 2 of term 2 reaches a majority under the leader of term 4, but a member with an entry of
/// term 3 could still be elected and replace it.
#[test]
fn an_older_terms_entry_on_a_majority_is_not_committed_by_counting() {
    let mut replica = replica(3, vec![entry(2, 2)]);
    replica.step(LATER, Input::Tick);
    for pre in [true, false] {
        receive(&mut replica, 2, 4, vote(pre));
        receive(&mut replica, 3, 4, vote(pre));
    }
    assert_eq!((replica.role(), replica.term()), (Role::Leader, 4));
    replica.step(LATER, Input::Persisted { index: 3, term: 4 });
    receive(&mut replica, 2, 4, matched(2));
    receive(&mut replica, 3, 4, matched(2));
    assert_eq!(replica.commit(), 1);
    assert_eq!(
        replica.lease_until(),
        None,
        "it may not know the newest state"
    );
    receive(&mut replica, 2, 4, matched(3));
    assert_eq!(replica.commit(), 1);
    receive(&mut replica, 3, 4, matched(3));
    assert_eq!(replica.commit(), 3);
    assert!(replica.lease_until().is_some());
}

fn append(previous: Entry, entries: Vec<Entry>) -> ReplicaPayload {
    ReplicaPayload::Append(AppendRequest {
        previous_index: previous.index,
        previous_term: previous.term,
        entries,
        commit: 1,
        round: 1,
    })
}

fn claimed(effects: &[Effect]) -> Vec<u64> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send(message) => match &message.payload {
                Some(ReplicaPayload::AppendReply(reply)) if reply.matched => Some(reply.index),
                _ => None,
            },
            _ => None,
        })
        .collect()
}

/// A heartbeat's answer is not held back by a write of an earlier step, so it claims less.
#[test]
fn only_synced_entries_are_claimed() {
    let mut replica = replica(2, vec![entry(2, 2)]);
    let effects = receive(&mut replica, 2, 2, append(entry(2, 2), vec![entry(3, 2)]));
    let [Effect::Persist { entries, .. }, Effect::Send(_)] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(entries, &[entry(3, 2)]);
    assert_eq!(claimed(&effects), [3]);
    let effects = receive(&mut replica, 2, 2, append(entry(3, 2), Vec::new()));
    assert_eq!(claimed(&effects), [2]);
    replica.step(LATER, Input::Persisted { index: 3, term: 2 });
    let effects = receive(&mut replica, 2, 2, append(entry(3, 2), Vec::new()));
    assert_eq!(claimed(&effects), [3]);
    // A newer leader replaces it; the old entry's sync says nothing of the new one.
    receive(&mut replica, 3, 3, append(entry(2, 2), vec![entry(3, 3)]));
    replica.step(LATER, Input::Persisted { index: 3, term: 2 });
    let effects = receive(&mut replica, 3, 3, append(entry(3, 3), Vec::new()));
    assert_eq!(claimed(&effects), [2]);
}

#[test]
fn a_doubled_vote_request_waits_for_a_sync_each_time() {
    let mut replica = replica(1, Vec::new());
    for _ in 0..2 {
        let request = VoteRequest {
            pre_vote: false,
            last_index: 5,
            last_term: 1,
        };
        let effects = receive(&mut replica, 2, 2, ReplicaPayload::Vote(request));
        let persisted = matches!(
            effects.as_slice(),
            [Effect::Persist { hard_state: Some(state), .. }, Effect::Send(_)]
                if state.vote == Some(MemberId(2))
        );
        assert!(persisted, "{effects:?}");
    }
}

fn persist(entries: Vec<Entry>, snapshot: Option<Snapshot>) -> Effect {
    Effect::Persist {
        hard_state: None,
        entries,
        snapshot,
    }
}

#[test]
fn a_batch_merges_writes_and_holds_only_what_follows_one() {
    let message = |to| {
        Effect::Send(ReplicaMessage {
            to,
            ..ReplicaMessage::default()
        })
    };
    let mut batch = Batch::default();
    batch.add(vec![
        message(1),
        persist(vec![entry(1, 1), entry(2, 1)], None),
        message(2),
    ]);
    batch.add(vec![message(3)]);
    batch.add(vec![persist(vec![entry(2, 2)], None)]);
    let to = |messages: Vec<ReplicaMessage>| messages.iter().map(|m| m.to).collect::<Vec<_>>();
    assert_eq!(to(batch.take_ready()), [1, 3]);
    assert_eq!(to(batch.take_held()), [2]);
    let writes = batch.take_writes();
    assert_eq!(writes.len(), 1);
    assert_eq!(writes[0].entries, [entry(1, 1), entry(2, 2)]);
    let persisted = batch.take_persisted();
    assert!(matches!(
        persisted.as_slice(),
        [Input::Persisted { index: 2, term: 2 }]
    ));
    assert!(batch.take_persisted().is_empty());
}

#[test]
fn a_batch_keeps_the_order_around_a_snapshot() {
    let snapshot = Snapshot {
        index: 5,
        term: 2,
        ..Snapshot::default()
    };
    let mut batch = Batch::default();
    batch.add(vec![persist(vec![entry(1, 1)], None)]);
    batch.add(vec![persist(Vec::new(), Some(snapshot.clone()))]);
    batch.add(vec![persist(vec![entry(6, 2)], None)]);
    let writes = batch.take_writes();
    assert_eq!(writes.len(), 2);
    assert_eq!(
        (writes[0].entries.len(), &writes[0].snapshot),
        (1, &Some(snapshot))
    );
    assert_eq!((writes[1].entries.len(), &writes[1].snapshot), (1, &None));
}
