//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use warp::reply::Response;

use super::{
    error,
    parse::{self, GenerationRequest},
    render::AnswerFormat,
    routes::Caller,
    stream::AnswerResponse,
};
use crate::{
    domain::{Completion, Refusal, RefusalKind, RequestId},
    gateway::{
        admission::AdmissionRequest,
        core::Gateway,
        generate::{
            AdmissionGuard, AdmittedRequest, GenerationTask, Subscription, subscription_channel,
        },
        journal::RunningRequest,
        view::{AccountEntry, ServiceEntry},
    },
    ports::{Clock, Upstreams},
};

/// Admits a generation request, starts its task and responds with its answer.
pub(super) async fn generate<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    caller: Caller,
    body: &[u8],
    chat: bool,
) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let account = caller.account;
    let generation = parse::parse_request(body, chat, &gateway.settings.limits)?;
    let service = gateway
        .snapshot
        .load()
        .service_for_model(&generation.model)
        .cloned();
    let service = service.ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::NotFound,
            format!(
                "no service has the model {}; ask for another one",
                generation.model
            ),
        )
    })?;
    let due = arrived + account.tier.first_token;
    let admission_request = admission_request(&service, &account, arrived, due)?;
    service.retry_budget.record_request();
    let permit = service.queue.admit(admission_request).await?;
    account.metrics.record_queue_wait(arrived.elapsed());
    // The lease may have expired, or the account may have been revoked, while the request was queued.
    gateway.check_accepting_account(&account)?;
    let id = RequestId::generate();
    let format = AnswerFormat::new(id, generation.model.clone(), chat, gateway.clock.unix_ms());
    let stream = generation.stream;
    let request = AdmittedRequest {
        opening_bytes: generation.prompt.opening_bytes,
        completion: new_completion(id, &account, generation),
        chat,
        account: Arc::clone(&account),
        arrived,
        previous_owner: None,
    };
    let (attach, subscriptions) = subscription_channel();
    let (tx, events) = mpsc::unbounded_channel();
    // The channel is empty, so this cannot fail.
    let _ = attach.try_send(Subscription { from: 0, tx });
    let running = RunningRequest {
        account: account.name.clone(),
        model: request.completion.model.clone(),
        chat,
        attach,
    };
    gateway.journal.register(id, running).await;
    let guard = AdmissionGuard {
        permit,
        _in_flight: caller.in_flight,
    };
    GenerationTask::start(gateway, request, Some(guard), subscriptions);
    let answer = AnswerResponse {
        id,
        format,
        events,
        from_offset: 0,
        backup: None,
    };
    let response = match stream {
        true => answer.into_event_stream().await,
        false => answer.into_document().await,
    };
    Ok(response.unwrap_or_else(|refusal| {
        let mut response = error::counted_refusal_response(gateway, &refusal);
        error::set_request_id(&mut response, id);
        response
    }))
}

/// Builds the request for admission to a service. Refuses an account that has no share of it.
pub(super) fn admission_request(
    service: &ServiceEntry,
    account: &AccountEntry,
    arrived: Instant,
    due: Instant,
) -> Result<AdmissionRequest, Refusal> {
    let usage = service.account(&account.name).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::OverShare,
            "the account has no share of this service; ask the operator",
        )
        .retry_after(Duration::from_secs(1))
    })?;
    Ok(AdmissionRequest {
        service: Arc::clone(&service.usage),
        account: Arc::clone(usage),
        priority: account.priority(),
        arrived,
        due,
    })
}

/// Builds the completion for the engines. The seed is always set, so that an answer that is generated
/// again is identical.
fn new_completion(
    id: RequestId,
    account: &AccountEntry,
    generation: GenerationRequest,
) -> Completion {
    Completion {
        id,
        account: account.name.clone(),
        model: generation.model,
        prompt: generation.prompt.text,
        max_tokens: generation.max_tokens,
        seed: generation.seed.unwrap_or_else(rand::random),
        priority: account.priority(),
        prefix: Vec::new(),
    }
}
