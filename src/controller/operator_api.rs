//! The operator calls that the leader serves; `crate::operator` has their requests and replies.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout_at};
use uuid::Uuid;
use warp::http::StatusCode;

use super::{api_error::ApiError, convert, core::Core, intent_diff, log::LogError, rollouts};
use crate::{
    domain::{Instance, InstanceName, Intent, MemberId, Money, OperationId, Revision},
    operator::{
        ConfirmRequest, Confirmed, DrainRequest, Drained, ExplainedEvent, Explanation,
        GatewayStatus, HistoryEntry, MemberChanged, MemberRequest, MemberStatus, PlacementRow,
        Plan, Status,
    },
    policy::place::{self, Placement},
    ports::Clock,
    replication::MemberChange,
    settings::intent::check_intent,
    state::{
        Action, ConfirmIntent, ConfirmOutcome, Observation, ObserveInstances, Reply,
        RevisionRecord, Sighting,
    },
    wire::LeavingNotice,
};

/// Maximum time that a confirm waits for the gateways after its commit.
const GATEWAY_WAIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time between two checks of the gateways' progress; a heartbeat triggers one earlier.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(20);

type ApiResult<R> = Result<R, ApiError>;

/// Serves the calls of operators.
#[derive(Debug)]
pub(super) struct OperatorApi<T> {
    pub core: Arc<Core<T>>,
}

impl<T: Clock> OperatorApi<T> {
    /// Returns the log's members, the gateways, the instances and the newest revision.
    pub async fn status(&self) -> ApiResult<Status> {
        self.read_barrier().await?;
        let status = self.core.log.status();
        let voters = &status.membership.voters;
        let members = status.progress.iter().map(|progress| MemberStatus {
            name: self.controller_name(progress.member),
            member: progress.member,
            voter: voters.contains(&progress.member.0),
            matched: progress.matched,
        });
        let members = members.collect();
        let gateways = self.gateway_statuses();
        let state = self.core.log.state();
        Ok(Status {
            controller: Arc::clone(&self.core.settings.name),
            term: status.term,
            commit: status.commit,
            revision: Revision(state.configuration().revision()),
            members,
            gateways,
            instances: convert::present_instances(state.instances()),
            rollouts: rollouts::statuses(&self.core, state.rollouts()),
        })
    }

    fn controller_name(&self, member: MemberId) -> Arc<str> {
        if member == self.core.local_member.id() {
            return Arc::clone(&self.core.settings.name);
        }
        self.core
            .peers
            .controller_name(member)
            .unwrap_or_else(|| "".into())
    }

    fn gateway_statuses(&self) -> Vec<GatewayStatus> {
        let fleet = self.core.fleet();
        let statuses = fleet.gateways().filter_map(|gateway| {
            Some(GatewayStatus {
                name: gateway.record.name.as_str().into(),
                zone: gateway.record.zone.as_str().into(),
                caller_address: gateway.record.caller_address.parse().ok()?,
                view_index: gateway.view_index,
                leaving: gateway.record.leaving,
            })
        });
        statuses.collect()
    }

    /// Computes what confirming an intent would change; changes nothing.
    pub async fn plan(&self, intent: Intent) -> ApiResult<Plan> {
        validate(&intent)?;
        self.read_barrier().await?;
        let (base_revision, before, instances) = {
            let state = self.core.log.state();
            let configuration = state.configuration();
            (
                Revision(configuration.revision()),
                Arc::clone(configuration.intent()),
                convert::present_instances(state.instances()),
            )
        };
        let placement = place::plan(&intent, &instances);
        Ok(Plan {
            operation: OperationId(Uuid::new_v4()),
            base_revision,
            changes: intent_diff::describe(&before, &intent),
            placement: placement_rows(&placement.running, &placement.wanted),
            shortfalls: placement.shortfalls.clone(),
            cost_before: cost_before(&before, &instances, placement.cost_running()),
            cost_after: placement.cost_wanted(),
            intent,
        })
    }

    /// Commits an intent as the next revision and waits a limited time until it is in force at all
    /// gateways.
    pub async fn confirm(&self, request: ConfirmRequest) -> ApiResult<Confirmed> {
        validate(&request.intent)?;
        let intent = serde_json::to_vec(&request.intent).map_err(|e| {
            let message = format!("the intent cannot be encoded: {e}");
            ApiError::new(StatusCode::BAD_REQUEST, "bad_request", message)
        })?;
        let before = Arc::clone(self.core.log.state().configuration().intent());
        let action = Action::Confirm(ConfirmIntent {
            operation: request.operation.0.as_bytes().to_vec(),
            base_revision: request.base_revision.0,
            intent: intent.into(),
            changes: intent_diff::describe(&before, &request.intent),
        });
        let applied = self.core.propose(action).await;
        let applied = applied.map_err(|e| match e {
            LogError::TooLarge => self.api_error(e),
            // An earlier attempt may have been confirmed; only the log knows the operation.
            _ => self.api_error(e).may_have_run(),
        })?;
        let Reply::Confirm(outcome) = applied.reply else {
            return Err(unexpected_reply());
        };
        let (revision, index) = confirm_result(outcome, request.base_revision)?;
        Ok(self.wait_until_in_force(revision, index).await)
    }

    /// Waits until no gateway accepts new work under an older revision, or until the timeout.
    async fn wait_until_in_force(&self, revision: u64, index: u64) -> Confirmed {
        let deadline = Instant::now() + GATEWAY_WAIT_TIMEOUT;
        loop {
            let now = self.core.now();
            let led_term = self.core.log.led_term(now);
            let progress = self.core.fleet().progress(now, index, led_term);
            if progress.everywhere || Instant::now() >= deadline {
                return Confirmed {
                    revision: Revision(revision),
                    index,
                    in_force: progress.in_force,
                    gateways: progress.gateways,
                    everywhere: progress.everywhere,
                };
            }
            let next_poll = Instant::now() + PROGRESS_POLL_INTERVAL;
            let mut heartbeats = self.core.watch_heartbeats();
            // Leases also expire without a heartbeat, so the wait is bounded.
            let _ = timeout_at(next_poll.min(deadline), heartbeats.changed()).await;
        }
    }

    /// Returns the confirmed revisions that are kept, oldest first.
    pub async fn history(&self) -> ApiResult<Vec<HistoryEntry>> {
        self.read_barrier().await?;
        let state = self.core.log.state();
        let history = state.configuration().history();
        history.map(history_entry).collect()
    }

    /// Returns the operation that confirmed a revision, and its changes.
    pub async fn explain_revision(&self, number: u64) -> ApiResult<Explanation> {
        self.read_barrier().await?;
        let state = self.core.log.state();
        let mut history = state.configuration().history();
        let Some(record) = history.find(|record| record.revision == number) else {
            return Err(not_found(format!(
                "revision {number} is not in the history; see the history for those that are kept"
            )));
        };
        let first = format!(
            "Confirmed by operation {} at index {} of the log.",
            operation_id(record)?,
            record.index
        );
        let events = std::iter::once(&first).chain(&record.changes);
        Ok(Explanation {
            subject: format!("revision {number}"),
            events: events
                .map(|what| ExplainedEvent {
                    at_unix_ms: record.at_unix_ms,
                    what: what.clone(),
                })
                .collect(),
        })
    }

    /// Returns the recorded events of an instance.
    pub async fn explain_instance(&self, name: &str) -> ApiResult<Explanation> {
        self.read_barrier().await?;
        let state = self.core.log.state();
        let Some(fact) = state.instances().get(name) else {
            return Err(unknown_instance(name));
        };
        let events = fact.events.iter().map(|event| ExplainedEvent {
            at_unix_ms: event.at_unix_ms,
            what: event.what.clone(),
        });
        Ok(Explanation {
            subject: format!("instance {name}"),
            events: events.collect(),
        })
    }

    /// Marks an instance as leaving. A resent request finds it leaving already and gets the same
    /// index.
    pub async fn drain(&self, name: &InstanceName, request: DrainRequest) -> ApiResult<Drained> {
        self.read_barrier().await?;
        let incarnation = {
            let state = self.core.log.state();
            let fact = state.instances().get(name.as_str());
            fact.and_then(|fact| fact.record.as_ref())
                .map(|record| record.incarnation)
                .ok_or_else(|| unknown_instance(name.as_str()))?
        };
        let action = Action::Observe(ObserveInstances {
            observations: vec![Observation {
                reason: format!("an operator drains it, operation {}", request.operation),
                sighting: Some(Sighting::Leaving(LeavingNotice {
                    instance: name.to_string(),
                    incarnation,
                })),
            }],
        });
        let applied = self.core.propose(action).await;
        let applied = applied.map_err(|e| self.api_error(e))?;
        let state = self.core.log.state();
        let fact = state.instances().get(name.as_str());
        let index = fact.map_or(applied.index, |fact| fact.changed_index);
        Ok(Drained { index })
    }

    /// Adds, promotes or removes a member of the log.
    pub async fn change_members(&self, request: MemberRequest) -> ApiResult<MemberChanged> {
        let change = match request {
            MemberRequest::AddLearner(member) => MemberChange::AddLearner(member),
            MemberRequest::Promote(member) => MemberChange::Promote(member),
            MemberRequest::Remove(member) => MemberChange::Remove(member),
        };
        let applied = self.core.log.change_members(change).await;
        let applied = applied.map_err(|e| self.api_error(e))?;
        Ok(MemberChanged {
            index: applied.index,
        })
    }

    /// Waits for a read barrier, so that the reads that follow are linearizable.
    async fn read_barrier(&self) -> ApiResult<()> {
        let read = self.core.log.read_barrier().await;
        // A failed read has no effect, whatever the error.
        read.map_err(|e| self.api_error(e).not_run())
    }

    fn api_error(&self, e: LogError) -> ApiError {
        ApiError::from_log(e, self.core.leader().map(|entry| entry.http_address))
    }
}

fn validate(intent: &Intent) -> ApiResult<()> {
    check_intent(intent).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        let message = format!("the intent is not valid: {}", lines.join("; "));
        ApiError::new(StatusCode::BAD_REQUEST, "bad_intent", message)
    })
}

fn confirm_result(outcome: ConfirmOutcome, base: Revision) -> ApiResult<(u64, u64)> {
    match outcome {
        ConfirmOutcome::Confirmed { revision, index } => Ok((revision, index)),
        ConfirmOutcome::Conflict { newest } => {
            let message = format!(
                "the plan was made on revision {base}, but revision {newest} is the newest; plan again"
            );
            Err(ApiError::new(StatusCode::CONFLICT, "conflict", message))
        }
        ConfirmOutcome::Reused => {
            let message = "the operation id was used for another plan; plan again";
            Err(ApiError::new(
                StatusCode::CONFLICT,
                "operation_reused",
                message,
            ))
        }
        ConfirmOutcome::Malformed => {
            let message = "the intent is malformed; check the file and plan again";
            Err(ApiError::new(
                StatusCode::BAD_REQUEST,
                "bad_request",
                message,
            ))
        }
    }
}

fn placement_rows(running: &[Placement], wanted: &[Placement]) -> Vec<PlacementRow> {
    let mut rows: Vec<PlacementRow> = Vec::new();
    let mut add = |placement: &Placement, before: u32, after: u32| {
        let known = rows.iter_mut().find(|row| {
            row.service == placement.service
                && row.zone == placement.zone
                && row.class == placement.class
                && row.purchase == placement.purchase
        });
        match known {
            Some(row) => {
                row.before += before;
                row.after += after;
            }
            None => rows.push(PlacementRow {
                service: placement.service.clone(),
                zone: placement.zone.clone(),
                class: placement.class.clone(),
                purchase: placement.purchase,
                before,
                after,
            }),
        }
    };
    for placement in running {
        add(placement, placement.count, 0);
    }
    for placement in wanted {
        add(placement, 0, placement.count);
    }
    rows.sort_by(|a, b| (&a.service, &a.zone).cmp(&(&b.service, &b.zone)));
    rows
}

/// Returns the cost of what is running at the prices in force. Before the first confirm there are
/// none, so the cost at the new prices is used.
fn cost_before(before: &Intent, instances: &[Instance], by_new_prices: Money) -> Money {
    match before.prices.is_empty() {
        true => by_new_prices,
        false => place::plan(before, instances).cost_running(),
    }
}

fn history_entry(record: &RevisionRecord) -> ApiResult<HistoryEntry> {
    Ok(HistoryEntry {
        revision: Revision(record.revision),
        operation: operation_id(record)?,
        at_unix_ms: record.at_unix_ms,
        changes: record.changes.clone(),
    })
}

fn operation_id(record: &RevisionRecord) -> ApiResult<OperationId> {
    let id = Uuid::from_slice(&record.operation);
    id.map(OperationId).map_err(|e| {
        let revision = record.revision;
        let message = format!(
            "the operation of revision {revision}, at index {} of the log, can't be read: {e}; report this as a fault",
            record.index
        );
        log::error!("controller: {message}.");
        ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
    })
}

fn unknown_instance(name: &str) -> ApiError {
    not_found(format!(
        "no instance is named {name}; see the status for those that are"
    ))
}

fn not_found(message: String) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}

fn unexpected_reply() -> ApiError {
    let message = "the log gave an answer to something else; report this as a fault";
    ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
}
