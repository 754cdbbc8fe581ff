//! Client of the controllers. It finds the leader and retries calls until a deadline. Retries are safe
//! because every change carries an operation id or is idempotent.

use std::{collections::VecDeque, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout_at},
};

use super::CmdError;
use crate::{
    adapters::revocable::RevocableStream,
    operator::{ErrorBody, ErrorDetail},
};

/// Timeout of one call to one controller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before all controllers are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the controllers.
#[derive(Debug)]
pub(super) struct OperatorClient {
    controllers: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
}

/// Result of one call to one server.
enum Attempt {
    Success(Bytes),
    Failed(CmdError),
    /// The server does not lead; with the leader's address, if the server knows it, and its message.
    NotLeader(Option<SocketAddr>, String),
    /// A temporary failure; another attempt may succeed.
    Retry(String),
}

impl OperatorClient {
    /// Creates a client from the addresses of some controllers and the file with the token.
    ///
    /// # Errors
    ///
    /// Fails if no controller or token file is given, or one of them cannot be parsed or read.
    pub(super) fn new(
        controllers: &[String],
        token_file: Option<&Path>,
        timeout: Duration,
    ) -> Result<Self, CmdError> {
        let controllers = parse_addresses(controllers)?;
        if controllers.is_empty() {
            let message = "no controller is named; give --controller ADDR or set \
                           FLAMINGOCROFT_CONTROLLERS";
            return Err(CmdError::Usage(message.to_owned()));
        }
        let token_file = token_file.ok_or_else(|| {
            let message = "no token is given; name its file with --token-file FILE";
            CmdError::Usage(message.to_owned())
        })?;
        let token = std::fs::read_to_string(token_file).map_err(|e| {
            let file = token_file.display();
            CmdError::Usage(format!("could not read the token file {file}: {e}"))
        })?;
        Ok(Self {
            controllers,
            token: token.trim().to_owned(),
            timeout,
        })
    }

    /// Sends a GET request to the leader.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CmdError> {
        self.call_leader(&self.controllers, Method::GET, path, Bytes::new())
            .await
    }

    /// Sends a POST request to the leader.
    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CmdError> {
        let body = serde_json::to_vec(body).map_err(|e| CmdError::Usage(e.to_string()))?;
        self.call_leader(&self.controllers, Method::POST, path, body.into())
            .await
    }

    /// Sends a GET request to some servers in turn and returns the first success, or else the last
    /// error.
    pub(super) async fn get_from_any<T: DeserializeOwned>(
        &self,
        servers: &[SocketAddr],
        path: &str,
    ) -> Result<T, CmdError> {
        let mut last = CmdError::Unreachable("there is no server to ask".to_owned());
        for server in servers {
            match self
                .try_server(*server, Method::GET, path, Bytes::new())
                .await
            {
                Attempt::Success(body) => return decode(&body),
                Attempt::Failed(e) => last = e,
                Attempt::NotLeader(_, message) | Attempt::Retry(message) => {
                    last = CmdError::Unreachable(message);
                }
            }
        }
        Err(last)
    }

    async fn call_leader<T: DeserializeOwned>(
        &self,
        servers: &[SocketAddr],
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CmdError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let mut next: VecDeque<SocketAddr> = servers.iter().copied().collect();
            // Only one leader hint is followed per round, so that two followers that name each other
            // are not called in a busy loop.
            let mut may_follow_hint = true;
            while let Some(server) = next.pop_front() {
                let attempt = self.try_server(server, method.clone(), path, body.clone());
                let message = match attempt.await {
                    Attempt::Success(body) => return decode(&body),
                    Attempt::Failed(e) => return Err(e),
                    Attempt::Retry(message) => message,
                    Attempt::NotLeader(leader, message) => {
                        if let Some(leader) = leader.filter(|_| may_follow_hint) {
                            next.push_front(leader);
                            may_follow_hint = false;
                        }
                        message
                    }
                };
                if Instant::now() >= deadline {
                    return Err(self.timeout_error(&message));
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn timeout_error(&self, message: &str) -> CmdError {
        CmdError::Unreachable(format!(
            "no answer from a leader within {} s (last: {message}); check that a majority of the \
             controllers runs, then run the same command again: a repeated order takes effect once",
            self.timeout.as_secs()
        ))
    }

    async fn try_server(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Attempt {
        let attempt_timeout = ATTEMPT_TIMEOUT.min(self.timeout.max(RETRY_DELAY));
        let deadline = Instant::now() + attempt_timeout;
        match timeout_at(deadline, self.send(server, method, path, body, deadline)).await {
            Ok(Ok((status, body))) => classify(server, status, body),
            Ok(Err(e)) => Attempt::Retry(format!("{server}: {e:#}")),
            Err(_) => Attempt::Retry(format!("{server} did not answer in time")),
        }
    }

    /// Sends one order. One that is given up, or whose tool is killed, does not arrive later.
    async fn send(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let stream = RevocableStream::new(TcpStream::connect(server).await?)?;
        let sending = stream.sending();
        sending.begin(Arc::new(deadline));
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, server.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = async {
            let res = sender.send_request(req).await?;
            let (head, body) = res.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!(e))?;
            sending.settle();
            anyhow::Ok((head.status, body.to_bytes()))
        };
        tokio::pin!(response, connection);
        tokio::select! {
            response = &mut response => response,
            closed = &mut connection => match closed {
                // The rest of the response may still be buffered.
                Ok(()) => response.await,
                Err(e) => Err(e.into()),
            },
        }
    }
}

/// Parses the controllers' addresses. Blank entries are skipped, since the environment variable may
/// be empty.
fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, CmdError> {
    let texts = texts.iter().map(|text| text.trim());
    texts
        .filter(|text| !text.is_empty())
        .map(|text| {
            text.parse().map_err(|_| {
                let message = format!("{text} is not an address such as 10.0.0.1:7200");
                CmdError::Usage(message)
            })
        })
        .collect()
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CmdError> {
    serde_json::from_slice(body).map_err(|e| CmdError::Refused {
        kind: "protocol".to_owned(),
        message: format!("the answer is of another version of this tool: {e}"),
    })
}

fn classify(server: SocketAddr, status: StatusCode, body: Bytes) -> Attempt {
    if status.is_success() {
        return Attempt::Success(body);
    }
    let detail = match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => body.error,
        Err(_) => return classify_by_status(server, status),
    };
    let message = format!("{server}: {}", detail.message);
    match status {
        StatusCode::MISDIRECTED_REQUEST => Attempt::NotLeader(detail.leader, message),
        StatusCode::CONFLICT => Attempt::Failed(CmdError::Conflict(detail.message)),
        status if is_temporary(status) => Attempt::Retry(message),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            Attempt::Failed(CmdError::Usage(detail.message))
        }
        _ => Attempt::Failed(refusal(detail)),
    }
}

fn classify_by_status(server: SocketAddr, status: StatusCode) -> Attempt {
    if is_temporary(status) {
        return Attempt::Retry(format!("{server} answered {status}"));
    }
    Attempt::Failed(CmdError::Refused {
        kind: "protocol".to_owned(),
        message: format!("{server} answered {status}; check that it is a controller's address"),
    })
}

fn is_temporary(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
            | StatusCode::BAD_GATEWAY
            | StatusCode::TOO_MANY_REQUESTS
    )
}

fn refusal(detail: ErrorDetail) -> CmdError {
    CmdError::Refused {
        kind: detail.kind.to_string(),
        message: detail.message,
    }
}
