//! The shares that one gateway may still use. A reply with smaller shares can be lost, so capacity
//! is released only when the gateway confirms the smaller shares.

use std::collections::BTreeMap;

use crate::{policy::allocate::Allocation, wire::ShareRecord};

/// Shares sent to the gateway under one version.
#[derive(Clone, Debug, Default, PartialEq)]
struct SentShares {
    version: u64,
    shares: Vec<ShareRecord>,
}

/// The shares that the gateway last confirmed, followed by all shares sent since, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutstandingShares {
    sent: Vec<SentShares>,
}

impl OutstandingShares {
    /// Returns the shares sent last and their version; version zero if none were sent.
    pub fn latest(&self) -> (u64, &[ShareRecord]) {
        self.sent
            .last()
            .map_or((0, &[]), |sent| (sent.version, &sent.shares))
    }

    /// Appends shares that every reply from now on may carry.
    pub fn record_sent(&mut self, version: u64, shares: Vec<ShareRecord>) {
        self.sent.push(SentShares { version, shares });
    }

    /// Drops the shares older than the version that the gateway uses. A version that this leader did
    /// not send, such as one of an earlier leader, confirms nothing.
    pub fn confirm(&mut self, version: u64) {
        if let Some(used) = self.sent.iter().position(|sent| sent.version == version) {
            self.sent.drain(..used);
        }
    }

    /// Returns the largest number of slots that the gateway may still use for each service and account.
    pub fn max_allocations(&self, gateway: &str) -> Vec<Allocation> {
        let mut largest = BTreeMap::<(&str, &str), u32>::new();
        for share in self.sent.iter().flat_map(|sent| &sent.shares) {
            let slots = largest.entry((&share.service, &share.account)).or_default();
            *slots = share.slots.max(*slots);
        }
        largest
            .into_iter()
            .map(|((service, account), slots)| Allocation {
                gateway: gateway.into(),
                service: service.into(),
                account: account.into(),
                slots,
            })
            .collect()
    }
}
