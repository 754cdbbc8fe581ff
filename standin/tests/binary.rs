//! Runs the stand-ins as processes through the binary's command line.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use hyper::Method;
use serde_json::json;
use support::{completion, generate, get, send, text};

/// A stand-in's process, killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(args: &[&str]) -> Process {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line.trim().parse().unwrap();
    Process { child, address }
}

#[tokio::test]
async fn each_kind_applies_its_flags_and_prints_its_address() {
    let engine = start(&[
        "engine",
        "--model",
        "small",
        "--slots",
        "3",
        "--answer-tokens",
        "2",
    ]);
    assert_eq!(get(engine.address, "/load").await["slots"], 3);
    let mut req = completion("r", "p", 9, "free");
    req["model"] = json!("small");
    assert!(
        text(generate(engine.address, &req).await)
            .await
            .contains("\"stop\"")
    );

    let service = start(&["service", "--name", "yard"]);
    assert_eq!(get(service.address, "/piles").await["service"], "yard");

    let weights = start(&["weights", "--model-mib", "2048", "--mib-per-second", "1024"]);
    let time = get(weights.address, "/fetch-time/assistant/v1").await;
    assert_eq!(time, json!({ "fetch_ms": 2000 }));
}

#[tokio::test]
async fn the_cloud_starts_instances_and_stops_reclaimed_ones() {
    let listing = json!({
        "name": "old-1", "incarnation": 1, "service": "assistant", "zone": "a", "class": "gpu",
        "purchase": "reclaimable", "address": "127.0.0.1:9",
    });
    let cloud = start(&[
        "cloud",
        "--plain",
        "yard",
        "--instance",
        &listing.to_string(),
    ]);
    let order = json!({
        "operation": "op-1", "service": "yard", "zone": "a", "class": "cpu",
        "purchase": "on_demand", "fence": 1,
    });
    let (_, started) = send(cloud.address, Method::POST, "/instances", &order).await;
    let rows = get(cloud.address, "/instances").await;
    let row = |name: &str| {
        let rows = rows.as_array().unwrap();
        rows.iter().find(|row| row["name"] == name).unwrap().clone()
    };
    assert_eq!(row("old-1")["state"], "live");
    let name = started["name"].as_str().unwrap();
    let address = row(name)["address"].as_str().unwrap().parse().unwrap();
    assert_eq!(get(address, "/piles").await["service"], "yard");
    let path = format!("/reclaim/{name}?notice_ms=0");
    send(cloud.address, Method::POST, &path, &json!({})).await;
    support::eventually("the instance has stopped", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await;
}
