//! The confirmed intent, its revisions and the results of operators' confirms.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::command::ConfirmIntent;
use crate::domain::Intent;

/// Maximum number of results kept for resent operations; the oldest is evicted first.
const MAX_OPERATIONS: usize = 1024;
/// Maximum number of revisions kept for `history` and `explain`.
const MAX_REVISIONS: usize = 256;

/// The result of a confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The intent became the newest revision.
    Confirmed {
        /// The revision.
        revision: u64,
        /// Its index in the log.
        index: u64,
    },
    /// The base revision is not the newest one: another confirm was applied first.
    Conflict {
        /// The newest revision.
        newest: u64,
    },
    /// The operation id was already used with another intent or base revision.
    Reused,
    /// The intent can't be parsed as JSON of an intent.
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
    /// The leader's time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub at_unix_ms: u64,
    /// Descriptions of the changes, one sentence each.
    #[prost(string, repeated, tag = "4")]
    pub changes: Vec<String>,
    /// Its index in the log.
    #[prost(uint64, tag = "5")]
    pub index: u64,
}

/// The result of an operation, returned again if the operation is resent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OperationRecord {
    /// The 16 bytes of the operation id.
    #[prost(bytes = "vec", tag = "1")]
    pub operation: Vec<u8>,
    /// SHA-256 of the base revision and the intent.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The revision that the operation created; zero after a conflict.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The revision's log index, or after a conflict the newest revision at that time.
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

    /// Applies a compare-and-set on the revision. A resent operation gets its first result.
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
        let confirmed = command.base_revision == self.revision;
        if confirmed {
            self.add_revision(index, at_unix_ms, command, intent);
        }
        let record = OperationRecord {
            operation: command.operation.clone(),
            digest,
            revision: if confirmed { self.revision } else { 0 },
            detail: if confirmed { index } else { self.revision },
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

    /// Returns the kept results for a snapshot, oldest first.
    pub fn operations(&self) -> Vec<OperationRecord> {
        self.operation_order
            .iter()
            .filter_map(|operation| self.operations.get(operation))
            .cloned()
            .collect()
    }

    /// Builds the configuration from a snapshot. Returns `None` if the intent is malformed.
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
