//! Reads the platform's list of upstreams while this controller leads, so that there is one reader for
//! all gateways, and lets those that follow know what changed.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::{
    ports::{Clock, CloudError, ListedUpstream, Platform},
    settings::Ingress,
    wire::UpstreamRow,
};

/// Longest time for one page of the list to arrive.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the calls that the platform takes which is used; the rest is for a controller that led before and has
/// not noticed yet.
const CALLS_USED: f64 = 0.8;

/// Reads the list until the token is cancelled.
pub(super) async fn run<T: Clock, P: Platform>(
    core: Arc<Core<T>>,
    platform: Arc<P>,
    ingress: Ingress,
    stop: CancellationToken,
) {
    let mut tick = interval(ingress.list_interval);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let pause = ingress
        .list_calls_per_second
        .map_or(0.0, |calls| 1.0 / (calls * CALLS_USED));
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(PAGE_TIMEOUT);
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
            read = read(&core, &*platform, term, pause) => read,
            () = stop.cancelled() => return,
        };
        let failure = match read {
            Ok(list) => {
                take(&core, term, list);
                None
            }
            Err(e) => Some(e.to_string()),
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

/// Reads all pages, with a pause after each one. What is new on a page of several is told at once: a long list
/// takes seconds to read.
async fn read<T: Clock, P: Platform>(
    core: &Core<T>,
    platform: &P,
    term: u64,
    pause: Duration,
) -> Result<Vec<UpstreamRow>, CloudError> {
    let mut rows: Vec<UpstreamRow> = Vec::new();
    let mut next: Option<String> = None;
    loop {
        let begun = Instant::now();
        let page = timeout(PAGE_TIMEOUT, platform.upstreams(next.as_deref()));
        let page = page
            .await
            .map_err(|_| CloudError::Unanswered("a page did not come in time".into()))??;
        let told: Vec<UpstreamRow> = page.upstreams.into_iter().map(row).collect();
        if page.next.is_some() && core.followers().list_mut().take_part(term, &told) {
            core.notify_followers_changed();
        }
        rows.extend(told);
        sleep_until(begun + pause).await;
        next = match page.next {
            Some(next) => Some(next),
            None => return Ok(rows),
        };
    }
}

fn take<T: Clock>(core: &Core<T>, term: u64, rows: Vec<UpstreamRow>) {
    let mut followers = core.followers();
    if rows.is_empty() && !followers.list().rows().is_empty() {
        log::warn!("controller: the list of upstreams is empty; the last one is kept.");
        return;
    }
    let before = followers.list().rows().len();
    followers.list_mut().forget_words(core.now());
    if !followers.list_mut().take(term, rows) {
        return;
    }
    let list = followers.list();
    log::info!(
        event = "list.changed", term = term, before = before, upstreams = list.rows().len(),
        leaving = list.rows().iter().filter(|row| row.leaving).count();
        "controller: the list of upstreams changed"
    );
    drop(followers);
    core.notify_followers_changed();
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
        said_leaving: false,
    }
}
