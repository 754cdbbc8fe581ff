//! Roll-outs of a software version in a running installation: orders, the share that the target gets, and both ends.

mod platform_support;

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use platform_support::{
    Answer, Installation, PreparedInstallation, ReceivedRequest, ServerAction, call,
    daemons::{Daemons, call_any, call_following_redirect},
    document, post, wait_until,
};
use serde_json::{Value, json};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

const START: &str = "/api/rollouts/start";
const STATE: &str = "/api/rollouts/app/get";
/// Servers of each version.
const SERVERS: usize = 3;
/// The bounds in the settings.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Callers that send one request after the other.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(8);

fn answers_all(_: usize, _: &ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"done".to_vec())
}

/// Answers, but fails at servers of the target.
fn fails_at_target(server: usize, seen: &ReceivedRequest) -> ServerAction {
    match server >= SERVERS {
        true => ServerAction::Reset,
        false => answers_all(server, seen),
    }
}

fn set_up_rollouts(file: &Path) {
    let mut settings: Value =
        serde_json::from_str(&std::fs::read_to_string(file).unwrap()).unwrap();
    settings["ingress"]["rollout"] = json!({
        "exposure_share": SHARE, "exposure_slack": SLACK, "rollback_ms": 5000,
    });
    std::fs::write(file, settings.to_string()).unwrap();
}

/// Prepares servers of both versions and processes that are set up for roll-outs.
async fn prepare(
    controllers: usize,
    script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
) -> PreparedInstallation {
    let prepared = PreparedInstallation::prepare(controllers, 2 * SERVERS, script).await;
    for file in prepared
        .controller_files
        .iter()
        .chain([&prepared.gateway_file])
    {
        set_up_rollouts(file);
    }
    prepared
}

/// Takes the servers of the target from the platform's list, and returns their entries.
fn hide_target(installation: &Installation) -> Vec<Value> {
    let mut listed = installation.listed.lock().unwrap();
    let mut target: Vec<_> = listed.drain(SERVERS..2 * SERVERS).collect();
    for entry in &mut target {
        entry["Version"] = json!("v2");
    }
    target
}

fn list(installation: &Installation, entries: Vec<Value>) {
    installation.listed.lock().unwrap().extend(entries);
}

fn order(target: &str, seconds: f64) -> String {
    json!({"Service": "app", "Target": target, "DurationS": seconds}).to_string()
}

fn state_of(res: &Answer) -> Value {
    serde_json::from_slice(res.body.as_ref().unwrap()).unwrap()
}

async fn state(control: SocketAddr) -> Value {
    let res = call(control, Method::GET, STATE, &[], "").await.unwrap();
    assert_eq!(res.status, StatusCode::OK);
    state_of(&res)
}

async fn start(control: SocketAddr, body: String) -> StatusCode {
    post(control, START, body).await.unwrap().status
}

/// Requests that go on until it is dropped, with the number that callers did not get answered.
struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(gateway: SocketAddr) -> Self {
        let mut load = Self {
            stop: Arc::default(),
            sent: Arc::default(),
            failed: Arc::default(),
            tasks: Vec::new(),
        };
        for caller in 0..CALLERS {
            let (stop, sent) = (Arc::clone(&load.stop), Arc::clone(&load.sent));
            let failed = Arc::clone(&load.failed);
            load.tasks.push(tokio::spawn(async move {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{caller}-{number}");
                    sent.fetch_add(1, Ordering::Relaxed);
                    let answer =
                        Installation::send_to(gateway, Method::GET, "/safe/x", &id, &id).await;
                    if answer.status != StatusCode::OK {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                    sleep(PAUSE).await;
                }
            }));
        }
        load
    }

    /// Returns the requests that were sent, and those of them that failed.
    async fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        (count(&self.sent), count(&self.failed))
    }
}

fn sent_to_target(installation: &Installation) -> usize {
    let requests = installation.log.requests();
    requests
        .iter()
        .filter(|seen| seen.server >= SERVERS)
        .count()
}

#[tokio::test]
async fn orders_are_acknowledged_refused_and_read_back() {
    let installation = Installation::start_prepared(prepare(1, answers_all).await).await;
    hide_target(&installation);
    let control = installation.control_address;
    wait_until(
        "an order for a service that is not published is refused",
        || async {
            let status = start(control, order("v2", 60.0)).await;
            // Before a leader is elected nobody can tell.
            assert!(
                [StatusCode::BAD_REQUEST, StatusCode::SERVICE_UNAVAILABLE].contains(&status),
                "{status}"
            );
            status == StatusCode::BAD_REQUEST
        },
    )
    .await;
    installation.publish(&document(1)).await;
    let unknown = call(control, Method::GET, STATE, &[], "").await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let other_service = json!({"Service": "other", "Target": "v2", "DurationS": 60});
    let invalid = [
        other_service.to_string(),
        order("", 60.0),
        order("v1", 60.0),
        order("v2", 0.0),
        order("v2", -1.0),
        order("v2", 1e30),
        json!({"Service": "app"}).to_string(),
        "{".to_owned(),
    ];
    for order in invalid {
        assert_eq!(
            start(control, order.clone()).await,
            StatusCode::BAD_REQUEST,
            "{order}"
        );
    }
    assert_eq!(start(control, order("v2", 60.0)).await, StatusCode::OK);
    assert_eq!(
        start(control, order("v2", 60.0)).await,
        StatusCode::OK,
        "sent again"
    );
    assert_eq!(
        start(control, order("v3", 60.0)).await,
        StatusCode::CONFLICT
    );
    assert_eq!(
        start(control, order("v2", 61.0)).await,
        StatusCode::CONFLICT
    );
    assert_eq!(
        state(control).await,
        json!({"State": "running", "Target": "v2"})
    );
}

#[tokio::test]
async fn two_operators_who_order_at_once_start_one_roll_out() {
    let installation = Installation::start_prepared(prepare(1, answers_all).await).await;
    hide_target(&installation);
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    let (a, b) = tokio::join!(
        start(control, order("v2", 60.0)),
        start(control, order("v3", 60.0))
    );
    let mut both = [a, b];
    both.sort();
    assert_eq!(both, [StatusCode::OK, StatusCode::CONFLICT]);
}

#[tokio::test]
async fn without_bounds_in_the_settings_there_are_no_roll_outs() {
    let installation = Installation::start(1, answers_all).await;
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    assert_eq!(
        start(control, order("v2", 60.0)).await,
        StatusCode::NOT_FOUND
    );
    assert_eq!(start(control, "{".to_owned()).await, StatusCode::NOT_FOUND);
    let res = call(control, Method::GET, STATE, &[], "").await.unwrap();
    assert_eq!(res.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_sound_version_takes_a_service_of_3_upstreams_over() {
    let installation = Installation::start_prepared(prepare(1, answers_all).await).await;
    let target = hide_target(&installation);
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    let load = Load::start(installation.caller_address);
    let begun = Instant::now();
    assert_eq!(start(control, order("v2", 10.0)).await, StatusCode::OK);
    list(&installation, target);
    wait_until("the roll-out is completed", || async {
        state(control).await["State"] == json!("completed")
    })
    .await;
    assert!(begun.elapsed() <= Duration::from_secs(10));
    // The platform stops the old servers now: nothing may be in progress or sent there.
    installation.log.requests.lock().unwrap().clear();
    sleep(Duration::from_secs(1)).await;
    let (sent, failed) = load.end().await;
    let requests = installation.log.requests();
    let old = requests.iter().filter(|seen| seen.server < SERVERS).count();
    assert_eq!(old, 0, "requests at old servers after the end");
    assert!(!requests.is_empty());
    assert_eq!(failed, 0, "of {sent}");
}

#[tokio::test]
async fn a_bad_version_is_rolled_back_within_its_bound_and_gets_nothing_more() {
    let installation = Installation::start_prepared(prepare(1, fails_at_target).await).await;
    let target = hide_target(&installation);
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    let load = Load::start(installation.caller_address);
    assert_eq!(start(control, order("v2", 10.0)).await, StatusCode::OK);
    list(&installation, target);
    wait_until("the roll-out is rolled back", || async {
        state(control).await["State"] == json!("rolled_back")
    })
    .await;
    let exposed = sent_to_target(&installation);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(sent_to_target(&installation), exposed, "after the end");
    let (sent, failed) = load.end().await;
    assert!(
        exposed as f64 <= SHARE * sent as f64 + SLACK,
        "{exposed} of {sent}"
    );
    // The route's requests may be repeated, and the old version takes them.
    assert_eq!(failed, 0, "of {sent}");
}

#[tokio::test]
async fn a_target_that_is_never_listed_is_rolled_back_at_the_deadline() {
    let installation = Installation::start_prepared(prepare(1, answers_all).await).await;
    hide_target(&installation);
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    let load = Load::start(installation.caller_address);
    let begun = Instant::now();
    assert_eq!(start(control, order("v2", 3.0)).await, StatusCode::OK);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(state(control).await["State"], json!("running"));
    wait_until("the roll-out is rolled back", || async {
        state(control).await["State"] == json!("rolled_back")
    })
    .await;
    assert!(begun.elapsed() <= Duration::from_secs(3));
    let (sent, failed) = load.end().await;
    assert_eq!(failed, 0, "of {sent}");
    assert_eq!(
        start(control, order("v3", 3.0)).await,
        StatusCode::OK,
        "a further order"
    );
}

#[tokio::test]
async fn a_service_whose_every_server_runs_a_version_that_was_rolled_back_is_served() {
    let installation = Installation::start_prepared(prepare(1, answers_all).await).await;
    let target = hide_target(&installation);
    installation.publish(&document(1)).await;
    let control = installation.control_address;
    assert_eq!(start(control, order("v2", 1.5)).await, StatusCode::OK);
    wait_until("the roll-out is rolled back", || async {
        state(control).await["State"] == json!("rolled_back")
    })
    .await;
    *installation.listed.lock().unwrap() = target;
    wait_until("the target serves alone", || async {
        let gateway = installation.caller_address;
        let answer = Installation::send_to(gateway, Method::GET, "/safe/x", "id", "id").await;
        answer.status == StatusCode::OK && sent_to_target(&installation) > 0
    })
    .await;
}

/// Returns which controller leads: the one that answers itself.
async fn leader(controls: &[SocketAddr]) -> usize {
    loop {
        for (position, control) in controls.iter().enumerate() {
            let res = call(*control, Method::GET, "/api/config/get", &[], "").await;
            if res.is_some_and(|res| res.status == StatusCode::OK) {
                return position;
            }
        }
        sleep(Duration::from_millis(30)).await;
    }
}

async fn start_daemons() -> (Daemons, Vec<Value>) {
    let daemons = Daemons::start(prepare(3, answers_all).await);
    let target = hide_target(&daemons.installation);
    daemons.publish(&document(1)).await;
    daemons.installation.wait_until_served(&document(1)).await;
    (daemons, target)
}

async fn state_at_any(controls: &[SocketAddr]) -> Value {
    state_of(&call_any(controls, Method::GET, STATE, "").await)
}

#[tokio::test]
async fn a_roll_out_goes_on_when_the_leader_dies() {
    let (mut daemons, target) = start_daemons().await;
    let load = Load::start(daemons.installation.caller_address);
    let res = call_any(&daemons.controls, Method::POST, START, &order("v2", 16.0)).await;
    assert_eq!(res.status, StatusCode::OK);
    list(&daemons.installation, target);
    wait_until("the target gets requests", || async {
        sent_to_target(&daemons.installation) > 0
    })
    .await;
    let led = leader(&daemons.controls).await;
    daemons.controllers[led].kill();
    let mut others = daemons.controls.clone();
    others.remove(led);
    // The acknowledgement may have been lost with the leader, and the operator sends the order again.
    let again = call_any(&others, Method::POST, START, &order("v2", 16.0)).await;
    assert_eq!(again.status, StatusCode::OK);
    let end = Instant::now() + Duration::from_secs(16);
    let mut state = Value::Null;
    while Instant::now() < end && state["State"] != json!("completed") {
        state = state_at_any(&others).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(state, json!({"State": "completed", "Target": "v2"}));
    let (sent, failed) = load.end().await;
    assert_eq!(failed, 0, "of {sent}");
}

#[tokio::test]
async fn an_order_and_its_end_are_read_back_after_all_controllers_were_killed() {
    let (mut daemons, _) = start_daemons().await;
    let res = call_any(&daemons.controls, Method::POST, START, &order("v2", 60.0)).await;
    assert_eq!(res.status, StatusCode::OK);
    for controller in &mut daemons.controllers {
        controller.kill();
    }
    for controller in &mut daemons.controllers {
        controller.restart();
    }
    let state = state_at_any(&daemons.controls).await;
    assert_eq!(state, json!({"State": "running", "Target": "v2"}));
    let led = leader(&daemons.controls).await;
    let body = order("v3", 60.0);
    let control = daemons.controls[led];
    let other = call_following_redirect(control, Method::POST, START, &body);
    assert_eq!(other.await.unwrap().status, StatusCode::CONFLICT);
}
