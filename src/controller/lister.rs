//! Reads the platform's list of upstreams while this controller leads, so that there is one reader for
//! all gateways, and lets those that follow know what changed.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::{
    ports::{Clock, ListedUpstream, Platform},
    wire::UpstreamRow,
};

/// Longest time for the whole list to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list until the token is cancelled.
pub(super) async fn run<T: Clock, P: Platform>(
    core: Arc<Core<T>>,
    platform: Arc<P>,
    every: Duration,
    stop: CancellationToken,
) {
    let mut tick = interval(every);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    // A new leader reads the list at once; gateways that were all started anew have none.
    let mut took_up = core.watch_fleet();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Ok(()) = took_up.changed() => {}
            () = stop.cancelled() => return,
        }
        if !core.leads() {
            continue;
        }
        let term = core.fleet().term();
        let read = tokio::select! {
            read = timeout(READ_TIMEOUT, platform.upstreams()) => read,
            () = stop.cancelled() => return,
        };
        let failure = match read {
            Ok(Ok(list)) => {
                take(&core, term, list);
                None
            }
            Ok(Err(e)) => Some(e.to_string()),
            Err(_) => Some("it did not come in time".to_owned()),
        };
        if failing != failure.is_some() {
            failing = !failing;
            match failure {
                Some(e) => log::warn!(
                    event = "list.unreadable", term = term;
                    "controller: the list of upstreams cannot be read: {e}"
                ),
                None => log::info!(
                    event = "list.readable", term = term;
                    "controller: the list of upstreams can be read again"
                ),
            }
        }
    }
}

fn take<T: Clock>(core: &Core<T>, term: u64, list: Vec<ListedUpstream>) {
    let mut rows: Vec<_> = list.into_iter().map(row).collect();
    rows.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
    let mut followers = core.followers();
    if rows.is_empty() && !followers.list().rows.is_empty() {
        log::warn!("controller: the list of upstreams is empty; the last one is kept.");
        return;
    }
    let before = followers.list().rows.len();
    if !followers.take_list(term, rows) {
        return;
    }
    let list = followers.list();
    log::info!(
        event = "list.changed", term = term, before = before, upstreams = list.rows.len(),
        leaving = list.rows.iter().filter(|row| row.leaving).count();
        "controller: the list of upstreams changed"
    );
    drop(followers);
    core.note_followers_change();
}

fn row(listed: ListedUpstream) -> UpstreamRow {
    UpstreamRow {
        instance: listed.instance.to_string(),
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        zone: listed.zone.to_string(),
        slots: listed.slots,
        leaving: listed.leaving,
        cold_ms: listed.cold_ms,
        reclaimable: listed.reclaimable,
    }
}
