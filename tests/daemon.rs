//! Tests the daemon as a process: reports of invalid settings, signals and logging.

use std::{fs, path::Path, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time::timeout,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a loopback address that only this test of this process uses.
fn host(test: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{test}", 64 + id / 256 % 64, id % 256)
}

fn settings(folder: &Path, role: &str, host: &str) -> Value {
    let key = folder.join("peer.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    let port_prefix = if role == "controller" { 7 } else { 8 };
    json!({
        "name": role,
        "role": role,
        "zone": "a",
        "http_address": format!("{host}:{port_prefix}200"),
        "peer_address": format!("{host}:{port_prefix}100"),
        "peer_key_file": key,
        "controllers": [{
            "name": "controller",
            "zone": "a",
            "peer_address": format!("{host}:7100"),
            "http_address": format!("{host}:7200"),
        }],
        "data_folder": folder.join("data"),
        "operator_token_sha256": "a".repeat(64),
        "timing": { "shutdown_ms": 1000 },
    })
}

fn start(folder: &Path, settings: &Value) -> (Child, Lines<BufReader<ChildStdout>>) {
    let file = folder.join("settings.jsonc");
    fs::write(&file, settings.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_flamingocroftd"))
        .arg("--settings")
        .arg(file)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    (child, lines)
}

async fn wait_for_line<R: AsyncRead + Unpin>(lines: &mut Lines<BufReader<R>>, part: &str) {
    let found = timeout(WAIT_TIMEOUT, async {
        while let Some(line) = lines.next_line().await.unwrap() {
            if line.contains(part) {
                return;
            }
        }
        panic!("the daemon ended without the line {part}");
    });
    assert!(found.await.is_ok(), "the line {part} did not come");
}

#[tokio::test]
async fn both_roles_stop_with_code_0_on_a_signal() {
    let cases = [("controller", Signal::SIGTERM), ("gateway", Signal::SIGINT)];
    for (i, (role, signal)) in cases.into_iter().enumerate() {
        let folder = TempDir::new().unwrap();
        let settings = settings(folder.path(), role, &host(i as u8 + 1));
        let (mut child, mut lines) = start(folder.path(), &settings);
        wait_for_line(&mut lines, &format!("{role} serves HTTP on")).await;
        kill(Pid::from_raw(child.id().unwrap() as i32), signal).unwrap();
        wait_for_line(&mut lines, &format!("{role} has stopped")).await;
        let status = timeout(WAIT_TIMEOUT, child.wait()).await.unwrap().unwrap();
        assert_eq!(status.code(), Some(0), "{role}");
    }
}

#[tokio::test]
async fn invalid_settings_exit_with_code_1_and_all_errors() {
    let folder = TempDir::new().unwrap();
    let mut settings = settings(folder.path(), "gateway", &host(3));
    settings["zone"] = json!(7);
    settings["timing"]["view_lease_ms"] = json!(1);
    let (mut child, _) = start(folder.path(), &settings);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    wait_for_line(&mut lines, "has 2 problems").await;
    wait_for_line(&mut lines, "zone is 7: write a text").await;
    wait_for_line(&mut lines, "timing.view_lease_ms is 1: make it longer than").await;
    let status = timeout(WAIT_TIMEOUT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(1));
}

#[tokio::test]
async fn sighup_reloads_the_settings_without_a_restart() {
    let folder = TempDir::new().unwrap();
    let settings = settings(folder.path(), "gateway", &host(4));
    let (mut child, mut lines) = start(folder.path(), &settings);
    wait_for_line(&mut lines, "gateway serves HTTP on").await;
    kill(Pid::from_raw(child.id().unwrap() as i32), Signal::SIGHUP).unwrap();
    wait_for_line(&mut lines, "settings: read again; changed: false").await;
    let mut longer = settings.clone();
    longer["timing"]["shutdown_ms"] = json!(1500);
    fs::write(folder.path().join("settings.jsonc"), longer.to_string()).unwrap();
    wait_for_line(&mut lines, "settings: read again; changed: true").await;
    fs::write(folder.path().join("settings.jsonc"), "{").unwrap();
    wait_for_line(
        &mut lines,
        "settings: reload failed; the previous settings stay in effect",
    )
    .await;
    kill(Pid::from_raw(child.id().unwrap() as i32), Signal::SIGTERM).unwrap();
    let status = timeout(WAIT_TIMEOUT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn log_lines_are_json_objects() {
    let folder = TempDir::new().unwrap();
    let settings = settings(folder.path(), "gateway", &host(5));
    let (child, mut lines) = start(folder.path(), &settings);
    let line = timeout(WAIT_TIMEOUT, lines.next_line())
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    let line: Value = serde_json::from_str(&line).unwrap();
    for field in ["time", "level", "message"] {
        assert!(line[field].is_string(), "{field} in {line}");
    }
    drop(child);
}

/// Guards against requests that block on a stalled reader of the log. Each request is refused with a log
/// line, because no table was published, so the log's pipe fills up.
#[tokio::test]
async fn a_stalled_log_reader_does_not_block_requests() {
    const REQUESTS: usize = 3000;
    // A pipe holds 64 KiB, less the unused parts of its pages; the lines need several times that.
    const FULL_PIPE_BYTES: std::ops::RangeInclusive<usize> = 48 * 1024..=64 * 1024;
    let folder = TempDir::new().unwrap();
    let host = host(6);
    let mut settings = settings(folder.path(), "gateway", &host);
    settings["ingress"] = json!({
        "address": format!("{host}:8300"),
        "platform_address": format!("{host}:8400"),
    });
    // Nothing reads the pipe, so it is full after a fraction of the lines.
    let (mut child, lines) = start(folder.path(), &settings);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let refused = timeout(WAIT_TIMEOUT, async {
        let mut answers = 0;
        while answers < REQUESTS {
            match client
                .get(format!("http://{host}:8300/x").parse().unwrap())
                .await
            {
                Ok(_) => answers += 1,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    });
    assert!(
        refused.await.is_ok(),
        "requests wait for the reader of the log"
    );
    kill(Pid::from_raw(child.id().unwrap() as i32), Signal::SIGTERM).unwrap();
    let status = timeout(WAIT_TIMEOUT, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    let mut left = Vec::new();
    let mut pipe = lines.into_inner();
    pipe.read_to_end(&mut left).await.unwrap();
    assert!(
        FULL_PIPE_BYTES.contains(&left.len()),
        "{} bytes in the pipe",
        left.len()
    );
}
