//! A fake controller with scripted responses, and a runner of the operator tool against it.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    collections::{HashMap, VecDeque},
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{net::TcpListener, process::Command};

pub const TOKEN: &str = "operators-only";

/// A scripted response.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A status and a body.
    Json(u16, Value),
    /// The request is received, then the connection is closed without a response.
    ConnectionClosed,
}

/// A request that the fake controller received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    pub line: String,
    pub authorization: String,
    pub body: Value,
}

#[derive(Debug, Default)]
struct Script {
    answers: HashMap<String, VecDeque<Answer>>,
    received: Vec<ReceivedRequest>,
}

/// A fake controller with scripted responses to each call. The last response to a call is repeated.
#[derive(Clone, Debug)]
pub struct FakeController {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl FakeController {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Mutex<Script>> = Arc::default();
        let shared = Arc::clone(&script);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let script = Arc::clone(&shared);
                let service = service_fn(move |req| answer(Arc::clone(&script), req));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, script }
    }

    /// Scripts the responses to a request line such as `GET /v1/status`.
    pub fn respond(&self, line: &str, answers: impl IntoIterator<Item = Answer>) {
        let mut script = self.script.lock().unwrap();
        let answers = answers.into_iter().collect();
        script.answers.insert(line.to_owned(), answers);
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.script.lock().unwrap().received.clone()
    }
}

async fn answer(
    script: Arc<Mutex<Script>>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, &'static str> {
    let line = format!("{} {}", req.method(), req.uri());
    let authorization = req.headers().get("authorization").cloned();
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let mut script = script.lock().unwrap();
    script.received.push(ReceivedRequest {
        line: line.clone(),
        authorization: authorization.map_or(String::new(), |v| v.to_str().unwrap().to_owned()),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    });
    let answers = script.answers.get_mut(&line);
    let answer = answers.and_then(|answers| match answers.len() {
        0 | 1 => answers.front().cloned(),
        _ => answers.pop_front(),
    });
    match answer.unwrap_or_else(|| error(404, "not_found", "there is no such thing")) {
        Answer::Json(status, value) => Ok(Response::builder()
            .status(status)
            .body(Full::new(value.to_string().into()))
            .unwrap()),
        Answer::ConnectionClosed => Err("the connection is closed on purpose"),
    }
}

pub fn error(status: u16, kind: &str, message: &str) -> Answer {
    let detail = json!({ "kind": kind, "message": message, "ran": "no" });
    Answer::Json(status, json!({ "error": detail }))
}

pub fn not_leader(leader: SocketAddr) -> Answer {
    let detail = json!({
        "kind": "not_leader",
        "message": "ask the leader",
        "ran": "no",
        "leader": leader,
    });
    Answer::Json(421, json!({ "error": detail }))
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub struct Outcome {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Outcome {
    /// Returns the exit code and output as text, without the parts that differ between runs.
    pub fn describe(&self, tool: &Tool) -> String {
        let text = format!("exit {}\n{}{}", self.code, self.stdout, self.stderr);
        text.replace(&tool.folder.path().display().to_string(), "FOLDER")
    }
}

/// The operator tool with a temporary folder for its files.
#[derive(Debug)]
pub struct Tool {
    pub folder: TempDir,
    controllers: String,
}

impl Tool {
    pub fn new(controllers: &[SocketAddr]) -> Self {
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("token"), format!("{TOKEN}\n")).unwrap();
        let controllers: Vec<String> = controllers.iter().map(ToString::to_string).collect();
        Self {
            folder,
            controllers: controllers.join(","),
        }
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.path().join(name);
        fs::write(&file, text).unwrap();
        file
    }

    pub async fn run(&self, args: &[&str]) -> Outcome {
        let output = Command::new(env!("CARGO_BIN_EXE_flamingocroft"))
            .args(args)
            .current_dir(self.folder.path())
            .env("FLAMINGOCROFT_CONTROLLERS", &self.controllers)
            .env("FLAMINGOCROFT_TOKEN_FILE", self.folder.path().join("token"))
            .kill_on_drop(true)
            .output()
            .await
            .unwrap();
        Outcome {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// A small valid intent.
pub fn intent() -> Value {
    json!({
        "zones": [{ "name": "a", "region": "south" }],
        "tiers": [
            { "name": "paying", "paying": true, "first_token_ms": 640, "between_tokens_ms": 26 },
        ],
        "accounts": [{ "name": "depot", "tier": "paying", "token_sha256": "a".repeat(64) }],
        "models": [{ "name": "assistant", "version": "v1", "weights_mib": 1024 }],
        "services": [{
            "name": "assistants",
            "kind": { "engines": { "models": ["assistant"], "fencing": "checked" } },
            "zones": ["a"],
            "class": "gpu",
            "slots_per_instance": 8,
            "expected_concurrency": 8,
        }],
        "prices": [{
            "zone": "a",
            "class": "gpu",
            "on_demand_micros_per_hour": 3_000_000,
            "reclaimable_micros_per_hour": 1_000_000,
            "reclaims_per_day": 1.5,
        }],
    })
}

pub const OPERATION: &str = "0190b5a0-0000-7000-8000-000000000009";

/// A plan for [`intent`].
pub fn plan() -> Value {
    json!({
        "operation": OPERATION,
        "base_revision": 4,
        "changes": ["Service assistants is added.", "Account depot is added."],
        "placement": [
            {
                "service": "assistants", "zone": "a", "class": "gpu",
                "purchase": "reclaimable", "before": 0, "after": 2,
            },
            {
                "service": "assistants", "zone": "a", "class": "gpu",
                "purchase": "on_demand", "before": 1, "after": 0,
            },
        ],
        "shortfalls": ["Service assistants has one zone; name a second one."],
        "cost_before": 3_000_000,
        "cost_after": 2_000_000,
        "intent": intent(),
    })
}
