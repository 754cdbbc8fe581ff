//! The shares that one gateway may still use. A reply with smaller shares can be lost, so capacity
//! counts as given up only once the gateway confirms it.

use std::collections::BTreeMap;

use crate::{policy::allocate::Allocation, wire::ShareRecord};

/// Shares that were sent under one version.
#[derive(Clone, Debug, Default, PartialEq)]
struct SentShares {
    version: u64,
    shares: Vec<ShareRecord>,
}

/// The shares that the gateway last confirmed and all that were sent to it since, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldShares {
    sent: Vec<SentShares>,
}

impl HeldShares {
    /// Returns the shares that were sent last, with their version; version zero if there are none.
    pub fn newest(&self) -> (u64, &[ShareRecord]) {
        self.sent
            .last()
            .map_or((0, &[]), |sent| (sent.version, &sent.shares))
    }

    /// Adds shares that are sent from now on.
    pub fn send(&mut self, version: u64, shares: Vec<ShareRecord>) {
        self.sent.push(SentShares { version, shares });
    }

    /// Forgets the shares before those that the gateway says it uses. A version that was not sent,
    /// such as one of an earlier leader, confirms nothing.
    pub fn confirm(&mut self, version: u64) {
        if let Some(used) = self.sent.iter().position(|sent| sent.version == version) {
            self.sent.drain(..used);
        }
    }

    /// Returns the largest slots that the gateway may still use for each service and account.
    pub fn allocations(&self, gateway: &str) -> Vec<Allocation> {
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
