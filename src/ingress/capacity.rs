//! This gateway's capacity, by which callers are told of it. See docs/design/GATEWAY_CAPACITY.md.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{Core, millis};
use crate::{
    policy::capacity::{Strain, rated},
    ports::{Clock, Platform},
    settings::Machine,
};

/// Interval at which the delay of the event loop is measured; long enough to cost nearly no processor time.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

/// The capacity that this gateway announces.
#[derive(Debug)]
pub(super) struct OwnCapacity {
    rated: Option<u32>,
    announced: AtomicU32,
}

impl OwnCapacity {
    /// Starts at the rated capacity of the machine.
    pub(super) fn new(machine: Option<&Machine>) -> Self {
        let rated = machine.and_then(rated);
        Self {
            rated,
            announced: AtomicU32::new(rated.unwrap_or_default()),
        }
    }

    /// Returns the capacity, or zero if it is unknown.
    pub(super) fn announced(&self) -> u32 {
        self.announced.load(Ordering::Relaxed)
    }
}

/// Measures the delay of the event loop until the token is cancelled, and announces less capacity while it is long. Does
/// nothing if the machine is unknown, because callers are then told of this gateway as often as of an average one.
pub(super) async fn run<P: Platform, T: Clock>(core: Arc<Core<P, T>>, stop: CancellationToken) {
    let Some(rated) = core.capacity.rated else {
        return;
    };
    log::info!(
        event = "gateway.capacity", capacity = rated, rated;
        "ingress: callers are told of this gateway by its capacity"
    );
    let started = Instant::now();
    let mut strain = Strain::default();
    let measure = async {
        loop {
            let due = Instant::now() + MEASURE_INTERVAL;
            sleep(MEASURE_INTERVAL).await;
            let delay = due.elapsed();
            if !strain.observe(delay, started.elapsed()) {
                continue;
            }
            let before = core.capacity.announced();
            let capacity = strain.apply(rated);
            core.capacity.announced.store(capacity, Ordering::Relaxed);
            log::info!(
                event = "gateway.capacity", capacity, before, rated, last_delay_ms = millis(delay);
                "ingress: this gateway's capacity changed with the delay of its event loop"
            );
        }
    };
    stop.run_until_cancelled(measure).await;
}
