//! Records what the processes of a build write, for `tests/recorded_builds.rs`: frames, data folders and settings, and
//! beside them what the build itself said of its state.
//!
//! Run `cargo run --example record_build -- PROGRAM FOLDER` with the build's daemon; see docs/UPGRADES.md.

#[path = "../tests/platform_support/mod.rs"]
mod platform_support;
mod support;

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, ensure};
use bytes::BytesMut;
use flamingocroft::{
    domain::Incarnation,
    link::{Identity, Link, LinkSettings, PeerKey},
    settings::Timing,
    wire::{
        Body, ClaimRequest, GatewayHeartbeat, GatewayRecord, OutcomeRequest, ReleaseRequest,
        StoredOutcome,
    },
};
use futures_util::{StreamExt, stream};
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use platform_support::{
    API_KEY, Installation, PEER_KEY, PreparedInstallation, ServerAction, call,
    daemons::{Daemon, call_any, version_of},
    document, wait_until,
};
use serde_json::{Value, json};
use standin::engine::EngineParams;
use support::{
    http::{Call, open, send},
    intent::intent,
    processes::Processes,
    recorder::{WireRecorder, length_codec},
    shape::{MODEL, PAYING_TOKEN, Shape, plan_daemon_settings},
    upstreams::start_upstreams,
};
use tempfile::TempDir;
use tokio::time::sleep;
use tokio_util::codec::Encoder;
use uuid::Uuid;

const CONTROLLERS: usize = 3;
const GATEWAYS: usize = 2;
/// Port of the first process's links; each further process has one of its own.
const FIRST_PEER_PORT: u16 = 7210;
/// More entries than a build applies between two snapshots.
const ENTRIES_FOR_A_SNAPSHOT: usize = 17_000;
const ENTRIES_AT_ONCE: usize = 256;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which followers apply what is committed and polls pass.
const SETTLE: Duration = Duration::from_secs(3);
/// Tokens of a stream that outlasts its gateway.
const STREAM_TOKENS: u32 = 200;
/// The name under which this program claims.
const CLAIMING_GATEWAY: &str = "recorder";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let mut argument = |name| {
        arguments
            .next()
            .with_context(|| format!("{name} is missing"))
    };
    let (program, folder) = (argument("PROGRAM")?, argument("FOLDER")?);
    fs::create_dir_all(&folder)?;
    let recorder = WireRecorder::default();
    let own = record_own_interface(&program, &folder, &recorder).await?;
    let platform = record_platform(&program, &folder, &recorder).await?;
    let mut frames = BytesMut::new();
    for (kind, bytes) in recorder.kept() {
        println!("{kind}: {} bytes", bytes.len());
        length_codec().encode(bytes, &mut frames)?;
    }
    fs::write(folder.join("frames.bin"), frames)?;
    let said = json!({"own": own, "platform": platform});
    fs::write(
        folder.join("said.json"),
        serde_json::to_string_pretty(&said)? + "\n",
    )?;
    Ok(())
}

/// Copies the files of a data folder whose process was killed, without the empty one that locks it.
fn copy_folder(from: &Path, to: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        if file.metadata()?.len() > 0 {
            fs::copy(file.path(), to.join(file.file_name()))?;
        }
    }
    Ok(())
}

/// Plays the own interface: an intent, a release and a stream that is handed over.
async fn record_own_interface(
    program: &Path,
    to: &Path,
    recorder: &WireRecorder,
) -> anyhow::Result<Value> {
    let folder = TempDir::new()?;
    let base = Shape::default();
    let shape = Shape {
        engine: EngineParams {
            token_interval_us: 10_000,
            ..base.engine.clone()
        },
        timing: Timing {
            shutdown: Duration::from_millis(300),
            ..base.timing.clone()
        },
        ..base
    };
    let upstreams = start_upstreams(&shape).await?;
    let mut settings = plan_daemon_settings(&shape, folder.path(), upstreams.cloud.address())?;
    for daemon in settings
        .controllers
        .iter_mut()
        .chain(&mut settings.gateways)
    {
        for entry in &mut daemon.controllers {
            if entry.name != daemon.name {
                let near = SocketAddr::new(entry.peer_address.ip(), 0);
                entry.peer_address = recorder.forward(near, entry.peer_address).await?;
            }
        }
    }
    for gateway in &settings.gateways {
        recorder.move_gateway(gateway.peer_address).await?;
    }
    let mut processes =
        Processes::start_daemons(upstreams, &settings, program, folder.path()).await?;
    processes.confirm(&intent(&shape)).await?;
    processes.wait_ready().await?;
    let key = Uuid::now_v7();
    let release = Call::post(
        "/v1/services/depot/releases",
        PAYING_TOKEN,
        &json!({"truck": "TN-204"}),
    )
    .header("Idempotency-Key", key);
    let released = send(processes.gateway(0), &release).await?;
    ensure!(released.status == StatusCode::OK, "{}", released.text());
    let completion = |tokens: u32| {
        let body = json!({
            "model": MODEL, "prompt": "a draft", "max_tokens": tokens, "seed": 7, "stream": true,
        });
        Call::post("/v1/completions", PAYING_TOKEN, &body)
    };
    let finished = send(processes.gateway(0), &completion(2)).await?;
    ensure!(finished.status == StatusCode::OK, "{}", finished.text());
    let stream = open(processes.gateway(0), &completion(STREAM_TOKENS)).await?;
    sleep(Duration::from_millis(200)).await;
    processes.gateways[0].signal(Signal::SIGTERM)?;
    processes.gateways[0].wait().await?;
    drop(stream);
    sleep(SETTLE).await;
    let status = processes.status().await?;
    let leader = processes.leader().await?;
    for controller in &mut processes.controllers {
        controller.kill()?;
    }
    let name = &processes.controllers[leader].settings.name;
    copy_folder(&folder.path().join(&**name), &to.join("own"))?;
    for (name, role) in [("controller-0", "controller"), ("gateway-0", "gateway")] {
        let file = folder.path().join(format!("{name}.jsonc"));
        fs::copy(file, to.join(format!("own-{role}.jsonc")))?;
    }
    Ok(json!({
        "revision": status.revision.0,
        "voters": CONTROLLERS,
        "account": "sabkha",
        "key": key.to_string(),
        "answer": released.text(),
    }))
}

/// Plays the users' platform: documents, requests, streams, claims, a snapshot and a lost disk.
async fn record_platform(
    program: &Path,
    to: &Path,
    recorder: &WireRecorder,
) -> anyhow::Result<Value> {
    let prepared = PreparedInstallation::prepare(CONTROLLERS, 2, |_, seen| {
        match seen.path.starts_with("/resumed/") {
            true => ServerAction::Paced(
                vec!["id: 1\ndata: piece\n\n".to_owned()],
                Duration::from_millis(40),
            ),
            false => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
        }
    })
    .await;
    let controls = prepared.controls();
    let hosts: Vec<IpAddr> = controls.iter().map(SocketAddr::ip).collect();
    let mut files = prepared.controller_files.clone();
    let gateways: Vec<_> = (0..GATEWAYS).map(|_| prepared.add_gateway_file()).collect();
    files.extend(gateways.iter().map(|(file, _)| file.clone()));
    // Each process looks for the controllers at its own port, where the recorder forwards to theirs.
    for (process, file) in files.iter().enumerate() {
        let port = peer_port(process);
        set_peer_port(file, port)?;
        for (controller, host) in hosts.iter().enumerate() {
            if controller != process {
                let at = SocketAddr::new(*host, port);
                let far = SocketAddr::new(*host, peer_port(controller));
                recorder.forward(at, far).await?;
            }
        }
    }
    let folders: Vec<PathBuf> = (0..CONTROLLERS)
        .map(|controller| prepared.data_folder(controller))
        .collect();
    let start =
        |file: &PathBuf| Daemon::start_program(program, file, "warn", std::process::Stdio::null());
    let mut daemons: Vec<Daemon> = files.iter().map(start).collect();
    let _installation: Installation = prepared.into_installation();
    publish(&controls, 1).await;
    for (_, host) in &gateways {
        serve_some(SocketAddr::new(*host, 7301)).await;
    }
    let claiming = Claiming::find_leader(&hosts).await?;
    claiming.make().await?;
    claiming.fill_log().await?;
    sleep(SETTLE).await;
    publish(&controls, 2).await;
    // A lost disk, so that a snapshot is sent.
    let last = CONTROLLERS - 1;
    daemons[last].kill();
    fs::remove_dir_all(&folders[last])?;
    daemons[last] = start(&files[last]);
    sleep(SETTLE * 2).await;
    // A start writes the log anew, without what the snapshot holds.
    for controller in 0..CONTROLLERS {
        daemons[controller].kill();
        daemons[controller] = start(&files[controller]);
    }
    publish(&controls, 3).await;
    let claims = Claiming::find_leader(&hosts)
        .await?
        .ask_again(&claiming)
        .await?;
    sleep(SETTLE).await;
    let read = call_any(&controls, Method::GET, "/api/config/get", "").await;
    let version = version_of(&read);
    for daemon in &mut daemons {
        daemon.kill();
    }
    copy_folder(&folders[0], &to.join("platform"))?;
    fs::copy(&files[0], to.join("platform-controller.jsonc"))?;
    fs::copy(&files[CONTROLLERS], to.join("platform-gateway.jsonc"))?;
    Ok(json!({"version": version, "document": read.text(), "claims": claims}))
}

fn peer_port(process: usize) -> u16 {
    FIRST_PEER_PORT + process as u16
}

fn set_peer_port(file: &Path, port: u16) -> anyhow::Result<()> {
    let mut settings: Value = serde_json::from_str(&fs::read_to_string(file)?)?;
    let address = settings["peer_address"].as_str().context("no address")?;
    let host = address.parse::<SocketAddr>()?.ip();
    settings["peer_address"] = json!(SocketAddr::new(host, port).to_string());
    fs::write(file, serde_json::to_string_pretty(&settings)? + "\n")?;
    Ok(())
}

async fn publish(controls: &[SocketAddr], version: u64) {
    let text = document(version).to_string();
    call_any(controls, Method::POST, "/api/config/put", &text).await;
}

/// Sends requests and streams through a gateway.
async fn serve_some(gateway: SocketAddr) {
    let key = format!("Bearer {API_KEY}");
    for path in ["/safe/x", "/once/x", "/resumed/x"] {
        wait_until("a gateway serves", || async {
            let headers = [
                ("host", "depot.example"),
                ("x-flamingocroft-request-id", path),
                ("x-flamingocroft-deadline-ms", "3000"),
                ("authorization", &key),
            ];
            let answer = call(gateway, Method::POST, path, &headers, "prompt").await;
            answer.is_some_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
}

/// Claims of a gateway of its own, at the leader.
struct Claiming {
    link: Link,
    claims: Vec<ClaimRequest>,
}

impl Claiming {
    async fn find_leader(hosts: &[IpAddr]) -> anyhow::Result<Self> {
        let key = PeerKey::new(PEER_KEY.as_bytes()).context("the key is too short")?;
        let own = Identity {
            name: CLAIMING_GATEWAY.into(),
            incarnation: Incarnation(1),
        };
        let links: Vec<Link> = hosts
            .iter()
            .enumerate()
            .map(|(controller, host)| {
                let address = SocketAddr::new(*host, peer_port(controller));
                Link::connect(address, key.clone(), own.clone(), LinkSettings::default())
            })
            .collect();
        let claims = (1..=3).map(|attempt| ClaimRequest {
            account: "depot".to_owned(),
            key: Uuid::now_v7().as_bytes().to_vec(),
            digest: vec![attempt as u8; 32],
            gateway: CLAIMING_GATEWAY.to_owned(),
            incarnation: 1,
            attempt,
        });
        let claims: Vec<_> = claims.collect();
        for _ in 0..100 {
            for link in &links {
                let heartbeat = Body::Heartbeat(GatewayHeartbeat {
                    gateway: Some(GatewayRecord {
                        name: CLAIMING_GATEWAY.to_owned(),
                        incarnation: 1,
                        zone: "a".to_owned(),
                        caller_address: "127.0.0.1:1".to_owned(),
                        peer_address: "127.0.0.1:2".to_owned(),
                        leaving: false,
                    }),
                    ..GatewayHeartbeat::default()
                });
                if let Ok(Body::Lease(_)) = link.call(heartbeat, CALL_TIMEOUT).await {
                    let link = link.clone();
                    return Ok(Self { link, claims });
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("no controller leads")
    }

    async fn call(&self, body: Body) -> anyhow::Result<Body> {
        Ok(self.link.call(body, CALL_TIMEOUT).await?)
    }

    /// Leaves one claim open, closes one with an outcome and releases one.
    async fn make(&self) -> anyhow::Result<()> {
        for claim in &self.claims {
            self.call(Body::Claim(claim.clone())).await?;
        }
        let outcome = StoredOutcome {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: "released".into(),
            ends_with_connection: false,
        };
        let done = OutcomeRequest {
            claim: Some(self.claims[1].clone()),
            outcome: Some(outcome),
        };
        self.call(Body::Outcome(done)).await?;
        let released = ReleaseRequest {
            claim: Some(self.claims[2].clone()),
        };
        self.call(Body::Release(released)).await?;
        Ok(())
    }

    /// Commits entries that change nothing, since nobody holds the claims that they name.
    async fn fill_log(&self) -> anyhow::Result<()> {
        let stray = Body::Outcome(OutcomeRequest {
            claim: Some(ClaimRequest {
                key: Uuid::now_v7().as_bytes().to_vec(),
                ..self.claims[0].clone()
            }),
            outcome: None,
        });
        let sent = stream::iter(0..ENTRIES_FOR_A_SNAPSHOT)
            .map(|_| self.call(stray.clone()))
            .buffer_unordered(ENTRIES_AT_ONCE);
        let replies: Vec<anyhow::Result<Body>> = sent.collect().await;
        let accepted = replies
            .iter()
            .filter(|reply| matches!(reply, Ok(Body::OutcomeReply(_))));
        println!("{} entries of {ENTRIES_FOR_A_SNAPSHOT}", accepted.count());
        Ok(())
    }

    /// Asks for the claims that were made before, and returns what the leader says of each.
    async fn ask_again(&self, made: &Self) -> anyhow::Result<Vec<Value>> {
        let mut said = Vec::new();
        for claim in &made.claims {
            let Body::ClaimReply(reply) = self.call(Body::Claim(claim.clone())).await? else {
                anyhow::bail!("a claim got another answer");
            };
            let outcome = reply.outcome.as_ref().map(|outcome| &outcome.body);
            said.push(json!({
                "key": Uuid::from_slice(&claim.key)?.to_string(),
                "attempt": claim.attempt,
                "status": reply.status,
                "outcome": outcome.map(|body| String::from_utf8_lossy(body).into_owned()),
            }));
        }
        Ok(said)
    }
}
