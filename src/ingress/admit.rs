//! Identifies a request's account and enforces the account's quota.

use std::time::Duration;

use super::{
    Core,
    errors::{Failure, NotRun, RequestError},
};
use crate::{
    domain::{AccountName, Route, RouteIndex},
    ports::{Clock, Platform, RequestMetadata},
    wire::{Body, ReserveRequest},
};

/// Timeout of a call for the leader's quota reserve; many times a round trip between zones.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the account that the request's key belongs to, or `None` if the route needs no account.
pub(super) fn find_account(
    table: &RouteIndex,
    route: &Route,
    facts: &RequestMetadata,
) -> Result<Option<AccountName>, RequestError> {
    if route.public || table.table.accounts.is_empty() {
        return Ok(None);
    }
    let key = facts.key.as_deref().ok_or(Failure::UnknownKey)?;
    let account = table.account(key).ok_or(Failure::UnknownKey)?;
    Ok(Some(account.name.clone()))
}

/// Takes a request's units from this gateway's part of the quota, or else from the leader's reserve.
pub(super) async fn take_quota<P: Platform, T: Clock>(
    core: &Core<P, T>,
    account: &AccountName,
    facts: &RequestMetadata,
) -> Result<(), NotRun> {
    let now = core.clock.monotonic();
    let taken = core.quotas.try_take(account, facts.prompt.as_ref(), now);
    let Err(shortfall) = taken else {
        return Ok(());
    };
    let Some(leader) = core.leader.load_full() else {
        return Err(NotRun::OverQuota(shortfall.wait));
    };
    let request = Body::ReserveRequest(ReserveRequest {
        account: account.to_string(),
        units: shortfall.units,
        per_second: shortfall.reserve.per_second,
        capacity: shortfall.reserve.capacity,
        allowed: shortfall.allowed,
        incarnation: core.incarnation,
    });
    match leader.call(request, RESERVE_TIMEOUT).await {
        Ok(Body::ReserveReply(reply)) if reply.granted => {
            let now = core.clock.monotonic();
            core.quotas.record_grant(account, shortfall.units, now);
            Ok(())
        }
        Ok(Body::ReserveReply(reply)) => {
            let granted_in = Duration::from_millis(reply.wait_ms);
            let now = core.clock.monotonic();
            core.quotas
                .record_refusal(account, shortfall.units, granted_in, now);
            let wait = match shortfall.allowed > 0.0 {
                true => granted_in,
                false => shortfall.wait.min(granted_in),
            };
            Err(NotRun::OverQuota(wait))
        }
        Ok(_) | Err(_) => Err(NotRun::OverQuota(shortfall.wait)),
    }
}
