//! Messages that no correct member would send neither make a replica panic nor revert committed entries.

mod replication_support;

use std::time::Duration;

use flamingocroft::{
    replication::{Effect, Input},
    wire::{
        AppendReply, AppendRequest, Entry, InstallSnapshot, InstallSnapshotReply, MembershipRecord,
        ReplicaPayload, VoteReply, VoteRequest,
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use replication_support::single::{START, entry, receive, replica};

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![20 => 0..8u64, 1 => Just(u64::MAX / 2)]
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    prop::collection::vec((number(), 0..5u64).prop_map(|(i, t)| entry(i, t)), 0..4)
}

fn payload() -> impl Strategy<Value = ReplicaPayload> {
    let numbers = || (number(), number(), number(), any::<bool>());
    prop_oneof![
        numbers().prop_map(|(last_index, last_term, _, pre_vote)| ReplicaPayload::Vote(
            VoteRequest {
                pre_vote,
                last_index,
                last_term,
            }
        )),
        any::<(bool, bool)>().prop_map(|(pre_vote, granted)| ReplicaPayload::VoteReply(
            VoteReply { pre_vote, granted }
        )),
        (numbers(), entries()).prop_map(|((previous_index, previous_term, commit, _), entries)| {
            ReplicaPayload::Append(AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit,
                round: 1,
            })
        }),
        numbers().prop_map(
            |(index, round, _, matched)| ReplicaPayload::AppendReply(AppendReply {
                matched,
                index,
                round,
            })
        ),
        numbers().prop_map(|(index, term, offset, _)| ReplicaPayload::InstallSnapshot(
            InstallSnapshot {
                index,
                term,
                membership: Some(MembershipRecord {
                    voters: vec![1, 2, 3],
                    learners: Vec::new(),
                }),
                offset,
                total: offset,
                ..InstallSnapshot::default()
            }
        )),
        numbers().prop_map(|(index, round, offset, _)| {
            ReplicaPayload::InstallSnapshotReply(InstallSnapshotReply {
                index,
                round,
                offset,
            })
        }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn stray_messages_neither_panic_nor_revert_commits(
        messages in prop::collection::vec((2..6u64, 1..6u64, payload(), 0..200u64), 1..60),
    ) {
        let mut replica = replica(1, vec![entry(2, 1), entry(3, 1)]);
        let mut now = START;
        let mut applied = replica.applied();
        for (from, term, payload, pause) in messages {
            now += Duration::from_millis(pause);
            let mut effects = replica.step(now, Input::Tick);
            effects.extend(receive(&mut replica, now, from, term, payload));
            for effect in effects {
                match effect {
                    Effect::Apply { entry, .. } => {
                        prop_assert_eq!(entry.index, applied + 1);
                        applied = entry.index;
                    }
                    Effect::Restore(snapshot) => {
                        prop_assert!(snapshot.index > applied);
                        applied = snapshot.index;
                    }
                    _ => {}
                }
            }
        }
    }
}
