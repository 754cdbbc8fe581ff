//! The upstreams that requests can be sent to, and what this gateway knows of their load.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    domain::{Incarnation, InstanceName, RoutingWeights, ServiceName, ZoneName},
    policy::route::{self, Candidate, Report, RouteRequest},
    ports::{ReportedLoad, Target},
    wire::{UpstreamList, UpstreamRow},
};

/// Time for which an upstream that failed gets requests only if all others failed too.
const SUSPECT_FOR: Duration = Duration::from_millis(1500);
/// Time for which callers may still use the addresses that they got before a stop.
const OLD_ADDRESSES: Duration = Duration::from_millis(3500);

/// One upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    /// Where to send requests.
    pub(super) target: Target,
    zone: ZoneName,
    slots: u32,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    load: Mutex<Load>,
}

#[derive(Debug, Default)]
struct Load {
    reported: Option<(ReportedLoad, Instant)>,
    sent_since_report: u32,
    suspect_until: Option<Instant>,
}

impl Upstream {
    /// Returns whether it may get a request now.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Takes the load that the upstream told with an answer.
    pub(super) fn report(&self, load: ReportedLoad, now: Instant) {
        let mut state = self.load();
        state.reported = Some((load, now));
        state.sent_since_report = 0;
    }

    /// Notes that an exchange failed.
    pub(super) fn suspect(&self, now: Instant) {
        self.load().suspect_until = Some(now + SUSPECT_FOR);
    }

    /// Notes that an exchange went well.
    pub(super) fn trust(&self) {
        self.load().suspect_until = None;
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn candidate(&self, now: Instant) -> Candidate {
        let load = self.load();
        Candidate {
            instance: self.target.instance.clone(),
            zone: self.zone.clone(),
            slots: self.slots,
            report: load.reported.map(|(reported, at)| Report {
                running: reported.running,
                queued: reported.waiting,
                age: now.duration_since(at),
            }),
            sent_since_report: load.sent_since_report,
            in_progress: self.in_flight.load(Ordering::Relaxed),
            cached_tokens: None,
            suspect: load.suspect_until.is_some_and(|until| until > now),
        }
    }
}

type ByService = HashMap<ServiceName, Vec<Arc<Upstream>>>;

/// All upstreams, by service.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: ArcSwap<ByService>,
    in_flight: Arc<InFlight>,
}

#[derive(Debug, Default)]
struct InFlight {
    count: AtomicUsize,
    idle: Notify,
}

/// A request on its way to an upstream, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) upstream: Arc<Upstream>,
    all: Arc<InFlight>,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.all.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.all.idle.notify_waiters();
        }
    }
}

impl Upstreams {
    /// Takes a new list. What is known of upstreams that stay is kept.
    pub(super) fn replace(&self, list: &UpstreamList) {
        let before = self.services.load_full();
        let known: HashMap<&InstanceName, &Arc<Upstream>> = before
            .values()
            .flatten()
            .map(|upstream| (&upstream.target.instance, upstream))
            .collect();
        let mut services = ByService::new();
        for row in &list.rows {
            let Some(upstream) = kept(&known, row).or_else(|| new(row)) else {
                log::warn!("ingress: upstream {} has no address.", row.instance);
                continue;
            };
            if upstream.leaving.swap(row.leaving, Ordering::Relaxed) != row.leaving {
                log::info!("ingress: upstream {} is leaving.", row.instance);
            }
            let service = ServiceName::from(row.service.as_str());
            services.entry(service).or_default().push(upstream);
        }
        log::info!("ingress: {} upstreams are listed.", list.rows.len());
        self.services.store(Arc::new(services));
    }

    /// Chooses an upstream of a service that was not tried before, and counts the request there.
    pub(super) fn choose(
        &self,
        service: &ServiceName,
        req: &RouteRequest,
        tried: &[InstanceName],
        now: Instant,
    ) -> Option<Flight> {
        let services = self.services.load();
        let all = services.get(service)?;
        let usable: Vec<&Arc<Upstream>> = all
            .iter()
            .filter(|upstream| !upstream.is_leaving())
            .filter(|upstream| !tried.contains(&upstream.target.instance))
            .collect();
        let candidates: Vec<_> = usable
            .iter()
            .map(|upstream| upstream.candidate(now))
            .collect();
        let chosen = route::choose(req, &candidates, &RoutingWeights::default())?;
        let upstream = Arc::clone(usable[chosen]);
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        upstream.load().sent_since_report += 1;
        self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        Some(Flight {
            upstream,
            all: Arc::clone(&self.in_flight),
        })
    }

    /// Waits until callers know that this gateway leaves and no request is in progress, or until
    /// the patience ends.
    pub(super) async fn wait_until_idle(&self, patience: Duration) {
        let end = Instant::now() + patience;
        sleep(OLD_ADDRESSES.min(patience)).await;
        loop {
            let idle = self.in_flight.idle.notified();
            if self.in_flight.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, idle).await.is_err() {
                let left = self.in_flight.count.load(Ordering::Relaxed);
                log::warn!("ingress: {left} requests are cut off by the stop.");
                return;
            }
        }
    }
}

fn kept(
    known: &HashMap<&InstanceName, &Arc<Upstream>>,
    row: &UpstreamRow,
) -> Option<Arc<Upstream>> {
    let upstream = known.get(&InstanceName::from(row.instance.as_str()))?;
    let same = upstream.target.address.to_string() == row.address && upstream.slots == row.slots;
    same.then(|| Arc::clone(upstream))
}

fn new(row: &UpstreamRow) -> Option<Arc<Upstream>> {
    Some(Arc::new(Upstream {
        target: Target {
            instance: row.instance.as_str().into(),
            incarnation: Incarnation(0),
            address: row.address.parse().ok()?,
        },
        zone: row.zone.as_str().into(),
        slots: row.slots,
        leaving: AtomicBool::new(row.leaving),
        in_flight: AtomicU32::new(0),
        load: Mutex::default(),
    }))
}
