//! The users' platform with real processes that are killed, frozen and started again, and servers that
//! drain.

mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{
    Act, Ground, KEY, Site,
    daemons::{Daemons, ask_one, version},
    document, until,
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

/// Time after which a server that the platform's list shows as draining gets no new work.
const DRAIN: Duration = Duration::from_secs(3);
/// Time after which an acknowledged table is in force.
const APPLIED: Duration = Duration::from_secs(2);

fn ok(_: usize, _: &platform_support::Seen) -> Act {
    Act::Answer(StatusCode::OK, b"done".to_vec())
}

#[tokio::test]
async fn servers_that_drain_or_are_gone_get_no_new_work() {
    let site = Site::start(3, ok).await;
    site.publish(&document(1)).await;
    {
        let mut listed = site.listed.lock().unwrap();
        listed[0]["State"] = json!("draining");
        listed.remove(1);
    }
    sleep(DRAIN / 2).await;
    site.log.seen.lock().unwrap().clear();
    for i in 0..30 {
        let res = site
            .send(Method::POST, "/once/x", &format!("r{i}"), "")
            .await;
        assert_eq!(res.status, StatusCode::OK);
    }
    let seen = site.log.seen();
    assert!(seen.iter().all(|seen| seen.server == 2), "{seen:?}");
    // Without any, callers are told at once that nothing ran.
    site.listed.lock().unwrap()[1]["State"] = json!("draining");
    sleep(DRAIN / 2).await;
    let begun = Instant::now();
    let res = site.send(Method::POST, "/once/x", "last", "").await;
    assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(res.headers.contains_key("retry-after"));
    assert!(begun.elapsed() < Duration::from_millis(500));
}

async fn daemons(controllers: usize, script: fn(usize, &platform_support::Seen) -> Act) -> Daemons {
    let ground = Ground::prepare(controllers, 2, script).await;
    let daemons = Daemons::start(ground);
    daemons.publish(&document(1)).await;
    daemons.site.wait_until_served(&document(1)).await;
    daemons
}

fn post(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Flamingocroft-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}

#[tokio::test]
async fn a_gateway_that_was_frozen_sends_nothing_for_callers_that_left() {
    let daemons = daemons(1, ok).await;
    let front = daemons.site.front;
    let mut callers = Vec::new();
    for i in 0..8 {
        let mut caller = TcpStream::connect(front).await.unwrap();
        // The gateway has seen the connection before it is frozen.
        caller
            .write_all(post("/once/before", &format!("b{i}")).as_bytes())
            .await
            .unwrap();
        callers.push(caller);
    }
    until("the callers are served", || async {
        daemons.site.log.seen().len() >= 8
    })
    .await;
    daemons.gateway.freeze();
    for (i, caller) in callers.iter_mut().enumerate() {
        caller
            .write_all(post("/once/left", &format!("l{i}")).as_bytes())
            .await
            .unwrap();
    }
    sleep(Duration::from_millis(300)).await;
    drop(callers);
    sleep(Duration::from_millis(300)).await;
    daemons.gateway.thaw();
    let res = daemons
        .site
        .send(Method::POST, "/once/after", "a", "")
        .await;
    assert_eq!(res.status, StatusCode::OK);
    sleep(Duration::from_millis(300)).await;
    let seen = daemons.site.log.seen();
    let left: Vec<_> = seen
        .iter()
        .filter(|seen| seen.path == "/once/left")
        .collect();
    assert!(left.is_empty(), "{left:?}");
}

#[tokio::test]
async fn a_call_in_progress_at_a_frozen_gateway_runs_once() {
    let daemons = daemons(1, |_, seen| match seen.path.as_str() {
        "/once/long" => Act::Silent,
        _ => Act::Answer(StatusCode::OK, b"done".to_vec()),
    })
    .await;
    let site = &daemons.site;
    let long = site.send(Method::POST, "/once/long", "r1", "");
    let frozen = async {
        until("the server is at work", || async {
            site.log.busy.load(Ordering::Relaxed) == 1
        })
        .await;
        daemons.gateway.freeze();
        // Longer than the caller's patience of three seconds.
        sleep(Duration::from_millis(3500)).await;
        daemons.gateway.thaw();
    };
    let (res, ()) = tokio::join!(long, frozen);
    assert_eq!(res.status, StatusCode::GATEWAY_TIMEOUT, "it may have run");
    let runs = site
        .log
        .seen()
        .iter()
        .filter(|seen| seen.path == "/once/long")
        .count();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn acknowledged_tables_outlive_kills_and_lost_disks() {
    let mut daemons = daemons(3, ok).await;
    let mut next = 2;
    // Each controller is killed right after an acknowledgement, with its disk or without.
    for (round, wiped) in [(0, false), (1, false), (2, true), (0, true)] {
        daemons.publish(&document(next)).await;
        daemons.controllers[round].kill();
        if wiped {
            std::fs::remove_dir_all(&daemons.folders[round]).unwrap();
        }
        assert_eq!(daemons.version().await, next);
        daemons.controllers[round].start_again();
        next += 1;
        daemons.publish(&document(next)).await;
        next += 1;
        // A member without a disk must have taken its place before the next disk is lost.
        sleep(Duration::from_secs(4)).await;
    }
    let newest = next + 5;
    daemons.publish(&document(newest)).await;
    for controller in &mut daemons.controllers {
        controller.kill();
    }
    for controller in &mut daemons.controllers {
        controller.start_again();
    }
    assert_eq!(daemons.version().await, newest, "all were killed");
    let res = daemons.site.send(Method::GET, "/safe/x", "r1", "").await;
    assert_eq!(res.status, StatusCode::OK);
}

/// Three seeds form the cluster and the others join; then two disks are lost at once, and again two others.
#[tokio::test]
async fn five_controllers_bear_the_loss_of_two_disks_at_once() {
    let mut daemons = daemons(5, ok).await;
    let mut next = 2;
    for lost in [[0, 1], [2, 4], [1, 3]] {
        // New members must have got their votes before the next disks are lost.
        sleep(Duration::from_secs(6)).await;
        daemons.publish(&document(next)).await;
        for place in lost {
            daemons.controllers[place].kill();
            std::fs::remove_dir_all(&daemons.folders[place]).unwrap();
        }
        assert_eq!(daemons.version().await, next, "without {lost:?}");
        next += 1;
        daemons.publish(&document(next)).await;
        for place in lost {
            daemons.controllers[place].start_again();
        }
        next += 1;
    }
    assert_eq!(daemons.version().await, next - 1);
    let res = daemons.site.send(Method::GET, "/safe/x", "r1", "").await;
    assert_eq!(res.status, StatusCode::OK);
}

/// Changes race at all controllers while one of them is frozen for a while; none that was acknowledged
/// may be missing from a read that began later.
#[tokio::test]
async fn reads_are_never_older_than_what_was_acknowledged() {
    let daemons = daemons(3, ok).await;
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
        let freeze = async {
            for frozen in &daemons.controllers {
                frozen.freeze();
                sleep(Duration::from_millis(700)).await;
                frozen.thaw();
                sleep(Duration::from_millis(700)).await;
            }
        };
        tokio::join!(publish(halves.0), publish(halves.1), freeze);
        done.store(true, Ordering::SeqCst);
    };
    let read = async |reader: usize| {
        let mut reads = 0;
        while !done.load(Ordering::SeqCst) {
            let acknowledged = highest.load(Ordering::SeqCst);
            // A frozen controller answers when it has woken.
            let res = ask_one(daemons.controls[reader], Method::GET, "/api/config/get", "").await;
            if let Some(res) = res.filter(|res| res.status == StatusCode::OK) {
                let read = version(&res);
                assert!(read >= acknowledged, "{read} < {acknowledged}");
                reads += 1;
            }
            sleep(Duration::from_millis(15)).await;
        }
        reads
    };
    let (_, a, b, c) = tokio::join!(operators, read(0), read(1), read(2));
    assert!(a.min(b).min(c) > 10, "reads: {a}, {b}, {c}");
    assert_eq!(daemons.version().await, 39);
    sleep(APPLIED).await;
    let in_force = daemons.site.table_version().await;
    assert_eq!(in_force, 39);
}

#[tokio::test]
async fn a_gateway_follows_a_new_leader_and_takes_no_older_table() {
    let mut daemons = daemons(3, ok).await;
    for round in 0..3 {
        let next = 10 + round as u64;
        let mut changed: Value = document(next);
        changed["Routes"][0]["PathPrefix"] = json!(format!("/v{next}/"));
        daemons.controllers[round].kill();
        daemons.publish(&changed).await;
        sleep(APPLIED).await;
        let path = format!("/v{next}/x");
        let res = daemons.site.send(Method::GET, &path, "r", "").await;
        assert_eq!(res.status, StatusCode::OK, "{path}");
        let old = daemons.site.send(Method::GET, "/safe/x", "r", "").await;
        assert_eq!(old.status, StatusCode::NOT_FOUND);
        daemons.controllers[round].start_again();
        // It catches up before the next one is killed.
        sleep(Duration::from_millis(1500)).await;
    }
}
