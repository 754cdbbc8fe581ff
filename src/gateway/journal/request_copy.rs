//! Copies of requests, by which another gateway can continue them.

use std::sync::Arc;

use tokio::{sync::mpsc, time::Instant};
use uuid::Uuid;

use super::peers::journaled_request;
use crate::{
    domain::{AccountName, Completion, FinishReason, RequestId},
    gateway::{
        core::Gateway,
        generate::{AdmittedRequest, GenerationTask, Subscription},
    },
    ports::{Clock, Upstreams},
    wire::{JournalAppend, JournalPut, JournalTokens, JournaledRequest},
};

/// The copy of an accepted request.
#[derive(Clone, Debug)]
pub(crate) struct RequestCopy {
    /// The gateway that accepted the request.
    pub(crate) owner: String,
    /// The request.
    pub(crate) request: JournaledRequest,
    /// The texts of the tokens known so far.
    pub(crate) tokens: Vec<String>,
    /// The finish reason, if the answer is complete.
    pub(crate) finish: Option<FinishReason>,
}

impl RequestCopy {
    /// Creates a copy of a request of this gateway's own.
    pub(crate) fn of_own(owner: &str, request: &AdmittedRequest) -> Self {
        Self {
            owner: owner.to_owned(),
            request: journaled_request(request),
            tokens: request.completion.prefix.clone(),
            finish: None,
        }
    }

    /// Decodes a copy from its message; `None` if the message is incomplete.
    pub(super) fn from_message(put: JournalPut) -> Option<(RequestId, Self)> {
        let request = put.request?;
        let id = request_id(&request.id)?;
        let mut copy = Self {
            owner: put.owner,
            request,
            tokens: Vec::new(),
            finish: None,
        };
        if let Some(tokens) = put.tokens {
            copy.append(tokens);
        }
        Some((id, copy))
    }

    /// Appends tokens. They may overlap those already known; after a gap nothing is appended.
    pub(super) fn append(&mut self, tokens: JournalTokens) {
        let known = self.tokens.len();
        let Some(repeated) = known.checked_sub(tokens.offset as usize) else {
            return;
        };
        if repeated > tokens.texts.len() {
            return;
        }
        self.tokens.extend(tokens.texts.into_iter().skip(repeated));
        self.finish = match tokens.finish {
            1 => Some(FinishReason::Stop),
            2 => Some(FinishReason::Length),
            _ => self.finish,
        };
    }

    /// Returns the approximate memory that the copy occupies, in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        let tokens: usize = self
            .tokens
            .iter()
            .map(|text| text.len() + size_of::<String>())
            .sum();
        self.request.prompt.len() + tokens + size_of::<Self>()
    }

    /// Returns the account that the request belongs to.
    pub(super) fn account(&self) -> AccountName {
        self.request.account.as_str().into()
    }
}

/// Decodes a request id from its 16 bytes.
pub(super) fn request_id(bytes: &[u8]) -> Option<RequestId> {
    Uuid::from_slice(bytes).ok().map(RequestId)
}

/// Returns the id of the request that a message is about.
pub(super) fn append_id(append: &JournalAppend) -> Option<RequestId> {
    request_id(&append.id)
}

/// Continues a request that another gateway accepted. Nothing happens if its account is no longer
/// in force.
pub(crate) async fn resume<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    id: RequestId,
    copy: RequestCopy,
    attach: mpsc::Receiver<Subscription>,
) {
    let account: AccountName = copy.account();
    let snapshot = gateway.snapshot.load_full();
    let Some(account) = snapshot.account_named(&account) else {
        log::warn!("gateway: request {id} is not taken over, since its account is unknown.");
        gateway.journal.finish(id, None).await;
        return;
    };
    let completion = Completion {
        id,
        account: account.name.clone(),
        model: copy.request.model.as_str().into(),
        prompt: copy.request.prompt,
        max_tokens: copy.request.max_tokens,
        seed: copy.request.seed,
        priority: account.priority(),
        prefix: copy.tokens,
    };
    gateway.counters.taken_over.increment();
    let request = AdmittedRequest {
        // The copy does not record which part is the opening, so the whole prompt stands for it.
        opening_bytes: completion.prompt.len(),
        completion,
        chat: copy.request.chat,
        account: Arc::clone(account),
        arrived: Instant::now(),
        previous_owner: Some(copy.owner),
    };
    GenerationTask::start(gateway, request, None, attach);
}
