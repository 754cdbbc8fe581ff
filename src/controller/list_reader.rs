//! Reads the platform's list of upstreams while this controller leads, and notifies the gateways that follow of
//! changes. Only the leader reads it, so that the platform serves one reader instead of every gateway.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::{
    ports::{Clock, CloudError, ListedUpstream, Platform},
    settings::Ingress,
    wire::UpstreamRow,
};

/// Longest wait for one page of the list.
const LIST_PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the platform's call rate limit that the leader uses. The rest is left for a deposed leader that has
/// not noticed its deposition yet.
const CALL_RATE_FRACTION: f64 = 0.8;

/// Reads the list at intervals until the token is cancelled.
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
        .map_or(0.0, |calls| 1.0 / (calls * CALL_RATE_FRACTION));
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(LIST_PAGE_TIMEOUT);
    let mut failing = false;
    // A new leader reads the list at once, because gateways that all restarted hold none.
    let mut fleet_changed = core.watch_fleet();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Ok(()) = fleet_changed.changed() => {}
            () = stop.cancelled() => return,
        }
        if !core.leads() {
            continue;
        }
        let term = core.fleet().term();
        let read = tokio::select! {
            read = read_pages(&core, &*platform, term, pause) => read,
            () = stop.cancelled() => return,
        };
        let failure = match read {
            Ok(list) => {
                store_list(&core, term, list);
                None
            }
            Err(e) => Some(e.to_string()),
        };
        if failing != failure.is_some() {
            failing = !failing;
            match failure {
                Some(e) => log::warn!(
                    event = "list.unreadable", term = term;
                    "controller: cannot read the list of upstreams: {e}"
                ),
                None => log::info!(
                    event = "list.readable", term = term;
                    "controller: the list of upstreams is readable again"
                ),
            }
        }
    }
}

/// Reads all pages, with a pause after each one to respect the rate limit. Changes on a page that is not the last
/// are published at once, because a long list takes seconds to read.
async fn read_pages<T: Clock, P: Platform>(
    core: &Core<T>,
    platform: &P,
    term: u64,
    pause: Duration,
) -> Result<Vec<UpstreamRow>, CloudError> {
    let mut rows: Vec<UpstreamRow> = Vec::new();
    let mut next: Option<String> = None;
    loop {
        let started_at = Instant::now();
        let page = timeout(LIST_PAGE_TIMEOUT, platform.list_upstreams(next.as_deref()));
        let page = page
            .await
            .map_err(|_| CloudError::Unanswered("a page of the list timed out".into()))??;
        let page_rows: Vec<UpstreamRow> = page.upstreams.into_iter().map(to_row).collect();
        let is_changed = {
            let mut followers = core.followers();
            let list = followers.upstream_list_mut();
            // Before any gateway can use an upstream on the page.
            list.record_software(term, &page_rows, core.now());
            page.next.is_some() && list.merge_page(term, &page_rows)
        };
        if is_changed {
            core.notify_followers_changed();
        }
        rows.extend(page_rows);
        sleep_until(started_at + pause).await;
        next = match page.next {
            Some(next) => Some(next),
            None => return Ok(rows),
        };
    }
}

fn store_list<T: Clock>(core: &Core<T>, term: u64, rows: Vec<UpstreamRow>) {
    let mut followers = core.followers();
    if rows.is_empty() && !followers.upstream_list().rows().is_empty() {
        log::warn!(
            "controller: the platform returned an empty list of upstreams; keeping the previous list."
        );
        return;
    }
    let before = followers.upstream_list().rows().len();
    followers
        .upstream_list_mut()
        .expire_leaving_reports(core.now());
    let changed = followers.upstream_list_mut().replace(term, rows);
    followers.upstream_list_mut().forget_unlisted_limits();
    if !changed {
        return;
    }
    let list = followers.upstream_list();
    log::info!(
        event = "list.changed", term = term, before = before, upstreams = list.rows().len(),
        leaving = list.rows().iter().filter(|row| row.leaving).count();
        "controller: the list of upstreams changed"
    );
    drop(followers);
    core.notify_followers_changed();
}

fn to_row(listed: ListedUpstream) -> UpstreamRow {
    UpstreamRow {
        instance: listed.instance.to_string(),
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        zone: listed.zone.to_string(),
        slots: listed.slots,
        leaving: listed.leaving,
        cold_left_ms: listed.cold_left_ms,
        reclaimable: listed.reclaimable,
        software: listed.software.to_string(),
        reported_leaving: false,
        requests_per_1000_s: None,
    }
}
