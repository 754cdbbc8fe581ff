//! Reads the platform's list of upstreams while this controller leads, and notifies the gateways that follow of
//! changes. Only the leader reads it, so that the platform serves one reader instead of every gateway.

use std::{collections::HashSet, sync::Arc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::{
    ports::{Clock, CloudError, ListedUpstream, Platform, RejectedItem, RejectedItems},
    settings::Ingress,
    telemetry::Counter,
    wire::UpstreamRow,
};

/// Longest wait for one page of the list.
const LIST_PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the platform's call rate limit that the leader uses. The rest is left for a deposed leader that has
/// not noticed its deposition yet.
const CALL_RATE_FRACTION: f64 = 0.8;

/// Entries that name no upstream of which one read logs.
const MAX_REJECTED_LOGGED: usize = 16;
/// Entries that name no upstream of which the next read knows that they were logged.
const MAX_REJECTED_KEPT: usize = 1024;

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
    let mut reader = ListReader {
        counter: core.metrics.register_counter(
            "controller_list_entries_rejected",
            "Entries of the list that name no upstream.",
        ),
        core,
        platform,
        pause,
        failing: false,
        rejected: HashSet::new(),
    };
    // A new leader reads the list at once, because gateways that all restarted hold none.
    let mut fleet_changed = reader.core.watch_fleet();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Ok(()) = fleet_changed.changed() => {}
            () = stop.cancelled() => return,
        }
        if !reader.core.leads() {
            continue;
        }
        tokio::select! {
            () = reader.read() => {}
            () = stop.cancelled() => return,
        }
    }
}

struct ListReader<T, P> {
    core: Arc<Core<T>>,
    platform: Arc<P>,
    /// Time from one call to the next.
    pause: Duration,
    /// Whether the last read failed.
    failing: bool,
    /// The entries that name no upstream, as the last read showed them.
    rejected: HashSet<RejectedEntry>,
    counter: Counter,
}

/// What tells an entry that names no upstream from others: its name, or its place if it has none, and the reason.
#[derive(Debug, PartialEq, Eq, Hash)]
struct RejectedEntry {
    name: Result<String, (usize, usize)>,
    reason: String,
}

impl<T: Clock, P: Platform> ListReader<T, P> {
    /// Reads the list and stores it. The list read last stays in force if this one can't be read to its end.
    async fn read(&mut self) {
        let term = self.core.fleet().term();
        let now = self.core.now();
        self.core.followers().upstream_list_mut().begin_read(now);
        let mut rejected = Rejected::default();
        let read = self.read_pages(term, &mut rejected).await;
        self.note_rejected(term, rejected, read.is_ok());
        let stored = read.and_then(|rows| store_list(&self.core, term, rows));
        if self.failing == stored.is_err() {
            return;
        }
        self.failing = !self.failing;
        match stored {
            Err(e) => log::warn!(
                event = "list.unreadable", term = term;
                "controller: cannot read the list of upstreams, the last one stays in force: {e}"
            ),
            Ok(()) => log::info!(
                event = "list.readable", term = term;
                "controller: the list of upstreams is readable again"
            ),
        }
    }

    /// Reads all pages, with a pause after each one to respect the rate limit. Changes on a page that is not the last
    /// are published at once, because a long list takes seconds to read.
    async fn read_pages(
        &self,
        term: u64,
        rejected: &mut Rejected,
    ) -> Result<Vec<UpstreamRow>, CloudError> {
        let mut rows: Vec<UpstreamRow> = Vec::new();
        let mut next: Option<String> = None;
        for number in 0.. {
            let started_at = Instant::now();
            let page = self.platform.list_upstreams(next.as_deref());
            let page = timeout(LIST_PAGE_TIMEOUT, page)
                .await
                .map_err(|_| CloudError::Unanswered("a page of the list timed out".into()))??;
            rejected.add(number, page.rejected);
            let page_rows: Vec<UpstreamRow> = page.upstreams.into_iter().map(to_row).collect();
            let is_part = page.next.is_some() || page.cut.is_some();
            let is_changed = {
                let mut followers = self.core.followers();
                let list = followers.upstream_list_mut();
                // Before any gateway can use an upstream on the page.
                list.record_software(term, &page_rows, self.core.now());
                is_part && list.merge_page(term, &page_rows)
            };
            if is_changed {
                self.core.notify_followers_changed();
            }
            rows.extend(page_rows);
            sleep_until(started_at + self.pause).await;
            if let Some(cut) = page.cut {
                return Err(CloudError::Unreadable(format!("page {number}: {cut}")));
            }
            next = page.next;
            if next.is_none() {
                break;
            }
        }
        Ok(rows)
    }

    /// Logs and counts the entries that name no upstream, each once while the list shows it.
    fn note_rejected(&mut self, term: u64, rejected: Rejected, is_whole: bool) {
        let mut logged = 0;
        let mut shown = HashSet::new();
        for (page, item) in rejected.described {
            let entry = RejectedEntry {
                name: item.name.clone().ok_or((page, item.position)),
                reason: item.reason.clone(),
            };
            if !self.rejected.contains(&entry) && !shown.contains(&entry) {
                self.counter.increment();
                logged += 1;
                if logged <= MAX_REJECTED_LOGGED {
                    log::warn!(
                        event = "list.entry_rejected", term = term, page = page,
                        position = item.position, offset = item.offset,
                        upstream = item.name.as_deref().unwrap_or_default(),
                        reason = item.reason, rejected = rejected.count;
                        "controller: an entry of the list of upstreams names no upstream; the others hold"
                    );
                }
            }
            shown.insert(entry);
        }
        if is_whole {
            self.rejected = shown;
            let mut followers = self.core.followers();
            followers.upstream_list_mut().set_rejected(rejected.count);
        } else if self.rejected.len() < MAX_REJECTED_KEPT {
            // The pages that were not read may still show the others.
            self.rejected.extend(shown);
        }
    }
}

/// The entries of all pages that name no upstream.
#[derive(Default)]
struct Rejected {
    count: usize,
    /// Some of them, with the number of their page.
    described: Vec<(usize, RejectedItem)>,
}

impl Rejected {
    fn add(&mut self, page: usize, items: RejectedItems) {
        self.count += items.count;
        let room = MAX_REJECTED_KEPT.saturating_sub(self.described.len());
        let described = items.described.into_iter().take(room);
        self.described.extend(described.map(|item| (page, item)));
    }
}

fn store_list<T: Clock>(
    core: &Core<T>,
    term: u64,
    rows: Vec<UpstreamRow>,
) -> Result<(), CloudError> {
    let now = core.now();
    let mut followers = core.followers();
    let list = followers.upstream_list_mut();
    if rows.is_empty() && !list.rows().is_empty() {
        return Err(CloudError::Unreadable("it names no upstream at all".into()));
    }
    let before = list.rows().len();
    list.expire_leaving_reports(now);
    let changed = list.replace(term, rows);
    list.forget_unlisted_limits();
    list.end_read(now);
    if !changed {
        return Ok(());
    }
    log::info!(
        event = "list.changed", term = term, before = before, upstreams = list.rows().len(),
        leaving = list.rows().iter().filter(|row| row.leaving).count();
        "controller: the list of upstreams changed"
    );
    drop(followers);
    core.notify_followers_changed();
    Ok(())
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
