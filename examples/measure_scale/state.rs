//! Sizes and costs of the replicated state with many claims, and of a gateway's prefix indexes.

use bytes::Bytes;
use flamingocroft::{
    policy::prefix::{MAX_PREFIXES, PrefixIndex},
    ports::{CacheEvent, CacheEvents},
    state::{Action, ClaimCommand, Command, ConfirmIntent, State},
    wire::{ClaimRequest, OutcomeRequest, StoredOutcome},
};
use uuid::Uuid;

use crate::{sizes::intent_json, usage};

const CLAIM_COUNTS: [u64; 3] = [1_000, 10_000, 100_000];
const CHANGE_COUNTS: [u64; 4] = [1, 100, 1_000, 2_400];
const ACCOUNTS: usize = 500;
const OUTCOME_BYTES: usize = 200;
const RETENTION_MS: u64 = 24 * 3600 * 1000;
const PREFIX_COUNTS: [usize; 3] = [1024, 8192, MAX_PREFIXES];
const ENGINES: usize = 32;
/// Repetitions of operations too short for the kernel's accounting of CPU time.
const REPETITIONS: usize = 20;

/// Prints the size of the state and its snapshot for some numbers of claims.
pub fn measure_claims() -> anyhow::Result<()> {
    println!("\nstate with recorded claims, outcomes of {OUTCOME_BYTES} bytes");
    println!(
        "claims | memory bytes/claim | snapshot bytes/claim | apply us/claim | copy ms | encode ms"
    );
    for count in CLAIM_COUNTS {
        let before = usage::read(std::process::id())?;
        let cpu = usage::thread_cpu_seconds()?;
        let state = state_with_claims(count);
        let applied = usage::thread_cpu_seconds()? - cpu;
        let memory = usage::read(std::process::id())?.rss_mib - before.rss_mib;
        let cpu = usage::thread_cpu_seconds()?;
        let snapshots: Vec<usize> = (0..REPETITIONS).map(|_| state.encode().len()).collect();
        let encoded = (usage::thread_cpu_seconds()? - cpu) / REPETITIONS as f64;
        let cpu = usage::thread_cpu_seconds()?;
        // Keep the copies, so that the time to drop them is not included.
        let copies: Vec<State> = (0..REPETITIONS).map(|_| state.clone()).collect();
        let copied = (usage::thread_cpu_seconds()? - cpu) / copies.len() as f64;
        println!(
            "{count:>6} | {:>18.0} | {:>20.0} | {:>14.1} | {:>7.2} | {:>9.2}",
            memory * 1024.0 * 1024.0 / count as f64,
            snapshots[0] as f64 / count as f64,
            applied * 1e6 / count as f64,
            copied * 1e3,
            encoded * 1e3,
        );
        // Leak the state, so that the next one does not reuse its memory and appear smaller.
        std::mem::forget(state);
    }
    Ok(())
}

/// Prints the size of the state after some numbers of confirmed changes.
pub fn measure_changes() -> anyhow::Result<()> {
    let intent = Bytes::from(intent_json(ACCOUNTS));
    println!(
        "\nstate after changes of an intent of {} bytes",
        intent.len()
    );
    println!("changes | snapshot bytes | apply us/change");
    for count in CHANGE_COUNTS {
        let mut state = State::default();
        let cpu = usage::thread_cpu_seconds()?;
        for i in 0..count {
            let confirm = ConfirmIntent {
                operation: Uuid::now_v7().as_bytes().to_vec(),
                base_revision: i,
                intent: intent.clone(),
                changes: vec!["account account-000 has the weight 2 in place of 1".to_owned()],
            };
            let command = Command {
                at_unix_ms: i,
                action: Some(Action::Confirm(confirm)),
            };
            state.apply(i + 1, &command);
        }
        let applied = usage::thread_cpu_seconds()? - cpu;
        assert_eq!(state.configuration().revision(), count);
        println!(
            "{count:>7} | {:>14} | {:>15.0}",
            state.encode().len(),
            applied * 1e6 / count as f64,
        );
    }
    Ok(())
}

fn state_with_claims(count: u64) -> State {
    let mut state = State::default();
    for i in 0..count {
        let key = Uuid::now_v7();
        let created_ms = key.as_u64_pair().0 >> 16;
        let request = ClaimRequest {
            account: "sabkha-depots-south".to_owned(),
            key: key.as_bytes().to_vec(),
            digest: vec![7; 32],
            gateway: format!("gateway-{:03}", i % 330),
            incarnation: 1_796_000_000_000,
            attempt: i,
        };
        let claim = Action::Claim(ClaimCommand {
            request: Some(request.clone()),
            retention_ms: RETENTION_MS,
            skew_ms: 60_000,
        });
        let outcome = Action::RecordOutcome(OutcomeRequest {
            claim: Some(request),
            outcome: Some(StoredOutcome {
                status: 200,
                content_type: "application/json".to_owned(),
                body: Bytes::from(vec![7; OUTCOME_BYTES]),
                ..StoredOutcome::default()
            }),
        });
        for (index, action) in [(2 * i + 1, claim), (2 * i + 2, outcome)] {
            let command = Command {
                at_unix_ms: created_ms,
                action: Some(action),
            };
            state.apply(index, &command);
        }
    }
    assert_eq!(state.claims().len() as u64, count);
    state
}

/// Prints the memory of a prefix index and the cost of a copy, which each poll with events makes.
pub fn measure_prefixes() -> anyhow::Result<()> {
    println!("\na gateway's belief of one engine's cache, mean of {ENGINES} engines");
    println!("prefixes | KiB/engine | copy us");
    for count in PREFIX_COUNTS {
        let before = usage::read(std::process::id())?.rss_mib;
        let indexes: Vec<PrefixIndex> = (0..ENGINES).map(|_| prefix_index(count)).collect();
        let memory = usage::read(std::process::id())?.rss_mib - before;
        let cpu = usage::thread_cpu_seconds()?;
        let copies = indexes.iter().cycle().take(ENGINES * REPETITIONS);
        let copied: usize = copies.map(|index| index.clone().len()).sum();
        let copy = usage::thread_cpu_seconds()? - cpu;
        println!(
            "{:>8} | {:>10.0} | {:>7.0}",
            copied / ENGINES / REPETITIONS,
            memory * 1024.0 / ENGINES as f64,
            copy * 1e6 / (ENGINES * REPETITIONS) as f64,
        );
        std::mem::forget(indexes);
    }
    Ok(())
}

fn prefix_index(count: usize) -> PrefixIndex {
    let events = (0..count as u64).map(|i| CacheEvent {
        prefix: (i + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        tokens: 64,
        stored: true,
    });
    let mut index = PrefixIndex::default();
    index.apply(&CacheEvents {
        events: events.collect(),
        next: count as u64,
        gap: false,
    });
    index
}
