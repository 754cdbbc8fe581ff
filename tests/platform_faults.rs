//! Real processes that are killed, suspended and restarted, and servers that drain.

mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Installation, PreparedInstallation, ServerAction,
    daemons::{Daemons, call_following_redirect, version_of},
    document, wait_until,
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

/// Time by which a server that the list shows as draining gets no new work.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time by which an acknowledged table is in force.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

fn ok(_: usize, _: &platform_support::ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"done".to_vec())
}

#[tokio::test]
async fn draining_and_unlisted_servers_get_no_new_work() {
    let installation = Installation::start(3, ok).await;
    installation.publish(&document(1)).await;
    {
        let mut listed = installation.listed.lock().unwrap();
        listed[0]["State"] = json!("draining");
        listed.remove(1);
    }
    sleep(DRAIN_TIMEOUT / 2).await;
    installation.log.requests.lock().unwrap().clear();
    for i in 0..30 {
        let res = installation
            .send(Method::POST, "/once/x", &format!("r{i}"), "")
            .await;
        assert_eq!(res.status, StatusCode::OK);
    }
    let seen = installation.log.requests();
    assert!(seen.iter().all(|seen| seen.server == 2), "{seen:?}");
    // Without any usable server, callers learn at once that their request has not run.
    installation.listed.lock().unwrap()[1]["State"] = json!("draining");
    sleep(DRAIN_TIMEOUT / 2).await;
    let begun = Instant::now();
    let res = installation.send(Method::POST, "/once/x", "last", "").await;
    assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(res.headers.contains_key("retry-after"));
    assert!(begun.elapsed() < Duration::from_millis(500));
}

async fn start_daemons(
    controllers: usize,
    script: fn(usize, &platform_support::ReceivedRequest) -> ServerAction,
) -> Daemons {
    let prepared = PreparedInstallation::prepare(controllers, 2, script).await;
    let daemons = Daemons::start(prepared);
    daemons.publish(&document(1)).await;
    daemons.installation.wait_until_served(&document(1)).await;
    daemons
}

fn post(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         X-Flamingocroft-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}

#[tokio::test]
async fn a_suspended_gateway_forwards_nothing_for_callers_that_disconnected() {
    let daemons = start_daemons(1, ok).await;
    let front = daemons.installation.caller_address;
    let mut callers = Vec::new();
    for i in 0..8 {
        let mut caller = TcpStream::connect(front).await.unwrap();
        // The gateway accepts the connection and serves a request on it before it is suspended.
        caller
            .write_all(post("/once/before", &format!("b{i}")).as_bytes())
            .await
            .unwrap();
        callers.push(caller);
    }
    wait_until("the callers are served", || async {
        daemons.installation.log.requests().len() >= 8
    })
    .await;
    daemons.gateway.suspend();
    for (i, caller) in callers.iter_mut().enumerate() {
        caller
            .write_all(post("/once/left", &format!("l{i}")).as_bytes())
            .await
            .unwrap();
    }
    sleep(Duration::from_millis(300)).await;
    drop(callers);
    sleep(Duration::from_millis(300)).await;
    daemons.gateway.resume();
    let res = daemons
        .installation
        .send(Method::POST, "/once/after", "a", "")
        .await;
    assert_eq!(res.status, StatusCode::OK);
    sleep(Duration::from_millis(300)).await;
    let seen = daemons.installation.log.requests();
    let left: Vec<_> = seen
        .iter()
        .filter(|seen| seen.path == "/once/left")
        .collect();
    assert!(left.is_empty(), "{left:?}");
}

#[tokio::test]
async fn a_call_in_progress_at_a_suspended_gateway_runs_once() {
    let daemons = start_daemons(1, |_, seen| match seen.path.as_str() {
        "/once/long" => ServerAction::Silent,
        _ => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    })
    .await;
    let installation = &daemons.installation;
    let long = installation.send(Method::POST, "/once/long", "r1", "");
    let suspended = async {
        wait_until("the server is at work", || async {
            installation.log.in_progress.load(Ordering::Relaxed) == 1
        })
        .await;
        daemons.gateway.suspend();
        // Longer than the caller's deadline of three seconds.
        sleep(Duration::from_millis(3500)).await;
        daemons.gateway.resume();
    };
    let (res, ()) = tokio::join!(long, suspended);
    assert_eq!(res.status, StatusCode::GATEWAY_TIMEOUT, "it may have run");
    let runs = installation
        .log
        .requests()
        .iter()
        .filter(|seen| seen.path == "/once/long")
        .count();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn acknowledged_tables_survive_kills_and_lost_disks() {
    let mut daemons = start_daemons(3, ok).await;
    let mut next = 2;
    // Each controller is killed right after an acknowledgement, and either keeps or loses its disk.
    for (round, wiped) in [(0, false), (1, false), (2, true), (0, true)] {
        daemons.publish(&document(next)).await;
        daemons.controllers[round].kill();
        if wiped {
            std::fs::remove_dir_all(&daemons.folders[round]).unwrap();
        }
        assert_eq!(daemons.document_version().await, next);
        daemons.controllers[round].restart();
        next += 1;
        daemons.publish(&document(next)).await;
        next += 1;
        // A new member must have replaced the one without a disk before the next disk is lost.
        sleep(Duration::from_secs(4)).await;
    }
    let newest = next + 5;
    daemons.publish(&document(newest)).await;
    for controller in &mut daemons.controllers {
        controller.kill();
    }
    for controller in &mut daemons.controllers {
        controller.restart();
    }
    assert_eq!(
        daemons.document_version().await,
        newest,
        "all controllers were killed"
    );
    let res = daemons
        .installation
        .send(Method::GET, "/safe/x", "r1", "")
        .await;
    assert_eq!(res.status, StatusCode::OK);
}

/// Three seeds form the cluster and the others join. Then two disks are lost at once, in three rounds with
/// different pairs.
#[tokio::test]
async fn five_controllers_tolerate_the_loss_of_two_disks_at_once() {
    let mut daemons = start_daemons(5, ok).await;
    let mut next = 2;
    for lost in [[0, 1], [2, 4], [1, 3]] {
        // New members must have become voters before the next disks are lost.
        sleep(Duration::from_secs(6)).await;
        daemons.publish(&document(next)).await;
        for place in lost {
            daemons.controllers[place].kill();
            std::fs::remove_dir_all(&daemons.folders[place]).unwrap();
        }
        assert_eq!(daemons.document_version().await, next, "without {lost:?}");
        next += 1;
        daemons.publish(&document(next)).await;
        for place in lost {
            daemons.controllers[place].restart();
        }
        next += 1;
    }
    assert_eq!(daemons.document_version().await, next - 1);
    let res = daemons
        .installation
        .send(Method::GET, "/safe/x", "r1", "")
        .await;
    assert_eq!(res.status, StatusCode::OK);
}

/// Guards against stale reads: changes are published concurrently while the controllers are suspended one after
/// the other. A read must include every change that was acknowledged before the read began.
#[tokio::test]
async fn reads_return_at_least_the_highest_acknowledged_version() {
    let daemons = start_daemons(3, ok).await;
    let seed = 11;
    let mut versions: Vec<u64> = (2..40).collect();
    versions.shuffle(&mut StdRng::seed_from_u64(seed));
    let highest = std::sync::atomic::AtomicU64::new(1);
    let done = std::sync::atomic::AtomicBool::new(false);
    let operators = async {
        let halves = versions.split_at(versions.len() / 2);
        let publish = async |versions: &[u64]| {
            for version in versions {
                daemons.publish(&document(*version)).await;
                highest.fetch_max(*version, Ordering::SeqCst);
                sleep(Duration::from_millis(40)).await;
            }
        };
        let suspend_each = async {
            for suspended in &daemons.controllers {
                suspended.suspend();
                sleep(Duration::from_millis(700)).await;
                suspended.resume();
                sleep(Duration::from_millis(700)).await;
            }
        };
        tokio::join!(publish(halves.0), publish(halves.1), suspend_each);
        done.store(true, Ordering::SeqCst);
    };
    let read = async |reader: usize| {
        let mut reads = 0;
        while !done.load(Ordering::SeqCst) {
            let acknowledged = highest.load(Ordering::SeqCst);
            // A suspended controller responds once it is resumed.
            let res = call_following_redirect(
                daemons.controls[reader],
                Method::GET,
                "/api/config/get",
                "",
            )
            .await;
            if let Some(res) = res.filter(|res| res.status == StatusCode::OK) {
                let read = version_of(&res);
                assert!(read >= acknowledged, "{read} < {acknowledged}");
                reads += 1;
            }
            sleep(Duration::from_millis(15)).await;
        }
        reads
    };
    let (_, a, b, c) = tokio::join!(operators, read(0), read(1), read(2));
    assert!(a.min(b).min(c) > 10, "reads: {a}, {b}, {c}");
    assert_eq!(daemons.document_version().await, 39);
    sleep(TABLE_TIMEOUT).await;
    let in_force = daemons.installation.table_version().await;
    assert_eq!(in_force, 39);
}

#[tokio::test]
async fn a_gateway_follows_a_new_leader_and_installs_no_older_table() {
    let mut daemons = start_daemons(3, ok).await;
    for round in 0..3 {
        let next = 10 + round as u64;
        let mut changed: Value = document(next);
        changed["Routes"][0]["PathPrefix"] = json!(format!("/v{next}/"));
        daemons.controllers[round].kill();
        daemons.publish(&changed).await;
        sleep(TABLE_TIMEOUT).await;
        let path = format!("/v{next}/x");
        let res = daemons.installation.send(Method::GET, &path, "r", "").await;
        assert_eq!(res.status, StatusCode::OK, "{path}");
        let old = daemons
            .installation
            .send(Method::GET, "/safe/x", "r", "")
            .await;
        assert_eq!(old.status, StatusCode::NOT_FOUND);
        daemons.controllers[round].restart();
        // The controller catches up before the next one is killed.
        sleep(Duration::from_millis(1500)).await;
    }
}
