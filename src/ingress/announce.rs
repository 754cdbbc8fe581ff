//! Telling the other gateways which long prompts this one sent where, and taking what they tell. A message that
//! is lost costs a worse choice of an engine and nothing else.

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
    link::Datagrams,
    policy::backlog::Telling,
    ports::{Clock, Platform},
    telemetry::{Counter, Metrics},
    wire::{IngressRecord, Told},
};

/// Pause after a datagram that could not be read, so that a flood of them costs little.
const UNREADABLE_DATAGRAM_PAUSE: Duration = Duration::from_millis(1);

/// What this gateway tells the others.
#[derive(Debug)]
pub(super) struct Announcer {
    datagrams: Datagrams,
    others: ArcSwap<Vec<SocketAddr>>,
    throttle: Mutex<Telling>,
    started: Instant,
    sent: Counter,
    unsent: Counter,
    received: Counter,
    unreadable: Counter,
}

impl Announcer {
    pub(super) fn new(datagrams: Datagrams, metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.counter(name, help);
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

    /// Takes the gateways that are told; `own` is this one's name.
    pub(super) fn set_gateways(&self, gateways: &[IngressRecord], own: &str) {
        let others = gateways.iter().filter(|gateway| gateway.name != own);
        // A gateway without an address is one of an earlier version.
        let others = others.filter_map(|gateway| gateway.peer_address.parse().ok());
        self.others.store(Arc::new(others.collect()));
    }

    /// Tells the others of a prompt that is sent now, if it is worth that.
    pub(super) fn announce(&self, upstream: &Upstream, tokens: u32, speed: f64) {
        let others = self.others.load();
        if tokens == 0 || others.is_empty() {
            return;
        }
        let now = self.started.elapsed();
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_worth = throttle.is_worth(tokens, speed, others.len(), now);
        drop(throttle);
        if !is_worth {
            return;
        }
        let told = Told {
            service: upstream.service.to_string(),
            instance: upstream.target.instance.to_string(),
            tokens,
        };
        self.sent.add();
        for _ in 0..self.datagrams.send(&told, &others) {
            self.unsent.add();
        }
    }
}

/// Takes what other gateways tell until the token is cancelled.
pub(super) async fn run<P: Platform, T: Clock>(core: Arc<Core<P, T>>, stop: CancellationToken) {
    let announcer = &core.announcer;
    let receive = async {
        loop {
            match announcer.datagrams.receive().await {
                Ok(told) => {
                    announcer.received.add();
                    core.upstreams.record_remote_prompt(&told, Instant::now());
                }
                Err(e) => {
                    announcer.unreadable.add();
                    log::debug!("ingress: a datagram is left: {e}.");
                    sleep(UNREADABLE_DATAGRAM_PAUSE).await;
                }
            }
        }
    };
    stop.run_until_cancelled(receive).await;
}
