//! `GET /v1/requests/{id}`: resumes the answer of an accepted request.

use std::sync::Arc;

use tokio::sync::mpsc;
use warp::{http::header, reply::Response};

use super::{
    render::AnswerFormat,
    routes::{RequestHead, authenticate, parse_request_id},
    stream::AnswerResponse,
};
use crate::{
    domain::{AccountName, ModelName, Refusal, RefusalKind, RequestId},
    gateway::{
        core::Gateway,
        generate::{AnswerReceiver, Subscription},
        journal::{FoundRequest, resume},
    },
    ports::{Clock, Upstreams},
};

/// Lookups before a request counts as unknown. One that ends between the lookup and the subscription
/// is found by the next lookup.
const MAX_LOOKUPS: u32 = 3;

/// The remaining answer of a request that was found.
struct ResumedAnswer {
    events: AnswerReceiver,
    model: ModelName,
    chat: bool,
}

/// Responds with the answer from the token after `Last-Event-ID` on.
pub(super) async fn resume_answer<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    head: &RequestHead,
    id: &str,
) -> Result<Response, Refusal> {
    let account = authenticate(gateway, head)?;
    let id = parse_request_id(id)?;
    let last = last_event_id(head)?;
    let from = last.map_or(0, |last| last.saturating_add(1));
    let resumed = find_answer(gateway, id, &account.name, from).await?;
    let format = AnswerFormat::new(id, resumed.model, resumed.chat, gateway.clock.unix_ms());
    let answer = AnswerResponse {
        id,
        format,
        events: resumed.events,
        from_offset: from,
        backup: None,
    };
    match last.is_some() || wants_events(head) {
        true => Ok(answer.into_resumed_stream()),
        false => answer.into_document().await,
    }
}

fn last_event_id(head: &RequestHead) -> Result<Option<u32>, Refusal> {
    let text = head.header("last-event-id").map(str::trim);
    match text {
        None | Some("") => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| {
            Refusal::not_run(
                RefusalKind::BadRequest,
                "the header Last-Event-ID is not a token offset; send the last event's id",
            )
        }),
    }
}

fn wants_events(head: &RequestHead) -> bool {
    head.header(header::ACCEPT.as_str())
        .is_some_and(|accept| accept.contains("text/event-stream"))
}

async fn find_answer<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    id: RequestId,
    account: &AccountName,
    from: u32,
) -> Result<ResumedAnswer, Refusal> {
    for _ in 0..MAX_LOOKUPS {
        let found = gateway.journal.find(id, account.clone()).await;
        match found.ok_or_else(unknown_request)? {
            FoundRequest::Answered(answer) => {
                return Ok(ResumedAnswer {
                    events: answer.subscribe_from(from),
                    model: answer.model.clone(),
                    chat: answer.chat,
                });
            }
            FoundRequest::Running(running) => {
                let (tx, events) = mpsc::unbounded_channel();
                if running.attach.send(Subscription { from, tx }).await.is_ok() {
                    return Ok(ResumedAnswer {
                        events,
                        model: running.model,
                        chat: running.chat,
                    });
                }
            }
            FoundRequest::Copy(copy, attach, subscriptions) => {
                let (tx, events) = mpsc::unbounded_channel();
                // The channel is empty, so this cannot fail.
                let _ = attach.try_send(Subscription { from, tx });
                let model = copy.request.model.as_str().into();
                let chat = copy.request.chat;
                resume(gateway, id, *copy, subscriptions).await;
                return Ok(ResumedAnswer {
                    events,
                    model,
                    chat,
                });
            }
        }
    }
    Err(unknown_request())
}

/// Refuses an unknown request, which may still have run at another gateway.
fn unknown_request() -> Refusal {
    Refusal::unknown(
        RefusalKind::NotFound,
        "this gateway does not know the request, or no longer; ask at the other addresses",
    )
}
