//! Announces to the other gateways which long prompts this one sent to which engine, and receives their
//! announcements. A lost message costs a worse choice of an engine and nothing else.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{Core, upstream::Upstream};
use crate::{
    link::DatagramSocket,
    policy::backlog::AnnouncementLimiter,
    ports::{Clock, Platform},
    telemetry::{Counter, Metrics},
    wire::{IngressRecord, PromptAnnouncement},
};

/// Pause after an unreadable datagram, so that a flood of them costs little.
const UNREADABLE_DATAGRAM_PAUSE: Duration = Duration::from_millis(1);

/// Sends prompt announcements to the other gateways and receives theirs.
#[derive(Debug)]
pub(super) struct Announcer {
    datagrams: DatagramSocket,
    others: ArcSwap<Vec<SocketAddr>>,
    throttle: Mutex<AnnouncementLimiter>,
    started: Instant,
    sent: Counter,
    unsent: Counter,
    received: Counter,
    unreadable: Counter,
}

impl Announcer {
    pub(super) fn new(datagrams: DatagramSocket, metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register_counter(name, help);
        Self {
            datagrams,
            others: ArcSwap::default(),
            throttle: Mutex::default(),
            started: Instant::now(),
            sent: counter(
                "ingress_prompts_told",
                "Prompts that the other gateways were told of.",
            ),
            unsent: counter(
                "ingress_prompt_messages_unsent",
                "Messages to other gateways that could not be sent.",
            ),
            received: counter(
                "ingress_prompts_heard",
                "Prompts that other gateways told of.",
            ),
            unreadable: counter(
                "ingress_prompt_messages_unreadable",
                "Datagrams that no gateway of this installation made.",
            ),
        }
    }

    /// Sets the gateways to announce to; `own` is the name of this one, which is left out.
    pub(super) fn set_gateways(&self, gateways: &[IngressRecord], own: &str) {
        let others = gateways.iter().filter(|gateway| gateway.name != own);
        // A gateway of an earlier version has no peer address.
        let others = others.filter_map(|gateway| gateway.peer_address.parse().ok());
        self.others.store(Arc::new(others.collect()));
    }

    /// Announces a prompt that is being sent now, if it is worth the messages.
    pub(super) fn announce(&self, upstream: &Upstream, tokens: u32, speed: f64) {
        let others = self.others.load();
        if tokens == 0 || others.is_empty() {
            return;
        }
        let now = self.started.elapsed();
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        let should_announce = throttle.should_announce(tokens, speed, others.len(), now);
        drop(throttle);
        if !should_announce {
            return;
        }
        let message = PromptAnnouncement {
            service: upstream.service.to_string(),
            instance: upstream.target.instance.to_string(),
            tokens,
        };
        self.sent.increment();
        for _ in 0..self.datagrams.send(&message, &others) {
            self.unsent.increment();
        }
    }
}

/// Applies the announcements of other gateways until the token is cancelled.
pub(super) async fn run<P: Platform, T: Clock>(core: Arc<Core<P, T>>, stop: CancellationToken) {
    let announcer = &core.announcer;
    let receive = async {
        loop {
            match announcer.datagrams.receive().await {
                Ok(message) => {
                    announcer.received.increment();
                    core.upstreams
                        .record_remote_prompt(&message, Instant::now());
                }
                Err(e) => {
                    announcer.unreadable.increment();
                    log::debug!("ingress: ignored an unreadable datagram: {e}.");
                    sleep(UNREADABLE_DATAGRAM_PAUSE).await;
                }
            }
        }
    };
    stop.run_until_cancelled(receive).await;
}
