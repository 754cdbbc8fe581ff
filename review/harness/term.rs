// A gateway is stopped with SIGTERM. Clients that resolved its address shortly before still use it, as the pages let them.

use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::standins::*;

const GRACE_MS: u64 = 8000;
/// Events of a stream, and the pause between two of them: 4.2 s in all.
const EVENTS: u64 = 42;
const GAP_MS: u64 = 100;
const CLIENTS: usize = 6;

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare(3, 3);
    let list = Arc::new(Mutex::new(ListState::default()));
    let begun: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    for n in 0..2u8 {
        let (begun, record) = (Arc::clone(&begun), Arc::clone(record));
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
                begun
                    .lock()
                    .unwrap()
                    .insert(head.id().to_owned(), Instant::now());
                record.line(format!("server {} runs {}", server.id, head.id()));
                let sent = stream_events(server, conn, head);
                record.line(format!(
                    "server {} ends {}: {}",
                    server.id,
                    head.id(),
                    if sent {
                        "whole"
                    } else {
                        "its connection was closed"
                    }
                ));
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
            resume: false,
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
    let fronts: Vec<_> = cluster.gateways.iter().map(Node::front).collect();
    if !wait_until_served(&fronts, "/stock/1", ms(8000)) {
        cannot_run("the deployment serves nothing");
    }
    thread::sleep(ms(5000));
    let stopped = fronts[0];
    let other = cluster.gateways[1].directory();
    let knows = || resolve(other).filter(|(addresses, _)| addresses.contains(&stopped));
    let Some((_, ttl)) = knows() else {
        cannot_run("the directory does not list the gateway")
    };
    record.say(format!(
        "the directory of another gateway lists the gateway; TtlS is {}",
        ttl.as_secs_f64()
    ));

    let stop_at = Instant::now();
    if trouble() {
        cluster.gateways[0].signal("TERM");
        record.say("SIGTERM is sent to the gateway");
    }
    // The last answer of another gateway's directory that still lists the gateway; clients may keep it for three times
    // TtlS, and pick any of its addresses for a new connection.
    let mut resolved = None;
    while stop_at.elapsed() < ms(800) {
        let asked = Instant::now();
        match knows() {
            Some(_) => resolved = Some(asked),
            None => break,
        }
        thread::sleep(ms(5));
    }
    let Some(resolved) = resolved else {
        record.say("no answer after the SIGTERM lists the gateway; nothing was sent");
        return false;
    };
    record.say(format!(
        "a client resolves at {} ms after the SIGTERM, and gets the gateway's address",
        resolved.saturating_duration_since(stop_at).as_millis()
    ));
    let kept_until = resolved + ttl * 3;
    let mut calls = Vec::new();
    for _ in 0..CLIENTS {
        let at = kept_until - ms(20);
        let record = Arc::clone(record);
        calls.push(thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            call(stopped, stop_at, &record)
        }));
    }
    // The platform kills the process at the end of its grace, and starts it again.
    thread::sleep((stop_at + ms(GRACE_MS)).saturating_duration_since(Instant::now()));
    if trouble() {
        let ended = cluster.gateways[0].has_ended();
        record.say(format!(
            "at the end of GraceS the gateway has ended: {ended}"
        ));
        cluster.gateways[0].kill();
    }
    let mut cut = 0;
    for call in calls {
        cut += usize::from(call.join().unwrap_or(false));
    }
    record.say(format!(
        "LOST: {cut} of {CLIENTS} requests that the gateway had read and passed on were cut, though their servers were at work \
         and would have ended within GraceS"
    ));
    cut > 0
}

/// Streams events in chunks; returns false if the connection was closed meanwhile.
fn stream_events(server: &Server, conn: &mut Conn, head: &Head) -> bool {
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
    for n in 1..=EVENTS {
        thread::sleep(ms(GAP_MS));
        let event = format!("id: {n}\ndata: piece-{n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    conn.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends one request for a stream; returns whether it was read and then cut.
fn call(front: std::net::SocketAddr, stop_at: Instant, record: &Record) -> bool {
    let id = new_id();
    let head = request_head("POST", "/draft/1", &id, 15_000, 4);
    let sent = Instant::now();
    let after = |at: Instant| at.saturating_duration_since(stop_at).as_millis();
    let answer = stream(front, &head);
    let took: Duration = sent.elapsed();
    let (text, cut) = match answer {
        Ok((status, None)) => (format!("whole, {status}"), false),
        Ok((status, Some(bytes))) => (format!("{status}, cut after {bytes} bytes"), true),
        Err(e) => (format!("not taken: {e}"), false),
    };
    record.say(format!(
        "client {id}: sent {} ms after the SIGTERM, {text}, after {} ms",
        after(sent),
        took.as_millis()
    ));
    // The rule excuses requests that were sent no later than 3 s after the SIGTERM.
    cut && after(sent) > 3000
}

/// Returns the status, and the bytes that came if the answer was cut.
fn stream(front: std::net::SocketAddr, head: &str) -> std::io::Result<(u16, Option<usize>)> {
    let mut conn = Conn::connect(front, ms(1000))?;
    conn.stream.set_read_timeout(Some(ms(15_000)))?;
    conn.stream.write_all(head.as_bytes())?;
    conn.stream.write_all(b"body")?;
    let Some(head) = conn.read_head()? else {
        // The request was read, as far as a client can tell, and not answered.
        return Ok((0, Some(0)));
    };
    match conn.read_body(&head) {
        Ok(_) => Ok((head.status(), None)),
        Err(_) => Ok((head.status(), Some(1))),
    }
}
