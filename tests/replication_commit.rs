//! Which entries a leader may count as committed, and which a member may acknowledge as synced.

mod replication_support;

use bytes::Bytes;
use flamingocroft::{
    domain::MemberId,
    replication::{Batch, Effect, Input, Replica, ReplicaSettings, Snapshot, Ticket},
    wire::{Entry, EntryKind, InstallSnapshot, MembershipRecord, ReplicaMessage, ReplicaPayload},
};
use prost::Message;
use replication_support::{
    bootstrap_state,
    single::{
        START, append_reply, append_request, elect_replica, entry, receive, replica, sent_payloads,
        vote_request,
    },
};

const LATER: std::time::Duration = START.saturating_mul(2);

/// Guards against committing by counting replicas of an older term (Raft, figure 8): entry 2 of term 2
/// reaches a majority under the leader of term 4, but a member with an entry of term 3 could still be
/// elected and replace it.
#[test]
fn an_older_terms_entry_on_a_majority_is_not_committed_by_counting() {
    let mut replica = replica(3, vec![entry(2, 2)]);
    elect_replica(&mut replica, LATER);
    for (from, index, commit) in [(2, 2, 1), (3, 2, 1), (2, 3, 1), (3, 3, 3)] {
        receive(&mut replica, LATER, from, 4, append_reply(true, index, 1));
        assert_eq!(replica.commit(), commit);
        // Before that the leader may not know the newest state, so it reports no lease.
        assert_eq!(replica.lease_until().is_some(), commit == 3);
    }
}

#[test]
fn a_leader_counts_its_own_entry_only_once_it_is_synced() {
    let mut replica = replica(1, Vec::new());
    elect_replica(&mut replica, LATER);
    let command = Bytes::from("late");
    let ticket = Ticket(1);
    replica.step(LATER, Input::Propose { ticket, command });
    for from in [2, 3] {
        receive(&mut replica, LATER, from, 2, append_reply(true, 3, 1));
    }
    assert_eq!(
        replica.commit(),
        2,
        "two of five have it, and the leader's sync is pending"
    );
    replica.step(LATER, Input::Persisted { index: 3, term: 2 });
    assert_eq!(replica.commit(), 3);
}

/// A new leader may not know what its predecessor committed until its own first entry commits.
#[test]
fn a_new_leader_answers_no_read_before_its_first_entry_commits() {
    let mut replica = replica(1, Vec::new());
    elect_replica(&mut replica, LATER);
    let ticket = Ticket(1);
    let ready = |effects: &[Effect]| effects.contains(&Effect::ReadReady(ticket));
    assert!(!ready(&replica.step(LATER, Input::Read { ticket })));
    for (from, round) in [(2, 1), (3, 1), (2, 2), (3, 2), (4, 2)] {
        let effects = receive(&mut replica, LATER, from, 2, append_reply(false, 1, round));
        assert!(
            !ready(&effects),
            "acknowledgements prove leadership, not what is committed"
        );
    }
    let mut answered = false;
    for (from, round) in [(2, 2), (3, 2), (2, 3), (3, 3)] {
        let effects = receive(&mut replica, LATER, from, 2, append_reply(true, 2, round));
        answered |= ready(&effects);
    }
    assert!(answered);
}

fn acknowledged(effects: &[Effect]) -> Vec<u64> {
    let claim = |payload: &ReplicaPayload| match payload {
        ReplicaPayload::AppendReply(reply) if reply.matched => Some(reply.index),
        _ => None,
    };
    sent_payloads(effects)
        .into_iter()
        .filter_map(claim)
        .collect()
}

/// The reply to a heartbeat does not wait for a write of an earlier step, so it must not acknowledge the
/// entries of that write.
#[test]
fn only_synced_entries_are_acknowledged() {
    let mut replica = replica(2, vec![entry(2, 2)]);
    let two = || append_request(entry(2, 2), vec![entry(3, 2)]);
    let effects = receive(&mut replica, LATER, 2, 2, two());
    let [Effect::Persist { entries, .. }, Effect::Send(_)] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(entries, &[entry(3, 2)]);
    assert_eq!(acknowledged(&effects), [3]);
    let heartbeat = || append_request(entry(3, 2), Vec::new());
    let effects = receive(&mut replica, LATER, 2, 2, heartbeat());
    assert_eq!(acknowledged(&effects), [2]);
    let effects = receive(&mut replica, LATER, 2, 2, two());
    assert_eq!(
        acknowledged(&effects),
        [2],
        "the duplicate message writes nothing"
    );
    replica.step(LATER, Input::Persisted { index: 3, term: 2 });
    let effects = receive(&mut replica, LATER, 2, 2, heartbeat());
    assert_eq!(acknowledged(&effects), [3]);
    // A newer leader replaces the entry; the sync of the old one does not cover the new one.
    let newer = append_request(entry(2, 2), vec![entry(3, 3)]);
    receive(&mut replica, LATER, 3, 3, newer);
    replica.step(LATER, Input::Persisted { index: 3, term: 2 });
    let heartbeat = append_request(entry(3, 3), Vec::new());
    let effects = receive(&mut replica, LATER, 3, 3, heartbeat);
    assert_eq!(acknowledged(&effects), [2]);
}

#[test]
fn a_membership_change_is_in_force_until_it_is_replaced() {
    let mut replica = replica(2, vec![entry(2, 2)]);
    let record = MembershipRecord {
        voters: vec![1, 2, 3],
        learners: vec![4],
    };
    let change = Entry {
        kind: EntryKind::Membership as i32,
        data: record.encode_to_vec().into(),
        ..entry(3, 2)
    };
    receive(
        &mut replica,
        LATER,
        2,
        2,
        append_request(entry(2, 2), vec![change]),
    );
    assert_eq!(replica.membership(), &record);
    let other = vec![entry(3, 3), entry(4, 3)];
    receive(
        &mut replica,
        LATER,
        3,
        3,
        append_request(entry(2, 2), other),
    );
    assert_eq!(replica.membership().voters, [1, 2, 3, 4, 5]);
}

/// A single voter becomes leader before its vote for itself is synced. If it sent entries and then
/// crashed, it could lead the same term again with different entries.
#[test]
fn a_leader_sends_nothing_before_its_term_is_synced() {
    let mut recovered = bootstrap_state([1]);
    recovered.snapshot.membership.learners = vec![2];
    let settings = ReplicaSettings::default();
    let mut replica = Replica::new(MemberId(1), recovered, settings, 1, START);
    let effects = replica.step(LATER, Input::Tick);
    let first = |wanted: fn(&Effect) -> bool| effects.iter().position(wanted);
    let persist = first(|effect| matches!(effect, Effect::Persist { .. }));
    let send = first(|effect| matches!(effect, Effect::Send(_)));
    assert!(persist < send, "{effects:?}");
    let command = Bytes::from("early");
    let ticket = Ticket(1);
    replica.step(LATER, Input::Propose { ticket, command });
    let later = LATER + START;
    assert!(sent_payloads(&replica.step(later, Input::Tick)).is_empty());
    let effects = receive(&mut replica, later, 2, 2, append_reply(true, 1, 1));
    assert!(sent_payloads(&effects).is_empty());
    let effects = replica.step(later, Input::Persisted { index: 3, term: 2 });
    assert!(!sent_payloads(&effects).is_empty());
}

fn install_snapshot(index: u64) -> ReplicaPayload {
    ReplicaPayload::InstallSnapshot(InstallSnapshot {
        index,
        term: 2,
        membership: Some(MembershipRecord {
            voters: vec![1, 2, 3, 4, 5],
            ..MembershipRecord::default()
        }),
        ..InstallSnapshot::default()
    })
}

/// The member may have acknowledged these entries, so a delayed snapshot must not drop them.
#[test]
fn entries_after_a_delayed_snapshot_are_kept_if_they_match() {
    let mut replica = self::replica(2, vec![entry(2, 2), entry(3, 2), entry(4, 2)]);
    receive(&mut replica, LATER, 2, 2, install_snapshot(3));
    assert_eq!((replica.commit(), replica.last_index()), (3, 4));
    let effects = receive(
        &mut replica,
        LATER,
        2,
        2,
        append_request(entry(4, 2), Vec::new()),
    );
    assert_eq!(acknowledged(&effects), [4]);
    // An entry of another term at the snapshot's index was never committed, and neither were those after it.
    let mut replica = self::replica(2, vec![entry(2, 1), entry(3, 1), entry(4, 1)]);
    receive(&mut replica, LATER, 2, 2, install_snapshot(3));
    assert_eq!((replica.commit(), replica.last_index()), (3, 3));
}

#[test]
fn an_installed_snapshot_is_acknowledged_only_once_it_is_synced() {
    let mut replica = replica(2, vec![entry(2, 1), entry(3, 1)]);
    let effects = receive(&mut replica, LATER, 2, 2, install_snapshot(5));
    assert!(matches!(
        effects.as_slice(),
        [
            Effect::Persist {
                snapshot: Some(_),
                ..
            },
            Effect::Restore(_),
            Effect::Send(_)
        ]
    ));
    let heartbeat = || append_request(entry(5, 2), Vec::new());
    let effects = receive(&mut replica, LATER, 2, 2, heartbeat());
    assert_eq!(
        acknowledged(&effects),
        [1],
        "only what was committed before"
    );
    replica.step(LATER, Input::Persisted { index: 5, term: 2 });
    let effects = receive(&mut replica, LATER, 2, 2, heartbeat());
    assert_eq!(acknowledged(&effects), [5]);
}

#[test]
fn entries_that_do_not_follow_each_other_are_ignored() {
    for entries in [vec![entry(3, 1)], vec![entry(2, 1), entry(4, 1)]] {
        let mut replica = replica(1, Vec::new());
        let effects = receive(
            &mut replica,
            LATER,
            2,
            1,
            append_request(entry(1, 1), entries),
        );
        assert_eq!(effects, []);
        assert_eq!(replica.last_index(), 1);
    }
}

#[test]
fn a_duplicate_vote_request_waits_for_a_sync_each_time() {
    let mut replica = replica(1, Vec::new());
    for _ in 0..2 {
        let effects = receive(&mut replica, LATER, 2, 2, vote_request(false));
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
fn a_batch_merges_writes_and_delays_only_messages_that_follow_one() {
    let message = |to| ReplicaMessage {
        to,
        ..ReplicaMessage::default()
    };
    let send = |to| Effect::Send(message(to));
    let mut batch = Batch::default();
    let entries = vec![entry(1, 1), entry(2, 1)];
    batch.add(vec![send(1), persist(entries, None), send(2)]);
    batch.add(vec![send(3)]);
    batch.add(vec![persist(vec![entry(2, 2)], None)]);
    assert_eq!(batch.take_messages_before_sync(), [message(1), message(3)]);
    assert_eq!(batch.take_messages_after_sync(), [message(2)]);
    let writes = batch.take_writes();
    assert_eq!(writes.len(), 1);
    assert_eq!(writes[0].entries, [entry(1, 1), entry(2, 2)]);
    let persisted = batch.take_persisted_inputs();
    assert!(matches!(
        persisted.as_slice(),
        [Input::Persisted { index: 2, term: 2 }]
    ));
    assert!(batch.take_persisted_inputs().is_empty());
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
    let parts = writes.iter().map(|w| (w.entries.len(), w.snapshot.clone()));
    assert_eq!(parts.collect::<Vec<_>>(), [(1, Some(snapshot)), (1, None)]);
}
