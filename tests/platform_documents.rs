//! Large configuration documents on slow networks.

mod platform_support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::{
    domain::Incarnation,
    link::{self, Handler, Identity, Link, LinkSettings, Peer, PeerKey},
    telemetry::Metrics,
    wire::{Body, Document, DocumentRequest, FollowReply},
};
use hyper::StatusCode;
use platform_support::{
    Installation, PEER_KEY, PreparedInstallation, ReceivedRequest, ServerAction, TEST_TIMEOUT,
    block_controller::BlockController, document, post, slow_link::SlowLink, wait_until,
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::CancellationToken;

fn ok(_: usize, _: &ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"ok".to_vec())
}

/// Returns a document with many routes, and its length.
fn large_document(version: u64, bytes: usize) -> (Value, usize) {
    let mut large = document(version);
    let routes = large["Routes"].as_array_mut().unwrap();
    let first = routes[0].clone();
    let count = bytes / (first.to_string().len() + 16);
    for number in 0..count {
        let mut route = first.clone();
        route["Name"] = json!(format!("more-{number}"));
        route["PathPrefix"] = json!(format!("/more-{number}/"));
        routes.push(route);
    }
    let length = large.to_string().len();
    (large, length)
}

async fn put(installation: &Installation, document: &Value) {
    let address = installation.control_address;
    let res = post(address, "/api/config/put", document.to_string()).await;
    assert_eq!(res.unwrap().status, StatusCode::OK);
}

fn table_version(metrics: &Metrics) -> u64 {
    let text = metrics.render();
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("ingress_table_version "));
    line.map_or(0, |version| version.parse().unwrap())
}

async fn wait_for_version(installation: &Installation, version: u64) {
    wait_until("the document is in force", || async {
        table_version(&installation.metrics[1]) == version
    })
    .await;
}

async fn start_behind(link: &SlowLink) -> Installation {
    let prepared = PreparedInstallation::prepare(1, 1, ok).await;
    prepared.slow_down_gateway(link.clone()).await;
    let installation = Installation::start_prepared(prepared).await;
    installation.publish(&document(1)).await;
    installation
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_document_reaches_a_gateway_on_a_slow_network_over_one_link() {
    let link = SlowLink::new(10.0);
    let installation = start_behind(&link).await;
    let connections = link.connections.load(Ordering::SeqCst);
    let (large, length) = large_document(2, 3_000_000);
    assert!(length > 2_500_000, "{length}");
    put(&installation, &large).await;
    wait_for_version(&installation, 2).await;
    assert_eq!(link.connections.load(Ordering::SeqCst), connections);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_continues_where_a_cut_link_stopped() {
    let link = SlowLink::new(50.0).cut_after(400_000);
    let installation = start_behind(&link).await;
    let (large, length) = large_document(2, 2_000_000);
    put(&installation, &large).await;
    wait_for_version(&installation, 2).await;
    let passed = link.bytes_down.load(Ordering::SeqCst) as usize;
    assert!(link.connections.load(Ordering::SeqCst) > 4);
    assert!(passed < length * 2, "{passed} bytes for {length}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_change_to_a_large_document_sends_little() {
    let link = SlowLink::new(10.0);
    let installation = start_behind(&link).await;
    let (mut large, _) = large_document(2, 2_000_000);
    put(&installation, &large).await;
    wait_for_version(&installation, 2).await;
    let before = link.bytes_down.load(Ordering::SeqCst);
    large["Version"] = json!(3);
    large["Routes"][4000]["TimeoutMs"] = json!(2500);
    put(&installation, &large).await;
    wait_for_version(&installation, 3).await;
    let passed = link.bytes_down.load(Ordering::SeqCst) - before;
    assert!(passed < 200_000, "{passed} bytes");
}

/// Polls share the link with the document; 500 ms is the limit of a report of origins.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_document_holds_up_no_poll() {
    let prepared = PreparedInstallation::prepare(1, 1, ok).await;
    let link = SlowLink::new(10.0);
    prepared.slow_down_gateway(link.clone()).await;
    let (large, _) = large_document(7, 3_000_000);
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let controller = BlockController::start(&prepared, &large, stop).await;
    let installation = Installation::start_gateway_only(prepared).await;
    wait_for_version(&installation, 7).await;
    let delays = controller.take_delays();
    let longest = delays.last().unwrap();
    assert!(delays.len() > 10, "{delays:?}");
    assert!(*longest < Duration::from_millis(500), "{longest:?}");
}

/// A controller of an earlier version, which knows whole documents only.
struct EarlierController(Value);

impl Handler for EarlierController {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        let version = self.0["Version"].as_u64().unwrap();
        match body {
            Body::Follow(follow) => {
                if follow.held_version >= version {
                    tokio::time::sleep(Duration::from_millis(follow.wait_ms)).await;
                }
                Some(Body::FollowReply(FollowReply {
                    version,
                    ..FollowReply::default()
                }))
            }
            Body::DocumentRequest(_) => Some(Body::Document(Document {
                version,
                document: self.0.to_string().into(),
            })),
            _ => None,
        }
    }
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

fn key() -> PeerKey {
    PeerKey::new(PEER_KEY.as_bytes()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_gets_the_document_of_an_earlier_controller() {
    let prepared = PreparedInstallation::prepare(1, 1, ok).await;
    let listener = TcpListener::bind(prepared.peer_address()).await.unwrap();
    let (large, _) = large_document(7, 1_000_000);
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    tokio::spawn(link::serve(
        listener,
        key(),
        identity(&prepared.peer_address().ip().to_string()),
        LinkSettings::default(),
        Arc::new(EarlierController(large)),
        stop,
    ));
    let installation = Installation::start_gateway_only(prepared).await;
    wait_for_version(&installation, 7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_gateway_gets_the_whole_document() {
    let prepared = PreparedInstallation::prepare(1, 1, ok).await;
    let address = prepared.peer_address();
    let installation = Installation::start_prepared(prepared).await;
    let (large, _) = large_document(2, 1_000_000);
    installation.publish(&large).await;
    let settings = LinkSettings::default();
    let link = Link::connect(address, key(), identity("earlier"), settings);
    let deadline = Instant::now() + TEST_TIMEOUT;
    let reply = loop {
        let request = Body::DocumentRequest(DocumentRequest {});
        match link.call(request, TEST_TIMEOUT).await {
            Ok(reply) => break reply,
            Err(e) => assert!(Instant::now() < deadline, "{e}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    let document = Bytes::from(large.to_string());
    let version = 2;
    let whole = Body::Document(Document { version, document });
    assert!(reply == whole, "the reply is not the whole document");
}
