//! Client accounts in the form that request handling reads.

use std::sync::Arc;

use crate::{
    domain::{Account, AccountName, Priority, Tier, View},
    telemetry::{AccountMetrics, Metrics},
};

/// An account that callers can authenticate as.
#[derive(Debug)]
pub(crate) struct AccountEntry {
    /// SHA-256 of its bearer token.
    pub(super) token_hash: Vec<u8>,
    /// The account's name.
    pub(crate) name: AccountName,
    /// Its tier.
    pub(crate) tier: Tier,
    /// Its metrics.
    pub(crate) metrics: AccountMetrics,
}

impl AccountEntry {
    /// Returns the priority of the account's requests.
    pub(crate) fn priority(&self) -> Priority {
        match self.tier.paying {
            true => Priority::Paying,
            false => Priority::Free,
        }
    }

    /// Returns whether another entry has the same bearer token.
    pub(crate) fn has_same_token(&self, other: &Self) -> bool {
        self.token_hash == other.token_hash
    }
}

/// Builds the accounts of a view and keeps the metrics of earlier entries. An account without a
/// known tier or a readable token hash is left out.
pub(super) fn account_entries(
    view: &View,
    before: &[Arc<AccountEntry>],
    metrics: &Metrics,
) -> Vec<Arc<AccountEntry>> {
    view.intent
        .accounts
        .iter()
        .filter_map(|account| account_entry(account, view, before, metrics))
        .collect()
}

fn account_entry(
    account: &Account,
    view: &View,
    before: &[Arc<AccountEntry>],
    metrics: &Metrics,
) -> Option<Arc<AccountEntry>> {
    let tier = view
        .intent
        .tiers
        .iter()
        .find(|tier| tier.name == account.tier)?;
    let token_hash = decode_hex(&account.token_sha256)?;
    let old = before.iter().find(|old| old.name == account.name);
    let metrics = match old {
        Some(old) if old.tier.name == tier.name => old.metrics.clone(),
        _ => metrics.for_account(&account.name, &tier.name),
    };
    Some(Arc::new(AccountEntry {
        token_hash,
        name: account.name.clone(),
        tier: tier.clone(),
        metrics,
    }))
}

/// Decodes hexadecimal digits; `None` for other text.
pub(crate) fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
