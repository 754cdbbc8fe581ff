//! Calls of the controllers. It finds the leader, and asks again within a time limit, which is safe
//! because every order carries an operation id or has the same effect when it is repeated.

use std::{collections::VecDeque, net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::CmdError;
use crate::operator::{ErrorBody, ErrorDetail};

/// Longest time for one attempt at one controller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after all controllers were tried in vain.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Calls the controllers.
#[derive(Debug)]
pub(super) struct OperatorClient {
    controllers: Vec<SocketAddr>,
    token: String,
    limit: Duration,
}

/// What one attempt led to.
enum Attempt {
    Done(Bytes),
    Final(CmdError),
    /// Another controller leads.
    Elsewhere(Option<SocketAddr>, String),
    /// It may help to ask again.
    Again(String),
}

impl OperatorClient {
    /// Makes a client for some controllers.
    pub(super) fn new(
        controllers: &[String],
        token_file: Option<&Path>,
        limit: Duration,
    ) -> Result<Self, CmdError> {
        let controllers = addresses(controllers)?;
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
            limit,
        })
    }

    /// Reads something from the leader.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CmdError> {
        self.ask(&self.controllers, Method::GET, path, Bytes::new())
            .await
    }

    /// Gives the leader an order.
    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CmdError> {
        let body = serde_json::to_vec(body).map_err(|e| CmdError::Usage(e.to_string()))?;
        self.ask(&self.controllers, Method::POST, path, body.into())
            .await
    }

    /// Reads something from the first of some servers that has it.
    pub(super) async fn get_at<T: DeserializeOwned>(
        &self,
        servers: &[SocketAddr],
        path: &str,
    ) -> Result<T, CmdError> {
        let mut last = CmdError::Unreachable("there is no server to ask".to_owned());
        for server in servers {
            match self.attempt(*server, Method::GET, path, Bytes::new()).await {
                Attempt::Done(body) => return decode(&body),
                Attempt::Final(e) => last = e,
                Attempt::Elsewhere(_, message) | Attempt::Again(message) => {
                    last = CmdError::Unreachable(message);
                }
            }
        }
        Err(last)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        servers: &[SocketAddr],
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CmdError> {
        let deadline = Instant::now() + self.limit;
        loop {
            let mut next: VecDeque<SocketAddr> = servers.iter().copied().collect();
            // One hint a round is followed, so that two followers that name each other are not
            // asked without a pause.
            let mut may_follow = true;
            while let Some(server) = next.pop_front() {
                let attempt = self.attempt(server, method.clone(), path, body.clone());
                let message = match attempt.await {
                    Attempt::Done(body) => return decode(&body),
                    Attempt::Final(e) => return Err(e),
                    Attempt::Again(message) => message,
                    Attempt::Elsewhere(leader, message) => {
                        if let Some(leader) = leader.filter(|_| may_follow) {
                            next.push_front(leader);
                            may_follow = false;
                        }
                        message
                    }
                };
                if Instant::now() >= deadline {
                    return Err(self.gave_up(&message));
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn gave_up(&self, message: &str) -> CmdError {
        CmdError::Unreachable(format!(
            "no answer from a leader within {} s (last: {message}); check that a majority of the \
             controllers runs, then run the same command again: a repeated order takes effect once",
            self.limit.as_secs()
        ))
    }

    async fn attempt(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Attempt {
        let limit = ATTEMPT_TIMEOUT.min(self.limit.max(RETRY_DELAY));
        match timeout(limit, self.exchange(server, method, path, body)).await {
            Ok(Ok((status, body))) => sort(server, status, body),
            Ok(Err(e)) => Attempt::Again(format!("{server}: {e:#}")),
            Err(_) => Attempt::Again(format!("{server} did not answer in time")),
        }
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let stream = TcpStream::connect(server).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, server.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let answer = async {
            let res = sender.send_request(req).await?;
            let (head, body) = res.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
            let body = body.map_err(|e| anyhow::anyhow!(e))?;
            anyhow::Ok((head.status, body.to_bytes()))
        };
        tokio::pin!(answer, connection);
        tokio::select! {
            answer = &mut answer => answer,
            ended = &mut connection => match ended {
                // The end of the answer may still wait to be read.
                Ok(()) => answer.await,
                Err(e) => Err(e.into()),
            },
        }
    }
}

/// Reads the controllers' addresses. An empty environment variable names none.
fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, CmdError> {
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

fn sort(server: SocketAddr, status: StatusCode, body: Bytes) -> Attempt {
    if status.is_success() {
        return Attempt::Done(body);
    }
    let detail = match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => body.error,
        Err(_) => return unreadable(server, status),
    };
    let message = format!("{server}: {}", detail.message);
    match status {
        StatusCode::MISDIRECTED_REQUEST => Attempt::Elsewhere(detail.leader, message),
        StatusCode::CONFLICT => Attempt::Final(CmdError::Conflict(detail.message)),
        status if is_temporary(status) => Attempt::Again(message),
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            Attempt::Final(CmdError::Usage(detail.message))
        }
        _ => Attempt::Final(refused(detail)),
    }
}

fn unreadable(server: SocketAddr, status: StatusCode) -> Attempt {
    if is_temporary(status) {
        return Attempt::Again(format!("{server} answered {status}"));
    }
    Attempt::Final(CmdError::Refused {
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

fn refused(detail: ErrorDetail) -> CmdError {
    CmdError::Refused {
        kind: detail.kind.to_string(),
        message: detail.message,
    }
}
