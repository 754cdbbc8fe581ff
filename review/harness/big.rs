// The configuration grows by many routes, and a key is taken away, at a gateway with a link of 10 Mbit/s.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::standins::*;

/// The link of a front machine at woolstead-relay-grown.
const LINK_MBPS: f64 = 10.0;
/// Port at which the gateway reaches the controllers, over its link.
const LINK_PORT: u16 = 7601;
/// Routes that each change adds.
const ROUTES_MORE: usize = 1400;
const CHANGES: u64 = 5;
/// Time between two changes.
const PAUSE_MS: u64 = 5000;
const CONFIG_APPLY_MS: u64 = 2500;
const SECOND_KEY: &str = "k-review-taken-away-77";
/// Requests of each kind after the last acknowledgement, one of each in `EVERY_MS`.
const PROBES: u64 = 60;
const EVERY_MS: u64 = 250;
const RECOVERY_MS: u64 = 15_000;
const RECOVERY_PROBES: u32 = 20;

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare_behind(3, 1, LINK_PORT);
    let (up, down) = (Link::new(LINK_MBPS), Link::new(LINK_MBPS));
    for controller in &cluster.controllers {
        let mut listen = controller.peer();
        listen.set_port(LINK_PORT);
        serve_link(
            listen,
            controller.peer(),
            Arc::clone(&up),
            Arc::clone(&down),
        );
    }
    let list = Arc::new(Mutex::new(ListState::default()));
    let of_server = Arc::clone(record);
    let server = Server::start(
        "i-0",
        cluster.address(100, 8308),
        move |server, conn, head| {
            let Ok(_) = conn.read_body(head) else {
                return false;
            };
            of_server.line(format!("server i-0 runs {} {}", head.path(), head.id()));
            let answer = server.answer_head(head, "200 OK", 4) + "done";
            conn.stream.write_all(answer.as_bytes()).is_ok()
        },
    );
    list.lock().unwrap().entries.push(Listed {
        zone: "a",
        id: server.id.clone(),
        service: "ledger-x".into(),
        address: server.address,
        state: "ready",
    });
    serve_platform(cluster.api, Arc::clone(&list));
    cluster.start_all();
    let controls = cluster.controls();
    let front = cluster.gateways[0].front();
    if !put_config(&controls, &grown(3, 0, true), ms(12_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    if !wait_until_served(&[front], "/stock/1", ms(8000)) {
        cannot_run("the deployment serves nothing");
    }
    thread::sleep(ms(3000));
    let more = if trouble() {
        ROUTES_MORE
    } else {
        ROUTES_MORE / 100
    };
    for change in 1..=CHANGES {
        let text = grown(3 + 7 * change, more * change as usize, true);
        if !put_config(&controls, &text, ms(4000)) {
            cannot_run("a grown configuration was not acknowledged");
        }
        record.say(format!(
            "version {} is acknowledged: {} added routes, {} bytes",
            3 + 7 * change,
            more * change as usize,
            text.len()
        ));
        thread::sleep(ms(PAUSE_MS));
    }
    let last = 3 + 7 * CHANGES + 5;
    if !put_config(
        &controls,
        &grown(last, more * CHANGES as usize, false),
        ms(4000),
    ) {
        cannot_run("the last configuration was not acknowledged");
    }
    let acked = Instant::now();
    record.say(format!(
        "version {last} is acknowledged: it takes a key away"
    ));
    let newest = format!("/more-{}/1", more * CHANGES as usize - 1);
    thread::sleep(ms(CONFIG_APPLY_MS + 100));
    let (mut with_key, mut on_route) = (0, 0);
    for _ in 0..PROBES {
        let begin = Instant::now();
        let taken = status(front, SECOND_KEY, "/stock/1", record);
        let route = status(front, KEY, &newest, record);
        record.line(format!(
            "{} ms after the acknowledgement: {taken} with the key that was taken away, {route} on the newest route",
            begin.saturating_duration_since(acked).as_millis()
        ));
        with_key += u32::from(taken == 200);
        on_route += u32::from(route == 404);
        thread::sleep((begin + ms(EVERY_MS)).saturating_duration_since(Instant::now()));
    }
    let until = acked.elapsed();
    record.say(format!(
        "CONFIG: from {CONFIG_APPLY_MS} ms to {} ms after the acknowledgement, {with_key} of {PROBES} requests ran with the key \
         that was taken away, and {on_route} of {PROBES} on the newest route were refused with 404",
        until.as_millis()
    ));
    // The final fault: the gateway is killed and comes back. It holds no configuration then.
    cluster.gateways[0].kill();
    record.say("the gateway is killed");
    thread::sleep(ms(1300));
    cluster.start_gateway(0);
    record.say("the gateway is started again");
    thread::sleep(ms(RECOVERY_MS));
    let mut served = 0;
    for _ in 0..RECOVERY_PROBES {
        served += u32::from(status(front, KEY, "/stock/1", record) == 200);
        thread::sleep(ms(EVERY_MS));
    }
    record.say(format!(
        "RECOVER: {served} of {RECOVERY_PROBES} requests were served later than {RECOVERY_MS} ms after the gateway was back"
    ));
    with_key + on_route > 0 || served * 4 < RECOVERY_PROBES
}

fn status(front: SocketAddr, key: &str, path: &str, record: &Record) -> u16 {
    let id = new_id();
    let head = request_head_with_key(key, "GET", path, &id, 1500, 0);
    let answer = exchange(front, &head, b"", Duration::from_millis(1500));
    let status = answer.map_or(0, |answer| answer.head.status());
    record.line(format!("client {id} {path} is answered {status}"));
    status
}

/// Returns a configuration with added routes, with or without the second key.
fn grown(version: u64, routes: usize, second_key: bool) -> String {
    let base = [RouteSpec {
        name: "stock",
        kind: "idempotent",
        timeout_ms: 1500,
        attempts: 2,
        resume: false,
        service: "ledger-x",
    }];
    let mut text = document(version, &base, &["ledger-x"]);
    let more: Vec<String> = (0..routes)
        .map(|n| {
            format!(
                ",{{\"Name\":\"r-more-{n}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/more-{n}/\",\"Kind\":\"idempotent\",\
                 \"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"ledger-x\",\"MaxAttempts\":2,\
                 \"Public\":false,\"StickySession\":false,\"StreamResume\":false,\"TargetGapMs\":300}}"
            )
        })
        .collect();
    text = text.replacen(
        "],\"Services\"",
        &format!("{}],\"Services\"", more.concat()),
        1,
    );
    if second_key {
        text = text.replace(
            &format!("[\"{KEY}\"]"),
            &format!("[\"{KEY}\",\"{SECOND_KEY}\"]"),
        );
    }
    text
}
