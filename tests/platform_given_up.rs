//! What controllers and gateways have given up does not arrive later, whichever way their process ends.

mod held_link;
mod platform_support;

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use flamingocroft::telemetry::Metrics;
use held_link::{Held, HeldLink};
use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Answer, Installation, PreparedInstallation, ReceivedRequest, ServerAction, call,
    daemons::Daemons,
    document, list_entry,
    partition::{Cut, PartitionDialer},
    wait_until,
};
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time for bytes to arrive once nothing holds them.
const ARRIVAL: Duration = Duration::from_millis(400);

fn serve(_: usize, _: &ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"done".to_vec())
}

/// How a process ends while something that it has sent is held.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    Terminate,
}

/// Starts a controller whose calls to the platform go over a link, and waits for its first reports of usage.
async fn start_reporting() -> (Daemons, HeldLink) {
    let prepared = PreparedInstallation::prepare(1, 1, serve).await;
    let link = HeldLink::start(prepared.api_address()).await;
    prepared.change_settings(|settings| {
        settings["ingress"]["platform_address"] = json!(link.address().to_string());
        settings["ingress"]["duty_lease_ms"] = json!(3000);
    });
    let daemons = Daemons::start(prepared);
    daemons.publish(&document(1)).await;
    wait_until("usage is reported", || async {
        daemons.installation.usage.lock().unwrap().len() >= 2
    })
    .await;
    (daemons, link)
}

/// Guards against reports that the platform gets after those of the next holder of the duty.
#[tokio::test]
async fn a_report_that_was_given_up_never_arrives() {
    let mut plays = JoinSet::new();
    for held in [Held::Requests, Held::Both] {
        plays.spawn(async move {
            let (daemons, link) = start_reporting().await;
            link.hold_from("POST /usage", held);
            link.wait_until_held().await;
            // The first try is given up meanwhile, and another one is on its way.
            sleep(Duration::from_millis(2250)).await;
            link.set(Held::Nothing);
            sleep(2 * ARRIVAL).await;
            // A later term of the leader sends the last windows again, with another token.
            let reports = daemons.installation.usage.lock().unwrap().clone();
            let mut seen = HashSet::new();
            for report in &reports {
                let key = (report["WindowId"].to_string(), report["fence"].to_string());
                assert!(
                    seen.insert(key),
                    "{held:?}: a report comes twice: {reports:?}"
                );
            }
            assert!(link.resets() > 0);
        });
    }
    plays.join_all().await;
}

/// Guards against reports that the kernel delivers for a process that has ended.
#[tokio::test]
async fn a_report_of_a_process_that_has_ended_never_arrives() {
    let mut plays = JoinSet::new();
    for end in [End::Kill, End::Terminate] {
        plays.spawn(async move {
            let (mut daemons, link) = start_reporting().await;
            link.hold_from("POST /usage", Held::Both);
            link.wait_until_held().await;
            let before = link.arrivals("POST /usage");
            end_process(&mut daemons.controllers[0], end).await;
            sleep(ARRIVAL).await;
            link.set(Held::Nothing);
            sleep(ARRIVAL).await;
            assert_eq!(link.arrivals("POST /usage"), before, "{end:?}");
        });
    }
    plays.join_all().await;
}

async fn end_process(process: &mut platform_support::daemons::Daemon, end: End) {
    match end {
        End::Kill => process.kill(),
        End::Terminate => {
            process.terminate();
            let begun = Instant::now();
            while !process.has_ended_well() {
                assert!(begun.elapsed() < Duration::from_secs(10), "it does not end");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Leads each listed server's address through a link of its own.
async fn hold_servers(installation: &Installation) -> Vec<HeldLink> {
    let entries = installation.listed.lock().unwrap().clone();
    let mut links = Vec::new();
    let mut listed = Vec::new();
    for entry in &entries {
        let Some(Ok(address)) = entry["Address"].as_str().map(str::parse::<SocketAddr>) else {
            continue;
        };
        let link = HeldLink::start(address).await;
        listed.push(list_entry(entry["Id"].as_str().unwrap(), link.address()));
        links.push(link);
    }
    *installation.listed.lock().unwrap() = listed;
    links
}

async fn start_held(servers: usize) -> (Installation, Vec<HeldLink>) {
    let prepared = PreparedInstallation::prepare(1, servers, serve).await;
    let installation = Installation::start_prepared(prepared).await;
    let links = hold_servers(&installation).await;
    installation.publish(&document(1)).await;
    (installation, links)
}

async fn send_with_deadline(gateway: SocketAddr, path: &str, deadline_ms: u64) -> Answer {
    let key = format!("Bearer {API_KEY}");
    let headers = [
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", path),
        ("x-flamingocroft-deadline-ms", &deadline_ms.to_string()),
        ("authorization", &key),
    ];
    let res = call(gateway, Method::POST, path, &headers, "body").await;
    res.expect("no response")
}

/// Guards against work that a server does, even while it drains, for callers who have long got a 504.
#[tokio::test]
async fn a_request_that_its_gateway_answered_with_504_never_arrives() {
    let mut plays = JoinSet::new();
    for held in [Held::Requests, Held::Both] {
        for hold_ms in [1000, 2500, 8500] {
            plays.spawn(async move {
                let (installation, links) = start_held(1).await;
                // One request more, so that a pooled connection is used.
                installation.send(Method::POST, "/once/x", "x", "").await;
                links[0].hold_from("/once/late", held);
                let begun = Instant::now();
                let res = send_with_deadline(installation.caller_address, "/once/late", 500).await;
                assert_eq!(res.status, StatusCode::GATEWAY_TIMEOUT);
                sleep(Duration::from_millis(hold_ms).saturating_sub(begun.elapsed())).await;
                links[0].set(Held::Nothing);
                sleep(ARRIVAL).await;
                assert_eq!(links[0].arrivals("/once/late"), 0, "{held:?}, {hold_ms} ms");
            });
        }
    }
    plays.join_all().await;
}

/// Guards against a second run at a server that was silent when another one answered.
#[tokio::test]
async fn an_attempt_that_another_server_made_needless_never_arrives() {
    let (installation, links) = start_held(2).await;
    links[0].set(Held::Both);
    for i in 0..8 {
        let path = format!("/safe/{i}");
        let res = send_with_deadline(installation.caller_address, &path, 3000).await;
        assert_eq!(res.status, StatusCode::OK);
    }
    assert!(links[0].resets() > 0, "no attempt was given up");
    links[0].set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(links[0].arrivals("POST /safe/"), 0);
}

fn post(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         X-Flamingocroft-Request-Id: {path}\r\nX-Flamingocroft-Deadline-Ms: 20000\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Guards against work for callers who have left.
#[tokio::test]
async fn a_request_whose_caller_left_never_arrives() {
    let (installation, links) = start_held(1).await;
    links[0].hold_from("/once/left", Held::Both);
    let mut caller = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    caller
        .write_all(post("/once/left").as_bytes())
        .await
        .unwrap();
    links[0].wait_until_held().await;
    drop(caller);
    wait_until("the connection is reset", || async {
        links[0].resets() > 0
    })
    .await;
    links[0].set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(links[0].arrivals("/once/left"), 0);
}

/// Guards against requests that the kernel delivers for a gateway that has ended.
#[tokio::test]
async fn a_request_of_a_gateway_that_has_ended_never_arrives() {
    let mut plays = JoinSet::new();
    for end in [End::Kill, End::Terminate] {
        plays.spawn(async move {
            let prepared = PreparedInstallation::prepare(1, 1, serve).await;
            let mut daemons = Daemons::start(prepared);
            let links = hold_servers(&daemons.installation).await;
            daemons.publish(&document(1)).await;
            daemons.installation.wait_until_served(&document(1)).await;
            links[0].hold_from("/once/ended", Held::Both);
            let front = daemons.installation.caller_address;
            let mut caller = TcpStream::connect(front).await.unwrap();
            caller
                .write_all(post("/once/ended").as_bytes())
                .await
                .unwrap();
            links[0].wait_until_held().await;
            end_process(&mut daemons.gateway, end).await;
            sleep(ARRIVAL).await;
            links[0].set(Held::Nothing);
            sleep(ARRIVAL).await;
            assert_eq!(links[0].arrivals("/once/ended"), 0, "{end:?}");
        });
    }
    plays.join_all().await;
}

/// Guards against requests that another gateway still delivers after the one that sent them has given them up.
#[tokio::test]
async fn a_request_given_up_within_a_tunnel_never_arrives() {
    let (installation, links) = start_held(1).await;
    let dialer = PartitionDialer::new();
    let metrics = Metrics::new().unwrap();
    let cut_off = installation
        .add_gateway_with(Arc::clone(&dialer) as _, &metrics)
        .await;
    installation.wait_until_all_serve(&[cut_off]).await;
    dialer.set(Cut::Hang);
    wait_until("a request goes through the other gateway", || async {
        let res = send_with_deadline(cut_off, "/once/through", 2000).await;
        res.status == StatusCode::OK
    })
    .await;
    links[0].hold_from("/once/late", Held::Both);
    let res = send_with_deadline(cut_off, "/once/late", 500).await;
    assert_eq!(res.status, StatusCode::GATEWAY_TIMEOUT);
    sleep(Duration::from_secs(1)).await;
    links[0].set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(links[0].arrivals("/once/late"), 0);
}
