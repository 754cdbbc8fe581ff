//! `GET /v1/requests/{id}`: asks again for an accepted request.

use std::sync::Arc;

use tokio::sync::mpsc;
use warp::{http::header, reply::Response};

use super::{
    render::Shape,
    routes::{Head, account, request_id},
    stream::Outgoing,
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

/// Lookups before a request counts as unknown. One that ends between the lookup and the attachment
/// is found by the next lookup.
const LOOKUPS: u32 = 3;

/// What is found of a request.
struct Resumed {
    reader: AnswerReceiver,
    model: ModelName,
    chat: bool,
}

/// Answers from the token after `Last-Event-ID` on.
pub(super) async fn answer<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    head: &Head,
    id: &str,
) -> Result<Response, Refusal> {
    let account = account(gateway, head)?;
    let id = request_id(id)?;
    let last = last_event_id(head)?;
    let from = last.map_or(0, |last| last.saturating_add(1));
    let resumed = find(gateway, id, &account.name, from).await?;
    let shape = Shape::new(id, resumed.model, resumed.chat, gateway.clock.unix_ms());
    let outgoing = Outgoing {
        id,
        shape,
        reader: resumed.reader,
        from,
        backup: None,
    };
    match last.is_some() || wants_events(head) {
        true => Ok(outgoing.rest()),
        false => outgoing.whole().await,
    }
}

fn last_event_id(head: &Head) -> Result<Option<u32>, Refusal> {
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

fn wants_events(head: &Head) -> bool {
    head.header(header::ACCEPT.as_str())
        .is_some_and(|accept| accept.contains("text/event-stream"))
}

async fn find<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    id: RequestId,
    account: &AccountName,
    from: u32,
) -> Result<Resumed, Refusal> {
    for _ in 0..LOOKUPS {
        let found = gateway.journal.find(id, account.clone()).await;
        match found.ok_or_else(unknown)? {
            FoundRequest::Answered(answer) => {
                return Ok(Resumed {
                    reader: answer.subscribe_from(from),
                    model: answer.model.clone(),
                    chat: answer.chat,
                });
            }
            FoundRequest::Running(running) => {
                let (tx, reader) = mpsc::unbounded_channel();
                if running.attach.send(Subscription { from, tx }).await.is_ok() {
                    return Ok(Resumed {
                        reader,
                        model: running.model,
                        chat: running.chat,
                    });
                }
            }
            FoundRequest::Copy(held, attach, attached) => {
                let (tx, reader) = mpsc::unbounded_channel();
                // The channel is empty, so this cannot fail.
                let _ = attach.try_send(Subscription { from, tx });
                let model = held.request.model.as_str().into();
                let chat = held.request.chat;
                resume(gateway, id, *held, attached).await;
                return Ok(Resumed {
                    reader,
                    model,
                    chat,
                });
            }
        }
    }
    Err(unknown())
}

/// A request that is unknown here may well have run at another gateway.
fn unknown() -> Refusal {
    Refusal::unknown(
        RefusalKind::NotFound,
        "this gateway does not know the request, or no longer; ask at the other addresses",
    )
}
