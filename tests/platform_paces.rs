//! The learned speeds of servers, from what gateways observe to where they send requests.

mod metric_text;
mod platform_support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use flamingocroft::{
    controller::paces::Paces,
    domain::Incarnation,
    link::{self, Handler, Identity, LinkSettings, Peer, PeerKey},
    platform::Api,
    policy::pace::PaceSums,
    ports::Platform,
    settings::Timing,
    telemetry::Metrics,
    wire::{
        Body, Document, FollowReply, ListVersion, ObservedPace, PaceReport, UpstreamList,
        UpstreamRow,
    },
};
use hyper::{HeaderMap, Method, StatusCode};
use metric_text::value;
use platform_support::{
    Installation, PEER_KEY, PreparedInstallation, ReceivedRequest, ServerAction, TEST_TIMEOUT,
    document, requests_per_server, wait_until,
};
use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A leader of two servers of which one works twice as long as the other.
struct Leader {
    paces: Mutex<Paces>,
    /// Versions of the speeds that gateways held.
    held: Mutex<Vec<Option<u64>>>,
}

impl Leader {
    fn new() -> Self {
        let mut paces = Paces::default();
        for second in 0..20 {
            let observed = [40, 80].into_iter().enumerate().map(|(server, ms)| {
                let mut sums = PaceSums::default();
                for _ in 0..10 {
                    sums.record(Duration::from_millis(ms), 0.5);
                }
                ObservedPace::new(format!("i-{server}"), &sums)
            });
            let report = PaceReport {
                service: "app".into(),
                upstreams: observed.collect(),
            };
            paces.handle_report(Duration::from_secs(second), &[report]);
        }
        Self {
            paces: Mutex::new(paces),
            held: Mutex::default(),
        }
    }
}

impl Handler for Leader {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        let document = document(7);
        match body {
            Body::Follow(follow) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.held.lock().unwrap().push(follow.held_paces_version);
                let rows = (0..2).map(|server| UpstreamRow {
                    instance: format!("i-{server}"),
                    service: "app".into(),
                    address: format!("127.0.0.1:{}", 9000 + server),
                    zone: "a".into(),
                    slots: 4,
                    ..UpstreamRow::default()
                });
                let held = follow.held_paces_version.unwrap_or_default();
                Some(Body::FollowReply(FollowReply {
                    leads: true,
                    version: 7,
                    list: Some(UpstreamList {
                        version: Some(ListVersion {
                            term: 1,
                            sequence: 1,
                        }),
                        rows: rows.collect(),
                        ..UpstreamList::default()
                    }),
                    paces: self.paces.lock().unwrap().changes_since(held),
                    ..FollowReply::default()
                }))
            }
            Body::DocumentRequest(_) => Some(Body::Document(Document {
                version: 7,
                document: document.to_string().into(),
            })),
            _ => None,
        }
    }
}

fn spread(metrics: &Metrics) -> f64 {
    let text = metrics.render();
    let line = "ingress_pace_spread{service=\"app\"}";
    match text.contains(line) {
        true => value(&text, line),
        false => 0.0,
    }
}

fn ok(_: usize, _: &ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"ok".to_vec())
}

/// Starts a gateway that follows a [`Leader`].
async fn start(learns: bool) -> (Installation, Arc<Leader>, DropGuard) {
    let prepared = PreparedInstallation::prepare(1, 1, ok).await;
    if learns {
        prepared.learn_paces();
    }
    let address = prepared.peer_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let stop = CancellationToken::new();
    let guard = stop.clone().drop_guard();
    let leader = Arc::new(Leader::new());
    let own = Identity {
        name: address.ip().to_string().into(),
        incarnation: Incarnation(1),
    };
    let key = PeerKey::new(PEER_KEY.as_bytes()).unwrap();
    let handler = Arc::clone(&leader);
    tokio::spawn(link::serve(
        listener,
        key,
        own,
        LinkSettings::default(),
        handler,
        stop,
    ));
    let installation = Installation::start_gateway_only(prepared).await;
    (installation, leader, guard)
}

/// A gateway that starts, for the first time or again, has the speeds with the leader's first reply, before it sent a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_with_the_speeds_that_the_leader_knows() {
    let (installation, leader, _stop) = start(true).await;
    wait_until("the gateway has the speeds", || async {
        spread(&installation.metrics[1]) > 1.5
    })
    .await;
    wait_until("the gateway tells which it holds", || async {
        let held = leader.held.lock().unwrap();
        held.last().copied().flatten().unwrap_or_default() > 0
    })
    .await;
    assert_eq!(leader.held.lock().unwrap()[0], Some(0));
}

/// Without the setting, what the leader tells changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn speeds_are_not_used_without_the_setting() {
    let (installation, leader, _stop) = start(false).await;
    wait_until("the leader has replied often", || async {
        leader.held.lock().unwrap().len() > 10
    })
    .await;
    assert!(
        leader
            .held
            .lock()
            .unwrap()
            .iter()
            .all(|held| held.is_none())
    );
    assert_eq!(spread(&installation.metrics[1]), 1.0);
}

/// The load header's fourth figure says how long work takes now; without a figure it says nothing, and the others still count.
#[test]
fn the_pace_that_a_server_states_is_read() {
    let api = Api::new("127.0.0.1:1".parse().unwrap(), &Timing::default());
    for (value, percent) in [
        ("1,2,8", None),
        ("1,2,8,250", Some(250)),
        ("1, 2, 8, 99.6", Some(100)),
        ("1,2,8,0", None),
        ("1,2,8,-5", None),
        ("1,2,8,NaN", None),
        ("1,2,8,", None),
        ("1,2,8,1e30", Some(u32::MAX)),
        ("1,2,8,120,7,x", Some(120)),
    ] {
        let mut headers = HeaderMap::new();
        headers.insert("x-flamingocroft-server-load", value.parse().unwrap());
        let load = api.read_answer(StatusCode::OK, &headers).load.unwrap();
        assert_eq!((load.running, load.waiting, load.slots), (1, 2, 8));
        assert_eq!(load.pace_percent, percent, "{value}");
    }
}

/// A server that fails at once is not a fast one.
#[tokio::test(flavor = "multi_thread")]
async fn failures_do_not_count_as_speed() {
    let prepared = PreparedInstallation::prepare(1, 2, |server, _| match server {
        0 => ServerAction::Respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        _ => ServerAction::RespondAfter(Duration::from_millis(40)),
    })
    .await;
    prepared.learn_paces();
    let installation = Installation::start_prepared(prepared).await;
    installation.publish(&document(1)).await;
    // Longer than two reports and two estimates take.
    let end = Instant::now() + Duration::from_secs(10);
    let mut turn = 0;
    while Instant::now() < end {
        let id = format!("turn-{turn}");
        turn += 1;
        installation.send(Method::POST, "/once/x", &id, "").await;
    }
    assert!(turn > 100, "{turn}");
    assert_eq!(spread(&installation.metrics[1]), 1.0);
}

/// One server of two works four times as long: it gets fewer requests once that is learned, and still some.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_server_gets_fewer_requests_and_still_some() {
    let prepared = PreparedInstallation::prepare(1, 2, |server, _| {
        ServerAction::RespondAfter(Duration::from_millis(if server == 0 { 20 } else { 80 }))
    })
    .await;
    prepared.learn_paces();
    let installation = Installation::start_prepared(prepared).await;
    installation.publish(&document(1)).await;
    let end = Instant::now() + TEST_TIMEOUT;
    let mut sent = 0;
    while spread(&installation.metrics[1]) < 1.5 {
        assert!(Instant::now() < end, "{}", installation.metrics[1].render());
        let id = format!("learn-{sent}");
        sent += 1;
        installation.send(Method::GET, "/safe/x", &id, "").await;
    }
    let before = installation.log.requests().len();
    for turn in 0..200 {
        let id = format!("placed-{turn}");
        let res = installation.send(Method::GET, "/safe/x", &id, "").await;
        assert_eq!(res.status, StatusCode::OK);
    }
    let placed = requests_per_server(&installation.log.requests()[before..]);
    let slow = placed.get(&1).copied().unwrap_or_default();
    assert!((10..80).contains(&slow), "{placed:?}");
}
