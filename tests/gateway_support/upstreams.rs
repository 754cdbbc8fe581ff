//! Engines and plain servers that record the requests they get and fail on demand.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::{
    domain::{Completion, FinishReason, RequestId, Token},
    ports::{
        CacheEvents, EngineLoad, EngineOrder, OrderOutcome, Sent, ServiceCall, ServiceReply,
        StreamEnd, StreamItem, Target, TokenStream, UpstreamError, UpstreamErrorKind, Upstreams,
    },
};
use futures_util::{StreamExt, stream};
use tokio::{sync::watch, time::sleep};

/// A failure of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Answers with an error, before or after the request has reached the instance.
    Refuse(UpstreamErrorKind, Sent),
    /// Sends this many tokens of an attempt and then stalls with the connection open; a plain call is not answered.
    Silent(u32),
    /// Sends this many tokens of an attempt and then breaks the connection.
    Cut(u32),
    /// Sends this many tokens of an attempt and closes the stream without an end mark.
    NoEnd(u32),
    /// Skips the token at this offset.
    Skip(u32),
    /// Is silent for a while after this many tokens of an attempt, and then goes on; a plain call is answered late.
    Pause(u32, Duration),
    /// Like [`Self::Refuse`], after a while.
    RefuseLate(UpstreamErrorKind, Sent, Duration),
}

/// An attempt at a generation at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub instance: String,
    pub prompt: String,
    pub prefix: usize,
}

#[derive(Default)]
struct State {
    faults: HashMap<String, Fault>,
    attempts: Vec<Attempt>,
    calls: Vec<(String, String)>,
    reached: u32,
    exports: u32,
    imports: Vec<String>,
    leaving: Vec<String>,
    leaving_hidden_from: Option<usize>,
}

#[derive(Clone)]
pub struct FakeUpstreams {
    state: Arc<Mutex<State>>,
    /// Number of the gateway that uses this handle.
    viewer: usize,
    /// Number of tokens that each answer may send; further ones wait.
    allowed_tokens: Arc<watch::Sender<u32>>,
    /// Plain calls are blocked while the value is false.
    open: Arc<watch::Sender<bool>>,
    streams: Arc<AtomicU32>,
}

/// Counts an open stream until it is dropped.
struct OpenStream(Arc<AtomicU32>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Default for FakeUpstreams {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            viewer: 0,
            allowed_tokens: Arc::new(watch::Sender::new(u32::MAX)),
            open: Arc::new(watch::Sender::new(true)),
            streams: Arc::default(),
        }
    }
}

/// Returns the token at an offset. It is unique to the prompt and the seed, so that a token of
/// another answer is detected.
pub fn token_text(prompt: &str, seed: u64, offset: u32) -> String {
    format!("[{prompt}/{seed}/{offset}]")
}

/// Returns the whole text of an answer.
pub fn answer_text(prompt: &str, seed: u64, tokens: u32) -> String {
    (0..tokens).map(|at| token_text(prompt, seed, at)).collect()
}

impl FakeUpstreams {
    pub fn fail(&self, instance: &str, fault: Fault) {
        let mut state = self.state.lock().unwrap();
        state.faults.insert(instance.to_owned(), fault);
    }

    /// Returns a handle to the same upstreams for one gateway.
    pub fn seen_by(&self, viewer: usize) -> Self {
        Self {
            viewer,
            ..self.clone()
        }
    }

    /// Hides the leaving of instances in the load reports for one gateway.
    pub fn hide_leaving_from(&self, viewer: usize) {
        self.state.lock().unwrap().leaving_hidden_from = Some(viewer);
    }

    pub fn set_leaving(&self, instance: &str) {
        self.state.lock().unwrap().leaving.push(instance.to_owned());
    }

    /// Lets every answer send up to this many tokens.
    pub fn allow_tokens(&self, tokens: u32) {
        self.allowed_tokens.send_replace(tokens);
    }

    pub fn set_calls_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Returns the number of requests of any kind of which a byte has arrived.
    pub fn reached(&self) -> u32 {
        self.state.lock().unwrap().reached
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.state.lock().unwrap().attempts.clone()
    }

    /// Returns the executed plain calls as instance and body.
    pub fn calls(&self) -> Vec<(String, String)> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Returns the number of streams that the gateways hold open.
    pub fn open_streams(&self) -> u32 {
        self.streams.load(Ordering::SeqCst)
    }

    pub fn exports(&self) -> u32 {
        self.state.lock().unwrap().exports
    }

    pub fn imports(&self) -> Vec<String> {
        self.state.lock().unwrap().imports.clone()
    }

    fn fault(&self, target: &Target) -> Fault {
        let state = self.state.lock().unwrap();
        let fault = state.faults.get(target.instance.as_str());
        fault.copied().unwrap_or_default()
    }

    /// Counts a request unless no byte of it arrives.
    async fn arrive(&self, fault: Fault) -> Result<(), UpstreamError> {
        if let Fault::RefuseLate(.., late) = fault {
            sleep(late).await;
        }
        let refused = match fault {
            Fault::Refuse(kind, sent) | Fault::RefuseLate(kind, sent, _) => {
                Some(UpstreamError::new(kind, sent, "injected failure"))
            }
            _ => None,
        };
        if refused.as_ref().is_none_or(|e| e.sent == Sent::Maybe) {
            self.state.lock().unwrap().reached += 1;
        }
        refused.map_or(Ok(()), Err)
    }
}

fn items(req: &Completion, fault: Fault) -> Vec<Result<StreamItem, UpstreamError>> {
    let from = req.prefix.len() as u32;
    let token = |offset| {
        Ok(StreamItem::Token(Token {
            offset,
            text: token_text(&req.prompt, req.seed, offset),
        }))
    };
    let end = Ok(StreamItem::End(StreamEnd {
        reason: FinishReason::Length,
        prompt_tokens: 7,
        cached_tokens: 3,
    }));
    let cut = Err(UpstreamError::new(
        UpstreamErrorKind::Cut,
        Sent::Maybe,
        "injected cut",
    ));
    let whole = from..req.max_tokens;
    match fault {
        Fault::Silent(tokens) | Fault::NoEnd(tokens) => {
            whole.take(tokens as usize).map(token).collect()
        }
        Fault::Cut(tokens) => whole
            .take(tokens as usize)
            .map(token)
            .chain([cut])
            .collect(),
        Fault::Skip(at) => whole
            .filter(|offset| *offset != at)
            .map(token)
            .chain([end])
            .collect(),
        Fault::None | Fault::Refuse(..) | Fault::RefuseLate(..) | Fault::Pause(..) => {
            whole.map(token).chain([end]).collect()
        }
    }
}

impl Upstreams for FakeUpstreams {
    async fn generate(
        &self,
        target: &Target,
        req: &Completion,
    ) -> Result<TokenStream, UpstreamError> {
        let fault = self.fault(target);
        self.state.lock().unwrap().attempts.push(Attempt {
            instance: target.instance.to_string(),
            prompt: req.prompt.clone(),
            prefix: req.prefix.len(),
        });
        self.arrive(fault).await?;
        let allowed_tokens = self.allowed_tokens.subscribe();
        self.streams.fetch_add(1, Ordering::SeqCst);
        let open = Arc::new(OpenStream(Arc::clone(&self.streams)));
        let pause = match fault {
            Fault::Pause(tokens, time) => Some((req.prefix.len() as u32 + tokens, time)),
            _ => None,
        };
        let paced = stream::iter(items(req, fault)).then(move |item| {
            let _open = Arc::clone(&open);
            let mut allowed_tokens = allowed_tokens.clone();
            async move {
                if let Ok(StreamItem::Token(token)) = &item {
                    let offset = token.offset;
                    let _ = allowed_tokens.wait_for(|tokens| offset < *tokens).await;
                    if let Some((_, time)) = pause.filter(|(at, _)| *at == offset) {
                        sleep(time).await;
                    }
                }
                item
            }
        });
        match fault {
            Fault::Silent(_) => Ok(paced.chain(stream::pending()).boxed()),
            _ => Ok(paced.boxed()),
        }
    }

    async fn cancel(&self, _: &Target, _: RequestId) -> Result<(), UpstreamError> {
        Ok(())
    }

    async fn load(&self, target: &Target) -> Result<EngineLoad, UpstreamError> {
        let state = self.state.lock().unwrap();
        let named = state
            .leaving
            .iter()
            .any(|name| name == target.instance.as_str());
        Ok(EngineLoad {
            slots: 64,
            leaving: named && state.leaving_hidden_from != Some(self.viewer),
            ..EngineLoad::default()
        })
    }

    async fn cache_events(&self, _: &Target, after: u64) -> Result<CacheEvents, UpstreamError> {
        Ok(CacheEvents {
            next: after,
            ..CacheEvents::default()
        })
    }

    async fn export_cache(&self, _: &Target, _: RequestId) -> Result<Bytes, UpstreamError> {
        self.state.lock().unwrap().exports += 1;
        Ok(Bytes::from_static(b"cache"))
    }

    async fn import_cache(&self, target: &Target, _: Bytes) -> Result<(), UpstreamError> {
        let mut state = self.state.lock().unwrap();
        state.imports.push(target.instance.to_string());
        Ok(())
    }

    async fn order(&self, _: &Target, _: &EngineOrder) -> Result<OrderOutcome, UpstreamError> {
        Ok(OrderOutcome::Done)
    }

    async fn call(
        &self,
        target: &Target,
        call: &ServiceCall,
    ) -> Result<ServiceReply, UpstreamError> {
        let fault = self.fault(target);
        self.arrive(fault).await?;
        let late = match fault {
            Fault::Silent(_) => Duration::MAX,
            Fault::Pause(_, time) => time,
            _ => Duration::ZERO,
        };
        sleep(late.min(call.timeout)).await;
        if late > call.timeout {
            let kind = UpstreamErrorKind::Silent;
            return Err(UpstreamError::new(kind, Sent::Maybe, "no answer in time"));
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let count = {
            let mut state = self.state.lock().unwrap();
            state
                .calls
                .push((target.instance.to_string(), body.clone()));
            state.calls.len()
        };
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|open| *open).await;
        Ok(ServiceReply {
            status: 200,
            content_type: "text/plain".to_owned(),
            ends_with_connection: body.contains("without length"),
            body: format!("{count}: {} {} {body}", call.method, call.path).into(),
        })
    }
}

/// Creates the fake upstreams.
pub fn shared() -> Arc<FakeUpstreams> {
    Arc::default()
}
