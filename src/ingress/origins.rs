//! The origins of streams: which software version of a service began each. A gateway records the streams that it begins and
//! tells a few controllers of each, so that any gateway can resume it, also after all gateways were lost.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    domain::{Incarnation, ServiceName},
    link::Link,
    policy::origins::{Origin, OriginLedger, StreamId},
    telemetry::{Counter, Metrics},
    wire::{Body, OriginQuery, OriginReport},
};

/// Streams that a gateway remembers; see docs/CAPACITY.md.
const MAX_STREAMS: usize = 16 * 1024;
/// Streams in one report.
const MAX_REPORTED: usize = 1024;
/// Time for which streams are collected for one report.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a report and of a query.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a controller failed to record a report.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a link is checked for a restart of its controller, which then gets all streams again.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How the origin of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// This gateway began the stream.
    Own,
    /// A gateway told a controller.
    Controller,
    /// Only one software version can have begun it.
    OnlyVersion,
}

/// Records the origins of streams and finds them.
#[derive(Debug)]
pub(super) struct Origins {
    ledger: Mutex<OriginLedger>,
    /// Changes with each new stream.
    recorded: watch::Sender<()>,
    /// The controllers that answer, by name.
    controllers: Mutex<BTreeMap<String, Link>>,
    started: Instant,
    found: Counter,
}

impl Origins {
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self {
            ledger: Mutex::new(OriginLedger::new(MAX_STREAMS)),
            recorded: watch::channel(()).0,
            controllers: Mutex::default(),
            started: Instant::now(),
            found: metrics.register_counter(
                "ingress_stream_origins_found",
                "Streams that callers resumed and whose origin is known.",
            ),
        }
    }

    /// Records what began a stream; called with its first event.
    pub(super) fn record(&self, stream: StreamId, origin: Origin) {
        self.ledger().record(stream, origin, self.started.elapsed());
        self.recorded.send_replace(());
    }

    /// Records whether a controller answers.
    pub(super) fn set_answering(&self, name: &str, link: &Link, is_answering: bool) {
        let mut controllers = self.controllers();
        match is_answering {
            true => drop(controllers.insert(name.to_owned(), link.clone())),
            false => drop(controllers.remove(name)),
        }
    }

    /// Returns the number of streams that this gateway remembers.
    pub(super) fn len(&self) -> usize {
        self.ledger().len()
    }

    /// Finds what began a stream: by its identifier, if the caller names it, or else by the software versions of the service.
    pub(super) async fn find(
        &self,
        stream: Option<StreamId>,
        service: &ServiceName,
    ) -> Option<(Origin, Source)> {
        let found = match stream.and_then(|stream| self.find_own(stream)) {
            Some(origin) => Some((origin, Source::Own)),
            None => self.ask_controllers(stream, service).await,
        };
        if found.is_some() {
            self.found.increment();
        }
        found
    }

    fn find_own(&self, stream: StreamId) -> Option<Origin> {
        let now = self.started.elapsed();
        self.ledger().find(stream, now).cloned()
    }

    /// Asks all controllers that answer, since any of them may have the record.
    async fn ask_controllers(
        &self,
        stream: Option<StreamId>,
        service: &ServiceName,
    ) -> Option<(Origin, Source)> {
        let links: Vec<Link> = self.controllers().values().cloned().collect();
        let query = OriginQuery {
            stream: stream.map(|stream| stream.0),
            service: service.to_string(),
        };
        let ask = |link: Link| {
            let body = Body::OriginQuery(query.clone());
            async move { link.call(body, CALL_TIMEOUT).await }
        };
        let mut replies: FuturesUnordered<_> = links.into_iter().map(ask).collect();
        let mut only = None;
        while let Some(reply) = replies.next().await {
            let reply = match reply {
                Ok(Body::OriginReply(reply)) => reply,
                Ok(other) => {
                    log::warn!("ingress: unexpected reply to an origin query: {other:?}.");
                    continue;
                }
                Err(e) => {
                    log::debug!("ingress: an origin query failed: {e}.");
                    continue;
                }
            };
            if let Some(record) = reply.recorded {
                return Some((record.origin(), Source::Controller));
            }
            if let Some(software) = reply.only_software {
                let origin = Origin {
                    service: service.clone(),
                    software: software.into(),
                };
                only = Some((origin, Source::OnlyVersion));
            }
        }
        only
    }

    /// Tells a controller of the streams whose records it keeps, until the future is dropped.
    pub(super) async fn report_to(&self, name: &str, link: &Link) {
        let mut recorded = self.recorded.subscribe();
        let mut reported = (Incarnation(0), 0);
        loop {
            // The sender lives as long as `self`.
            let _ = timeout(RESTART_CHECK_INTERVAL, recorded.changed()).await;
            sleep(REPORT_DELAY).await;
            let Some(peer) = link.peer() else {
                continue;
            };
            if peer.incarnation != reported.0 {
                reported = (peer.incarnation, 0);
            }
            while let Some(end) = self.report(name, link, reported.1).await {
                reported.1 = end;
            }
        }
    }

    /// Reports the streams from a number on. Returns the number after them, or `None` if none are left or the report
    /// failed.
    async fn report(&self, name: &str, link: &Link, from: u64) -> Option<u64> {
        let (report, end) = self.next_report(name, from)?;
        if report.records.is_empty() {
            return Some(end);
        }
        match link.call(Body::OriginReport(report), CALL_TIMEOUT).await {
            Ok(Body::OriginAck(_)) => return Some(end),
            Ok(other) => {
                log::warn!("ingress: unexpected reply of controller {name}: {other:?}.");
            }
            Err(e) => log::debug!(
                "ingress: controller {name} did not record the origins of streams: {e}."
            ),
        }
        sleep(RETRY_PAUSE).await;
        None
    }

    fn next_report(&self, name: &str, from: u64) -> Option<(OriginReport, u64)> {
        let controllers = self.controllers();
        let names = || controllers.keys().map(String::as_str);
        let ledger = self.ledger();
        let mut report = OriginReport::default();
        let mut end = None;
        for (number, stream, origin) in ledger.since(from).take(MAX_REPORTED) {
            if stream.is_kept_by(name, names()) {
                report.add(stream, origin);
            }
            end = Some(number + 1);
        }
        end.map(|end| (report, end))
    }

    fn ledger(&self) -> MutexGuard<'_, OriginLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn controllers(&self) -> MutexGuard<'_, BTreeMap<String, Link>> {
        self.controllers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the origin of one stream on its way to a caller.
#[derive(Debug)]
pub(super) struct StreamOrigin {
    origins: Arc<Origins>,
    /// The stream, if its caller gave the request an identifier.
    stream: Option<StreamId>,
    /// What began the stream, once its first event has passed.
    origin: Option<Origin>,
}

impl StreamOrigin {
    /// Follows a stream that the caller resumes if its origin is given, and a new one otherwise.
    pub(super) fn new(
        origins: Arc<Origins>,
        stream: Option<StreamId>,
        origin: Option<Origin>,
    ) -> Self {
        Self {
            origins,
            stream,
            origin,
        }
    }

    /// Returns what began the stream, or `None` before its first event.
    pub(super) fn get(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Records that an event has arrived from an upstream.
    pub(super) fn record_event(&mut self, from: impl FnOnce() -> Option<Origin>) {
        if self.origin.is_some() {
            return;
        }
        self.origin = from();
        if let (Some(stream), Some(origin)) = (self.stream, &self.origin) {
            self.origins.record(stream, origin.clone());
        }
    }
}
