//! The confirmed intent, its revisions and the answers to operators' orders.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::command::ConfirmIntent;
use crate::domain::Intent;

/// Answers kept for resent orders; the oldest is dropped first.
const MAX_OPERATIONS: usize = 1024;
/// Revisions kept for `history` and `explain`.
const MAX_REVISIONS: usize = 256;

/// How a confirm ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The intent is the newest revision.
    Confirmed {
        /// The revision.
        revision: u64,
        /// Its index in the log.
        index: u64,
    },
    /// Another confirm came first.
    Conflict {
        /// The newest revision.
        newest: u64,
    },
    /// The operation id was used for another intent or revision.
    Reused,
    /// The intent is not valid JSON of an intent.
    Malformed,
}

/// One confirmed revision, kept for `history`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RevisionRecord {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The 16 bytes of the operation id.
    #[prost(bytes = "vec", tag = "2")]
    pub operation: Vec<u8>,
    /// The leader's time.
    #[prost(uint64, tag = "3")]
    pub at_unix_ms: u64,
    /// What changed, a sentence each.
    #[prost(string, repeated, tag = "4")]
    pub changes: Vec<String>,
    /// Its index in the log.
    #[prost(uint64, tag = "5")]
    pub index: u64,
}

/// The answer to an operation, kept for when it is resent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OperationRecord {
    /// The 16 bytes of the operation id.
    #[prost(bytes = "vec", tag = "1")]
    pub operation: Vec<u8>,
    /// SHA-256 of what was asked.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The revision that it made; zero if it lost.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The index in the log, or for a loser the revision that was the newest.
    #[prost(uint64, tag = "4")]
    pub detail: u64,
}

impl OperationRecord {
    fn outcome(&self) -> ConfirmOutcome {
        match self.revision {
            0 => ConfirmOutcome::Conflict {
                newest: self.detail,
            },
            revision => ConfirmOutcome::Confirmed {
                revision,
                index: self.detail,
            },
        }
    }
}

/// The confirmed configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    revision: u64,
    index: u64,
    json: Bytes,
    intent: Arc<Intent>,
    history: VecDeque<RevisionRecord>,
    operations: BTreeMap<Vec<u8>, OperationRecord>,
    operation_order: VecDeque<Vec<u8>>,
}

impl Configuration {
    /// Returns the newest revision; zero before the first confirm.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the log index of the newest revision.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the intent as JSON; empty before the first confirm.
    pub fn json(&self) -> &Bytes {
        &self.json
    }

    /// Returns the intent.
    pub fn intent(&self) -> &Arc<Intent> {
        &self.intent
    }

    /// Returns the kept revisions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &RevisionRecord> {
        self.history.iter()
    }

    /// Applies a compare-and-set on the revision. A resent operation gets its first answer.
    pub fn confirm(
        &mut self,
        index: u64,
        at_unix_ms: u64,
        command: &ConfirmIntent,
    ) -> ConfirmOutcome {
        let digest = digest(command);
        if let Some(first) = self.operations.get(&command.operation) {
            if first.digest != digest {
                return ConfirmOutcome::Reused;
            }
            return first.outcome();
        }
        let Ok(intent) = serde_json::from_slice::<Intent>(&command.intent) else {
            return ConfirmOutcome::Malformed;
        };
        let won = command.base_revision == self.revision;
        if won {
            self.add_revision(index, at_unix_ms, command, intent);
        }
        let record = OperationRecord {
            operation: command.operation.clone(),
            digest,
            revision: if won { self.revision } else { 0 },
            detail: if won { index } else { self.revision },
        };
        let outcome = record.outcome();
        self.store_operation(record);
        outcome
    }

    fn add_revision(
        &mut self,
        index: u64,
        at_unix_ms: u64,
        command: &ConfirmIntent,
        intent: Intent,
    ) {
        self.revision += 1;
        self.index = index;
        self.json = command.intent.clone();
        self.intent = Arc::new(intent);
        self.history.push_back(RevisionRecord {
            revision: self.revision,
            operation: command.operation.clone(),
            at_unix_ms,
            changes: command.changes.clone(),
            index,
        });
        if self.history.len() > MAX_REVISIONS {
            self.history.pop_front();
        }
    }

    fn store_operation(&mut self, record: OperationRecord) {
        self.operation_order.push_back(record.operation.clone());
        self.operations.insert(record.operation.clone(), record);
        if self.operation_order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    /// Returns the kept answers in the order in which they were made, for a snapshot.
    pub fn operations(&self) -> Vec<OperationRecord> {
        self.operation_order
            .iter()
            .filter_map(|operation| self.operations.get(operation))
            .cloned()
            .collect()
    }

    /// Builds the configuration from a snapshot; returns nothing if the intent is malformed.
    pub fn from_records(
        revision: u64,
        index: u64,
        json: Bytes,
        history: Vec<RevisionRecord>,
        operations: Vec<OperationRecord>,
    ) -> Option<Self> {
        let intent = match json.is_empty() {
            true => Intent::default(),
            false => serde_json::from_slice(&json).ok()?,
        };
        let mut configuration = Self {
            revision,
            index,
            json,
            intent: Arc::new(intent),
            history: history.into(),
            ..Self::default()
        };
        for record in operations {
            configuration.store_operation(record);
        }
        Some(configuration)
    }
}

fn digest(command: &ConfirmIntent) -> Vec<u8> {
    let mut hash = Sha256::new();
    hash.update(command.base_revision.to_be_bytes());
    hash.update(&command.intent);
    hash.finalize().to_vec()
}
