//! The daemon as a process: it reports wrong settings, and a signal stops it.

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

const PATIENCE: Duration = Duration::from_secs(30);

/// Returns an address of this process and test alone.
fn host(test: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{test}", 64 + id / 256 % 64, id % 256)
}

fn settings(folder: &Path, role: &str, host: &str) -> Value {
    let key = folder.join("peer.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    let own = if role == "controller" { 7 } else { 8 };
    json!({
        "name": role,
        "role": role,
        "zone": "a",
        "http_address": format!("{host}:{own}200"),
        "peer_address": format!("{host}:{own}100"),
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
    let found = timeout(PATIENCE, async {
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
        let status = timeout(PATIENCE, child.wait()).await.unwrap().unwrap();
        assert_eq!(status.code(), Some(0), "{role}");
    }
}

#[tokio::test]
async fn wrong_settings_end_it_with_code_1_and_all_errors() {
    let folder = TempDir::new().unwrap();
    let mut settings = settings(folder.path(), "gateway", &host(3));
    settings["zone"] = json!(7);
    settings["timing"]["view_lease_ms"] = json!(1);
    let (mut child, _) = start(folder.path(), &settings);
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    wait_for_line(&mut lines, "has 2 problems").await;
    wait_for_line(&mut lines, "zone is 7: write a text").await;
    wait_for_line(&mut lines, "timing.view_lease_ms is 1: make it longer than").await;
    let status = timeout(PATIENCE, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(1));
}

#[tokio::test]
async fn a_hangup_reads_the_settings_again_and_ends_nothing() {
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
    let status = timeout(PATIENCE, child.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn log_lines_are_json_objects() {
    let folder = TempDir::new().unwrap();
    let settings = settings(folder.path(), "gateway", &host(5));
    let (child, mut lines) = start(folder.path(), &settings);
    let line = timeout(PATIENCE, lines.next_line())
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

/// Each request is refused with a line in the log, because no table was published.
#[tokio::test]
async fn a_reader_of_the_log_that_has_stopped_holds_nothing_up() {
    const REQUESTS: usize = 3000;
    // A pipe holds 64 KiB, less what is unused of its pages; the lines need several times that.
    const FULL_PIPE_BYTES: std::ops::RangeInclusive<usize> = 48 * 1024..=64 * 1024;
    let folder = TempDir::new().unwrap();
    let host = host(6);
    let mut settings = settings(folder.path(), "gateway", &host);
    settings["ingress"] = json!({
        "address": format!("{host}:8300"),
        "platform_address": format!("{host}:8400"),
    });
    // Nobody reads the pipe, which is full after a fraction of the lines.
    let (mut child, lines) = start(folder.path(), &settings);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let refused = timeout(PATIENCE, async {
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
    let status = timeout(PATIENCE, child.wait()).await.unwrap().unwrap();
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
