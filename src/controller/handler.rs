//! Handles messages of gateways and of the other controllers.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout_at};

use super::{
    core::Core,
    documents, followers, leave,
    log::{Applied, LogError},
    membership, origins, view,
};
use crate::{
    domain::{IdempotencyKey, MemberId},
    link::{Handler, Peer},
    ports::Clock,
    state::{Action, ClaimCommand, Observation, ObserveInstances, Reply, Sighting},
    wire::{
        Body, ClaimRequest, Failure, GatewayHeartbeat, LeavingNotice, MemberQuery, MemberReport,
        NotLeader, OutcomeReply, ViewRequest,
    },
};

/// Maximum time that a long poll for a view waits for a change.
const MAX_VIEW_WAIT: Duration = Duration::from_secs(10);
/// Maximum time by which the timestamp in a caller's key may be ahead of the leader's clock.
const MAX_KEY_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Handles the messages that peers send to this controller.
#[derive(Debug)]
pub(super) struct PeerHandler<T> {
    pub core: Arc<Core<T>>,
}

impl<T: Clock> Handler for PeerHandler<T> {
    async fn handle(&self, peer: &Peer, body: Body) -> Option<Body> {
        match body {
            Body::Replica(message) => {
                self.core
                    .peers
                    .set_controller(MemberId(message.from), &peer.name);
                self.core.log.receive(message).await;
                None
            }
            Body::MemberQuery(query) => Some(self.member_report(peer, &query)),
            Body::Follow(follow) => followers::answer_follow(&self.core, peer, follow).await,
            Body::ReserveRequest(request) => followers::answer_reserve(&self.core, peer, &request),
            Body::DocumentRequest(_) => Some(documents::document_reply(&self.core)),
            Body::DocumentIndexRequest(_) => documents::index_reply(&self.core).await,
            Body::DocumentBlocksRequest(request) => {
                documents::blocks_reply(&self.core, &request).await
            }
            Body::OriginReport(report) => Some(origins::record_report(&self.core, &report)),
            Body::OriginQuery(query) => Some(origins::answer_query(&self.core, &query)),
            Body::Heartbeat(heartbeat) => Some(self.heartbeat(peer, heartbeat).await),
            Body::ViewRequest(held) => Some(self.view_reply(&held).await),
            Body::Claim(request) => Some(self.claim(peer, request).await),
            Body::Outcome(request) => {
                let claim_gateway = request.claim.as_ref().map(|claim| claim.gateway.as_str());
                if claim_gateway != Some(&*peer.name) {
                    return Some(sender_mismatch());
                }
                Some(self.close_claim(Action::RecordOutcome(request)).await)
            }
            Body::Release(request) => {
                let claim_gateway = request.claim.as_ref().map(|claim| claim.gateway.as_str());
                if claim_gateway != Some(&*peer.name) {
                    return Some(sender_mismatch());
                }
                Some(self.close_claim(Action::ReleaseClaim(request)).await)
            }
            Body::LeavingNotice(notice) => {
                record_leaving(&self.core, &peer.name, vec![notice]).await;
                None
            }
            _ => Some(failure("controllers do not answer this message")),
        }
    }
}

impl<T: Clock> PeerHandler<T> {
    fn member_report(&self, peer: &Peer, query: &MemberQuery) -> Body {
        let member = MemberId(query.member);
        if let Some(sender) = &query.sender {
            self.core.peers.add_record(sender);
            if query.member != 0 {
                membership::record_sighting(&self.core, &peer.name, member, query.leaving);
            }
        }
        Body::MemberReport(MemberReport {
            known: self.core.peers.records(),
            leave: query
                .leaving
                .then(|| leave::leave_reply(&self.core, member)),
            ..self.core.local_member.report()
        })
    }

    async fn heartbeat(&self, peer: &Peer, heartbeat: GatewayHeartbeat) -> Body {
        let named = heartbeat.gateway.as_ref().map(|g| g.name.as_str());
        if named != Some(&*peer.name) {
            return sender_mismatch();
        }
        if !self.core.leads() {
            return self.not_leader();
        }
        let reply = {
            let mut fleet = self.core.fleet();
            let before = fleet.sequence();
            // Read the index under the registry's lock, so that a confirm that inspects the
            // registry after its commit sees every lease granted on an older index.
            let required = self.core.log.state().required_index();
            let reply = fleet.handle_heartbeat(self.core.now(), &heartbeat, required);
            let changed = fleet.sequence() != before;
            drop(fleet);
            self.core.notify_heartbeat();
            if changed {
                self.core.notify_fleet_changed();
            }
            reply
        };
        // The leader lease may have expired meanwhile. A gateway's lease must not outlive it by
        // more than the lease length, counted from the gateway's heartbeat.
        if !self.core.leads() {
            return self.not_leader();
        }
        if !heartbeat.leaving.is_empty() {
            // Commit the notices in the background, so that the lease is not delayed.
            let (core, name) = (Arc::clone(&self.core), Arc::clone(&peer.name));
            tokio::spawn(async move { record_leaving(&core, &name, heartbeat.leaving).await });
        }
        match reply {
            Ok(reply) => Body::Lease(reply),
            Err(e) => failure(e),
        }
    }

    async fn view_reply(&self, held: &ViewRequest) -> Body {
        let wait = Duration::from_millis(held.wait_ms).min(MAX_VIEW_WAIT);
        let deadline = Instant::now() + wait;
        let mut led_term = self.core.log.watch_led_term();
        let mut view_index = self.core.log.watch_view_index();
        let mut fleet = self.core.watch_fleet();
        loop {
            led_term.mark_unchanged();
            view_index.mark_unchanged();
            fleet.mark_unchanged();
            if !self.core.leads() {
                return self.not_leader();
            }
            if let Some(reply) = self.view_changes(held) {
                return Body::View(reply);
            }
            let change = async {
                tokio::select! {
                    result = view_index.changed() => result.is_ok(),
                    result = fleet.changed() => result.is_ok(),
                    result = led_term.changed() => result.is_ok(),
                }
            };
            match timeout_at(deadline, change).await {
                Ok(true) => {}
                Ok(false) => return failure("this controller is stopping"),
                Err(_) => return Body::View(self.empty_view(held)),
            }
        }
    }

    fn view_changes(&self, held: &ViewRequest) -> Option<crate::wire::ViewReply> {
        let fleet = self.core.fleet();
        let state = self.core.log.state();
        view::difference(&state, &fleet, self.core.now(), held)
    }

    /// Returns a view without changes, for a poll that timed out.
    fn empty_view(&self, held: &ViewRequest) -> crate::wire::ViewReply {
        crate::wire::ViewReply {
            index: held.held_index,
            term: held.held_term,
            sequence: held.held_sequence,
            revision: self.core.log.state().configuration().revision(),
            ..Default::default()
        }
    }

    async fn claim(&self, peer: &Peer, request: ClaimRequest) -> Body {
        if request.gateway != *peer.name {
            return sender_mismatch();
        }
        if !self.may_claim(&request) {
            return failure("the gateway holds no lease; renew it before the next claim");
        }
        if IdempotencyKey::from_bytes(&request.key).is_err() {
            return failure("the key of the claim is not a version 7 UUID");
        }
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let action = Action::Claim(ClaimCommand {
            request: Some(request),
            retention_ms: millis(self.core.settings.timing.claim_retention),
            skew_ms: millis(MAX_KEY_CLOCK_SKEW),
        });
        self.commit(action).await
    }

    /// Returns whether the gateway may claim: it must hold a lease, since a claim of a gateway
    /// without one would be marked unknown at once, although its request cannot be dispatched. A
    /// new leader does not know all leases yet and accepts every claim.
    fn may_claim(&self, request: &ClaimRequest) -> bool {
        let fleet = self.core.fleet();
        !fleet.is_complete(self.core.now())
            || fleet.is_registered(&request.gateway, request.incarnation)
    }

    /// Commits the outcome or the release of a claim.
    async fn close_claim(&self, action: Action) -> Body {
        self.commit(action).await
    }

    async fn commit(&self, action: Action) -> Body {
        if !self.core.log.status().leads {
            return self.not_leader();
        }
        match self.core.propose(action).await {
            Ok(Applied { reply, .. }) => match reply {
                Reply::Claim(reply) => Body::ClaimReply(reply),
                Reply::Accepted(accepted) => Body::OutcomeReply(OutcomeReply { accepted }),
                _ => failure("the log gave an answer to something else"),
            },
            Err(LogError::NotLeader) => self.not_leader(),
            Err(e) => failure(e),
        }
    }

    fn not_leader(&self) -> Body {
        let leader = self.core.leader().map(|entry| entry.name.to_string());
        Body::NotLeader(NotLeader {
            leader: leader.unwrap_or_default(),
        })
    }
}

/// Commits those leaving notices that the state does not have.
async fn record_leaving<T: Clock>(core: &Core<T>, source: &str, notices: Vec<LeavingNotice>) {
    let unknown: Vec<_> = {
        let state = core.log.state();
        notices
            .into_iter()
            .filter(|notice| !state.instances().is_leaving(notice))
            .collect()
    };
    if unknown.is_empty() {
        return;
    }
    let observations = unknown.into_iter().map(|notice| Observation {
        reason: format!("gateway {source} learned it"),
        sighting: Some(Sighting::Leaving(notice)),
    });
    let action = Action::Observe(ObserveInstances {
        observations: observations.collect(),
    });
    if let Err(e) = core.propose(action).await {
        log::warn!("controller: leaving instances could not be recorded yet: {e}.");
    }
}

fn sender_mismatch() -> Body {
    failure("the message names another process than the one that sent it")
}

fn failure(message: impl ToString) -> Body {
    Body::Failure(Failure {
        message: message.to_string(),
    })
}
