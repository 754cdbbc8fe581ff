//! Records metrics on the path of a request, with atomics only.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use super::histogram::Histogram;
use crate::domain::{AccountName, RefusalKind, TierName};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn us(us: u64) -> Duration {
    Duration::from_micros(us)
}

/// Histogram buckets for the time to the first token, finer up to the target of 640 ms.
pub(super) const FIRST_TOKEN_BUCKETS: &[Duration] = &[
    ms(10),
    ms(20),
    ms(40),
    ms(80),
    ms(160),
    ms(240),
    ms(320),
    ms(400),
    ms(480),
    ms(560),
    ms(640),
    ms(720),
    ms(800),
    ms(960),
    ms(1280),
    ms(1920),
    ms(2560),
    ms(5120),
    ms(10240),
];

/// Histogram buckets for the time between two tokens, finer up to the target of 26 ms.
pub(super) const BETWEEN_TOKENS_BUCKETS: &[Duration] = &[
    us(500),
    ms(1),
    ms(2),
    ms(4),
    ms(8),
    ms(13),
    ms(16),
    ms(20),
    ms(23),
    ms(26),
    ms(30),
    ms(36),
    ms(45),
    ms(60),
    ms(80),
    ms(120),
    ms(250),
    ms(500),
    ms(1000),
    ms(2000),
];

/// Histogram buckets for the time that a request waits for admission.
pub(super) const QUEUE_WAIT_BUCKETS: &[Duration] = &[
    us(100),
    us(500),
    ms(1),
    ms(2),
    ms(5),
    ms(10),
    ms(20),
    ms(40),
    ms(80),
    ms(160),
    ms(320),
    ms(640),
    ms(1280),
    ms(2560),
    ms(5120),
    ms(10240),
];

/// Histogram buckets for the time from a request's arrival to the end of its answer.
pub(super) const ANSWER_BUCKETS: &[Duration] = &[
    ms(20),
    ms(40),
    ms(80),
    ms(160),
    ms(320),
    ms(640),
    ms(1280),
    ms(2560),
    ms(5120),
    ms(10240),
    ms(20480),
];

/// Histogram buckets for the time to commit a log entry and for the time to sync entries to disk.
pub(super) const COMMIT_BUCKETS: &[Duration] = &[
    us(200),
    us(500),
    ms(1),
    ms(2),
    ms(4),
    ms(8),
    ms(16),
    ms(32),
    ms(64),
    ms(128),
    ms(256),
    ms(512),
    ms(1024),
    ms(2048),
    ms(4096),
];

/// How a request of a published route ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// A successful response of an upstream was forwarded whole.
    Answered,
    /// An error response of an upstream was forwarded whole.
    UpstreamFailed,
    /// The response of an upstream was cut off after it had begun.
    Cut,
    /// The caller's connection ended before the response.
    CallerLeft,
    /// The request was refused and has not run.
    Refused,
    /// The request may have run, and the caller got no response of an upstream.
    Failed,
    /// No route, key or limit allows the request.
    NotAllowed,
}

impl RequestOutcome {
    /// All outcomes, in the order of their discriminants.
    pub const ALL: [Self; 7] = [
        Self::Answered,
        Self::UpstreamFailed,
        Self::Cut,
        Self::CallerLeft,
        Self::Refused,
        Self::Failed,
        Self::NotAllowed,
    ];

    /// Returns the value of the `outcome` label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamFailed => "upstream_failed",
            Self::Cut => "cut",
            Self::CallerLeft => "caller_left",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::NotAllowed => "not_allowed",
        }
    }
}

/// Metrics recorded for one account.
#[derive(Debug)]
pub(super) struct AccountRecorder {
    pub(super) account: AccountName,
    pub(super) tier: TierName,
    pub(super) first_token: Histogram,
    pub(super) between_tokens: Histogram,
    pub(super) queue_wait: Histogram,
    pub(super) answer: Histogram,
    outcomes: [AtomicU64; RequestOutcome::ALL.len()],
    pub(super) recomputed_tokens: AtomicU64,
    pub(super) spent_micros: AtomicU64,
}

impl AccountRecorder {
    pub(super) fn new(account: AccountName, tier: TierName) -> Self {
        Self {
            account,
            tier,
            first_token: Histogram::new(FIRST_TOKEN_BUCKETS),
            between_tokens: Histogram::new(BETWEEN_TOKENS_BUCKETS),
            queue_wait: Histogram::new(QUEUE_WAIT_BUCKETS),
            answer: Histogram::new(ANSWER_BUCKETS),
            outcomes: std::array::from_fn(|_| AtomicU64::new(0)),
            recomputed_tokens: AtomicU64::new(0),
            spent_micros: AtomicU64::new(0),
        }
    }
}

impl AccountRecorder {
    /// Counts a request that ended with this outcome.
    pub(super) fn count_outcome(&self, outcome: RequestOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count of each outcome that occurred.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = (RequestOutcome, u64)> {
        RequestOutcome::ALL
            .into_iter()
            .zip(&self.outcomes)
            .map(|(outcome, count)| (outcome, count.load(Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
    }
}

/// Metrics recorded in a process.
#[derive(Debug)]
pub(super) struct ProcessRecorder {
    pub(super) commit: Histogram,
    pub(super) sync: Histogram,
    refusals: [AtomicU64; RefusalKind::ALL.len()],
    accounts: Mutex<BTreeMap<(AccountName, TierName), Arc<AccountRecorder>>>,
}

impl Default for ProcessRecorder {
    fn default() -> Self {
        Self {
            commit: Histogram::new(COMMIT_BUCKETS),
            sync: Histogram::new(COMMIT_BUCKETS),
            refusals: std::array::from_fn(|_| AtomicU64::new(0)),
            accounts: Mutex::default(),
        }
    }
}

impl ProcessRecorder {
    /// Returns the recorder of an account; each call returns the same one.
    pub(super) fn account(&self, account: &AccountName, tier: &TierName) -> Arc<AccountRecorder> {
        let new_recorder = || AccountRecorder::new(account.clone(), tier.clone());
        let mut accounts = self.lock_accounts();
        let entry = accounts.entry((account.clone(), tier.clone()));
        Arc::clone(entry.or_insert_with(|| Arc::new(new_recorder())))
    }

    /// Returns the recorders of all accounts.
    pub(super) fn accounts(&self) -> Vec<Arc<AccountRecorder>> {
        self.lock_accounts().values().cloned().collect()
    }

    /// Counts a refused request.
    pub(super) fn count_refusal(&self, kind: RefusalKind) {
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count of refused requests by kind.
    pub(super) fn refusals(&self) -> impl Iterator<Item = (RefusalKind, u64)> {
        RefusalKind::ALL
            .into_iter()
            .zip(&self.refusals)
            .map(|(kind, count)| (kind, count.load(Ordering::Relaxed)))
    }

    /// Locks the accounts. No request waits for this lock: handles are created when a view changes.
    fn lock_accounts(
        &self,
    ) -> MutexGuard<'_, BTreeMap<(AccountName, TierName), Arc<AccountRecorder>>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
