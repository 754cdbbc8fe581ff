//! Differential test: the replicated state returns the same results as a naive model for random commands,
//! and encoding and decoding a snapshot changes nothing.

mod naive;

use bytes::Bytes;
use flamingocroft::{
    state::{
        Action, AllocateFence, ClaimCommand, Command, ConfirmIntent, ExpireClaims, MarkUnknown,
        Observation, ObserveInstances, Publish, SettleRollout, SettleStart, Sighting, StartOrder,
        StartRollout, State, UsageRecord,
    },
    wire::{
        AccountCount, ClaimRequest, InstanceRecord, LeavingNotice, OutcomeRequest, ReleaseRequest,
        StoredOutcome,
    },
};
use naive::Naive;
use proptest::prelude::*;

const START_MS: u64 = 1_700_000_000_000;
const RETENTION_MS: u64 = 1000;
/// Services with roll-outs.
const SERVICES: [&str; 2] = ["a", "b"];

fn key(created: u64, tail: u8) -> Vec<u8> {
    let mut key = created.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, tail]);
    key
}

fn claim() -> impl Strategy<Value = ClaimRequest> {
    (0..2u8, 0..3u64, 0..2u8, 0..10u8, 0..2u8, 1..3u64, 0..2u64).prop_map(
        |(account, created, tail, digest, gateway, incarnation, attempt)| ClaimRequest {
            account: format!("account-{account}"),
            key: key(START_MS + created * 700, tail),
            digest: vec![u8::from(digest == 0); 32],
            gateway: format!("g{gateway}"),
            incarnation,
            attempt,
        },
    )
}

fn confirm() -> impl Strategy<Value = Action> {
    (0..6u8, 0..4u64, 1..3u32).prop_map(|(operation, base_revision, size)| {
        let mut intent = flamingocroft::domain::Intent::default();
        intent.limits.max_instances = size;
        Action::Confirm(ConfirmIntent {
            operation: vec![operation; 16],
            base_revision,
            intent: Bytes::from(serde_json::to_vec(&intent).unwrap()),
            changes: vec![format!("limit {size}")],
        })
    })
}

fn sighting() -> impl Strategy<Value = Sighting> {
    (0..3u8, 1..4u64, 0..4u8).prop_map(|(name, incarnation, kind)| {
        let instance = format!("i-{name}");
        let notice = LeavingNotice {
            instance: instance.clone(),
            incarnation,
        };
        match kind {
            0 => Sighting::Leaving(notice),
            1 => Sighting::Gone(notice),
            kind => Sighting::Seen(InstanceRecord {
                name: instance,
                incarnation,
                service: "manifest".into(),
                address: "127.0.0.1:9".into(),
                state: u32::from(kind == 2 && incarnation == 3),
                ..InstanceRecord::default()
            }),
        }
    })
}

fn outcome() -> impl Strategy<Value = Option<StoredOutcome>> {
    proptest::option::of((0..3u32).prop_map(|status| StoredOutcome {
        status: 200 + status,
        ..StoredOutcome::default()
    }))
}

fn action() -> impl Strategy<Value = Action> {
    let observe = proptest::collection::vec(sighting(), 1..3).prop_map(|sightings| {
        let observation = |sighting| Observation {
            reason: "a test saw it".into(),
            sighting: Some(sighting),
        };
        let observations = sightings.into_iter().map(observation).collect();
        Action::Observe(ObserveInstances { observations })
    });
    let mark = (0..2u8, 1..3u64).prop_map(|(gateway, incarnation)| {
        Action::MarkUnknown(MarkUnknown {
            gateway: format!("g{gateway}"),
            incarnation,
        })
    });
    prop_oneof![
        8 => claim().prop_map(|request| Action::Claim(ClaimCommand {
            request: Some(request),
            retention_ms: RETENTION_MS,
            skew_ms: 900,
        })),
        4 => (claim(), outcome()).prop_map(|(claim, outcome)| {
            Action::RecordOutcome(OutcomeRequest { claim: Some(claim), outcome })
        }),
        3 => claim().prop_map(|c| Action::ReleaseClaim(ReleaseRequest { claim: Some(c) })),
        2 => confirm(),
        1 => (0..1500u64).prop_map(|after| Action::ExpireClaims(ExpireClaims {
            before_unix_ms: START_MS + after,
        })),
        2 => mark,
        3 => observe,
        1 => Just(Action::OrderStart(StartOrder::default())),
        2 => (0..40u64, "(i-[0-2])?").prop_map(|(index, instance)| {
            Action::SettleStart(SettleStart { index, instance })
        }),
        1 => Just(Action::AllocateFence(AllocateFence {})),
        2 => (1..9u64, 0..3u8).prop_map(|(version, content)| Action::Publish(Publish {
            version,
            document: Bytes::from(vec![content]),
        })),
        2 => (1..9u64, 0..3u64).prop_map(|(window, count)| Action::RecordUsage(UsageRecord {
            window,
            counts: vec![AccountCount { account: "a".into(), count }],
        })),
        3 => (0..2u8, 1..4u8, 1..3u64).prop_map(|(service, target, duration)| {
            Action::StartRollout(StartRollout {
                service: SERVICES[usize::from(service)].into(),
                target: format!("v{target}"),
                duration_ms: duration * 1000,
            })
        }),
        3 => (1..40u64, 1..3i32).prop_map(|(order, state)| {
            Action::SettleRollout(SettleRollout { order, state })
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn state_equals_naive_state(
        commands in proptest::collection::vec((action(), 0..2000u64), 1..60),
        snapshot_at in 0..60usize,
    ) {
        let mut state = State::default();
        let mut naive = Naive::default();
        for (number, (action, after)) in commands.into_iter().enumerate() {
            let index = number as u64 + 1;
            let command = Command { at_unix_ms: START_MS + after, action: Some(action) };
            prop_assert_eq!(state.apply(index, &command), naive.apply(index, &command), "{:?}", command);
            if number == snapshot_at {
                let restored = State::decode(&state.encode()).unwrap();
                prop_assert_eq!(&restored, &state);
                state = restored;
            }
            prop_assert_eq!(state.configuration().revision(), naive.revision());
            prop_assert_eq!(state.claims().len(), naive.claims());
            let published = state.published();
            let held = naive.published().map(|p| (p.version, p.document.clone()));
            prop_assert_eq!((published.version, published.document.clone()), held.unwrap_or_default());
            let usage: Vec<_> = state.usage().windows_after(0).cloned().collect();
            prop_assert_eq!(usage, naive.usage());
            for service in SERVICES {
                let held = state.rollouts().get(service);
                let held = held.map(|held| (held.index, held.order.target.clone(), held.state()));
                prop_assert_eq!(held, naive.rollout(service));
            }
            let present: Vec<_> = state.instances().present().cloned().collect();
            prop_assert_eq!(present, naive.present());
            let starts = state.starts().open_orders().map(|start| (start.index, start.instance.clone()));
            prop_assert_eq!(starts.collect::<Vec<_>>(), naive.starts());
        }
    }
}
