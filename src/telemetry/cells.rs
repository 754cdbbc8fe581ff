//! What is recorded on the path of a request, in atomics.

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

/// Buckets of the time to the first token, dense up to the target of 640 ms.
pub(super) const FIRST_TOKEN: &[Duration] = &[
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

/// Buckets of the time between two tokens, dense up to the target of 26 ms.
pub(super) const BETWEEN_TOKENS: &[Duration] = &[
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

/// Buckets of the wait for admission.
pub(super) const QUEUE_WAIT: &[Duration] = &[
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

/// Buckets of the time to the end of an answer.
pub(super) const ANSWER: &[Duration] = &[
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

/// Buckets of the times to sync and to commit an entry.
pub(super) const COMMIT: &[Duration] = &[
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
    /// An upstream's success was passed on.
    Answered,
    /// An upstream's failure was passed on.
    UpstreamFailed,
    /// It has not run.
    Refused,
    /// It may have run and has no answer.
    Failed,
    /// No route, key or limit allows it.
    NotAllowed,
}

impl RequestOutcome {
    /// All outcomes, in the order of their numbers.
    pub const ALL: [Self; 5] = [
        Self::Answered,
        Self::UpstreamFailed,
        Self::Refused,
        Self::Failed,
        Self::NotAllowed,
    ];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamFailed => "upstream_failed",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::NotAllowed => "not_allowed",
        }
    }
}

/// What is recorded for one account.
#[derive(Debug)]
pub(super) struct AccountCells {
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

impl AccountCells {
    pub(super) fn new(account: AccountName, tier: TierName) -> Self {
        Self {
            account,
            tier,
            first_token: Histogram::new(FIRST_TOKEN),
            between_tokens: Histogram::new(BETWEEN_TOKENS),
            queue_wait: Histogram::new(QUEUE_WAIT),
            answer: Histogram::new(ANSWER),
            outcomes: std::array::from_fn(|_| AtomicU64::new(0)),
            recomputed_tokens: AtomicU64::new(0),
            spent_micros: AtomicU64::new(0),
        }
    }
}

impl AccountCells {
    /// Counts the end of a request.
    pub(super) fn outcome(&self, outcome: RequestOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the outcomes that were counted.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = (RequestOutcome, u64)> {
        RequestOutcome::ALL
            .into_iter()
            .zip(&self.outcomes)
            .map(|(outcome, count)| (outcome, count.load(Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
    }
}

/// What is recorded in a process.
#[derive(Debug)]
pub(super) struct Cells {
    pub(super) commit: Histogram,
    pub(super) sync: Histogram,
    refusals: [AtomicU64; RefusalKind::ALL.len()],
    accounts: Mutex<BTreeMap<(AccountName, TierName), Arc<AccountCells>>>,
}

impl Default for Cells {
    fn default() -> Self {
        Self {
            commit: Histogram::new(COMMIT),
            sync: Histogram::new(COMMIT),
            refusals: std::array::from_fn(|_| AtomicU64::new(0)),
            accounts: Mutex::default(),
        }
    }
}

impl Cells {
    /// Returns the cells of an account, the same ones each time.
    pub(super) fn account(&self, account: &AccountName, tier: &TierName) -> Arc<AccountCells> {
        let cells = || AccountCells::new(account.clone(), tier.clone());
        let mut accounts = self.lock();
        let entry = accounts.entry((account.clone(), tier.clone()));
        Arc::clone(entry.or_insert_with(|| Arc::new(cells())))
    }

    /// Returns the cells of all accounts.
    pub(super) fn accounts(&self) -> Vec<Arc<AccountCells>> {
        self.lock().values().cloned().collect()
    }

    /// Counts a refusal.
    pub(super) fn refusal(&self, kind: RefusalKind) {
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the refusals by kind.
    pub(super) fn refusals(&self) -> impl Iterator<Item = (RefusalKind, u64)> {
        RefusalKind::ALL
            .into_iter()
            .zip(&self.refusals)
            .map(|(kind, count)| (kind, count.load(Ordering::Relaxed)))
    }

    /// No request waits for this lock: handles are made when a view changes.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(AccountName, TierName), Arc<AccountCells>>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
