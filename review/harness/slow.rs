// A gateway gets SIGHUP. Streams that may be resumed then pause, each at a sound server that goes on after a while.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use crate::standins::*;

const EVENTS: u64 = 12;
const GAP_MS: u64 = 60;
/// After every fourth event a server is silent for this long. Clients of a route with 300 ms as its longest pause wait for
/// 2.4 s (eight times that pause).
const SILENCE_MS: u64 = 1600;
const CLIENTS: usize = 6;
const CONFIG_APPLY_MS: u64 = 2000;

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare(3, 1);
    let list = Arc::new(Mutex::new(ListState::default()));
    let silence = if trouble() { SILENCE_MS } else { GAP_MS };
    for n in 0..3u8 {
        let record = Arc::clone(record);
        let server = Server::start(
            &format!("i-{n}"),
            cluster.address(100 + n, 8308),
            move |server, conn, head| {
                let Ok(_) = conn.read_body(head) else {
                    return false;
                };
                if head.method() == "GET" {
                    let answer = server.answer_head(head, "200 OK", 4) + "done";
                    return conn.stream.write_all(answer.as_bytes()).is_ok();
                }
                let after: u64 = head
                    .header("last-event-id")
                    .and_then(|v| v.trim().parse().ok())
                    .unwrap_or(0);
                record.line(format!(
                    "server {} runs {} after event {after}",
                    server.id,
                    head.id()
                ));
                let sent = stream_events(server, conn, head, after, silence);
                let how = if sent {
                    "whole"
                } else {
                    "its connection was closed"
                };
                record.line(format!("server {} ends {}: {how}", server.id, head.id()));
                sent
            },
        );
        list.lock().unwrap().entries.push(Listed {
            zone: "a",
            id: server.id.clone(),
            service: "loom-x".into(),
            address: server.address,
            state: "ready",
        });
    }
    serve_platform(cluster.api, Arc::clone(&list));
    cluster.start_all();
    let routes = [
        RouteSpec {
            name: "draft",
            kind: "stream",
            timeout_ms: 15_000,
            attempts: 2,
            resume: true,
            service: "loom-x",
        },
        RouteSpec {
            name: "stock",
            kind: "idempotent",
            timeout_ms: 1500,
            attempts: 2,
            resume: false,
            service: "loom-x",
        },
    ];
    if !put_config(
        &cluster.controls(),
        &document(3, &routes, &["loom-x"]),
        ms(12_000),
    ) {
        cannot_run("the configuration was not acknowledged");
    }
    let front = cluster.gateways[0].front();
    if !wait_until_served(&[front], "/stock/1", ms(8000)) {
        cannot_run("the deployment serves nothing");
    }
    thread::sleep(ms(5000));
    let hup = Instant::now();
    cluster.gateways[0].signal("HUP");
    record.say("SIGHUP is sent to the gateway");
    thread::sleep(ms(200));
    let calls: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = Arc::clone(record);
            thread::spawn(move || call(front, hup, &record))
        })
        .collect();
    let cut = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .filter(|cut| *cut)
        .count();
    record.say(format!(
        "LOST: {cut} of {CLIENTS} streams that the gateway had read and passed on were cut, within {CONFIG_APPLY_MS} ms of its \
         SIGHUP when sent, though their servers were at work and their time was not up"
    ));
    cut > 0
}

fn stream_events(server: &Server, conn: &mut Conn, head: &Head, after: u64, silence: u64) -> bool {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Flamingocroft-Request-Id: {}\r\nX-Flamingocroft-Response-Seal: {}.{}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        head.id(),
        server.id,
        head.id()
    );
    if conn.stream.write_all(answer.as_bytes()).is_err() {
        return false;
    }
    for (sent, n) in (after + 1..=EVENTS).enumerate() {
        thread::sleep(ms(if sent > 0 && sent % 4 == 0 {
            silence
        } else {
            GAP_MS
        }));
        let event = format!("id: {n}\ndata: piece-{n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    conn.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends one request for a stream; returns whether it was cut.
fn call(front: SocketAddr, hup: Instant, record: &Record) -> bool {
    let id = new_id();
    let head = request_head("POST", "/draft/1", &id, 15_000, 4);
    let sent = Instant::now();
    let answer = exchange(front, &head, b"body", ms(15_000));
    let (text, cut) = match answer {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body)
                .matches("data: ")
                .count();
            (
                format!("{} with {events} events, whole", answer.head.status()),
                false,
            )
        }
        Err(e) => (format!("cut: {e}"), true),
    };
    record.say(format!(
        "client {id}: sent {} ms after the SIGHUP, {text}, after {} ms",
        sent.saturating_duration_since(hup).as_millis(),
        sent.elapsed().as_millis()
    ));
    cut
}
