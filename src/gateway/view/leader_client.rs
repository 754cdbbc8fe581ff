//! Finds the leader among the controllers and sends calls to it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{
    link::{Identity, Link, LinkError, LinkSettings, PeerKey},
    settings::ControllerEntry,
    wire::Body,
};

/// Delay before the next controller is called.
const CONTROLLER_SWITCH_DELAY: Duration = Duration::from_millis(10);

/// Time limit for one controller's answer to a call that may be resent.
const CALL_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Links to all controllers, with the index of the supposed leader.
#[derive(Debug)]
pub(crate) struct LeaderClient {
    links: Vec<(Arc<str>, Link)>,
    supposed_leader: AtomicUsize,
}

impl LeaderClient {
    /// Connects to all controllers in the background.
    pub(crate) fn connect(
        controllers: &[ControllerEntry],
        key: &PeerKey,
        identity: &Identity,
        settings: &LinkSettings,
    ) -> Self {
        let links = controllers
            .iter()
            .map(|entry| {
                let link = Link::connect(
                    entry.peer_address,
                    key.clone(),
                    identity.clone(),
                    settings.clone(),
                );
                (Arc::clone(&entry.name), link)
            })
            .collect();
        Self {
            links,
            supposed_leader: AtomicUsize::new(0),
        }
    }

    /// Calls the supposed leader once. If the controller does not lead or does not answer, the next
    /// call goes to another one.
    pub(crate) async fn call(&self, body: Body, timeout: Duration) -> Result<Body, LinkError> {
        let index = self.supposed_leader.load(Ordering::Relaxed);
        let Some((_, link)) = self.links.get(index) else {
            return Err(LinkError::NotSent);
        };
        match link.call(body, timeout).await {
            Ok(Body::NotLeader(hint)) => {
                self.switch_from(index, &hint.leader);
                Err(LinkError::NotSent)
            }
            Err(e) => {
                self.switch_from(index, "");
                Err(e)
            }
            Ok(reply) => Ok(reply),
        }
    }

    /// Repeats a call until it is answered or the timeout has passed. Only for idempotent
    /// messages.
    pub(crate) async fn call_with_retries(
        &self,
        body: &Body,
        timeout: Duration,
    ) -> Result<Body, LinkError> {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(LinkError::Unanswered);
            }
            match self
                .call(body.clone(), remaining.min(CALL_ATTEMPT_TIMEOUT))
                .await
            {
                Ok(reply) => return Ok(reply),
                Err(_) => sleep(CONTROLLER_SWITCH_DELAY.min(remaining)).await,
            }
        }
    }

    fn switch_from(&self, from: usize, hint: &str) {
        let hinted = self.links.iter().position(|(name, _)| &**name == hint);
        let next = hinted.unwrap_or((from + 1) % self.links.len());
        // Compare-and-set keeps the result of a concurrent call that may have found the leader
        // already.
        let _ =
            self.supposed_leader
                .compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
