// A server answers long requests before it has read them, keeps their connections and reads on later.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::standins::*;

/// Length of a long body; the configuration allows 4,194,304 bytes.
const LONG_BYTES: usize = 4_100_000;
const UPLOADS: usize = 12;
const CALLS: usize = 24;
/// Time after its early answer at which the server reads the rest of a body.
const READ_ON_MS: u64 = 3000;
/// Time that the server takes for its early answer.
const THINK_MS: u64 = 600;
const TIMEOUT_MS: u64 = 800;
/// Time beyond the route's timeout by which the rule wants a final answer.
const LATE_MS: u64 = 500;

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare(3, 1);
    let list = Arc::new(Mutex::new(ListState::default()));
    let early = trouble();
    let of_servers = Arc::clone(record);
    let server = Server::start(
        "i-0",
        cluster.address(100, 8308),
        move |server, conn, head| {
            let record = &of_servers;
            if head.length() < LONG_BYTES || !early {
                let Ok(_) = conn.read_body(head) else {
                    return false;
                };
                record.line(format!("server i-0 runs {} {}", head.method(), head.id()));
                thread::sleep(ms(20));
                let answer = server.answer_head(head, "200 OK", 4) + "done";
                return conn.stream.write_all(answer.as_bytes()).is_ok();
            }
            // The whole answer goes out first; the rest of the body is read later, on the same connection.
            thread::sleep(ms(THINK_MS));
            let answer = server.answer_head(head, "200 OK", 4) + "done";
            if conn.stream.write_all(answer.as_bytes()).is_err() {
                return false;
            }
            record.line(format!(
                "server i-0 has answered {} before it has read it",
                head.id()
            ));
            thread::sleep(ms(READ_ON_MS));
            let read = conn.read_body(head).is_ok();
            record.line(format!(
                "server i-0 has read the rest of {}: {read}",
                head.id()
            ));
            read
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
    let routes = [
        RouteSpec {
            name: "long",
            kind: "non_idempotent",
            timeout_ms: 10_000,
            attempts: 1,
            resume: false,
            service: "ledger-x",
        },
        RouteSpec {
            name: "stock",
            kind: "idempotent",
            timeout_ms: TIMEOUT_MS,
            attempts: 2,
            resume: false,
            service: "ledger-x",
        },
        RouteSpec {
            name: "pledge",
            kind: "non_idempotent",
            timeout_ms: TIMEOUT_MS,
            attempts: 1,
            resume: false,
            service: "ledger-x",
        },
    ];
    if !put_config(
        &cluster.controls(),
        &document(3, &routes, &["ledger-x"]),
        ms(12_000),
    ) {
        cannot_run("the configuration was not acknowledged");
    }
    let front = cluster.gateways[0].front();
    if !wait_until_served(&[front], "/stock/1", ms(8000)) {
        cannot_run("the deployment serves nothing");
    }
    // The core has been calm for longer than ContactMs when the requests are sent.
    thread::sleep(ms(4000));
    let body: Arc<Vec<u8>> = Arc::new((0..LONG_BYTES).map(|n| (n % 251) as u8).collect());
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let (record, body) = (Arc::clone(record), Arc::clone(&body));
            thread::spawn(move || {
                let id = new_id();
                let head = request_head("POST", "/long/1", &id, 10_000, body.len());
                let answer = exchange(front, &head, &body, ms(10_000));
                let status = answer.map_or(0, |answer| answer.head.status());
                record.line(format!("client {id}, a long request, is answered {status}"));
                status
            })
        })
        .collect();
    let answered = uploads
        .into_iter()
        .filter_map(|u| u.join().ok())
        .filter(|s| *s == 200)
        .count();
    record.say(format!(
        "{answered} of {UPLOADS} long requests are answered with 200"
    ));
    if answered < UPLOADS {
        cannot_run("the long requests were not answered");
    }
    // The server is still to read the rest of the long bodies when the short requests are sent.
    thread::sleep(ms(300));
    let calls: Vec<_> = (0..CALLS)
        .map(|n| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let id = new_id();
                let head = match n % 2 {
                    0 => request_head("GET", "/stock/1", &id, 15_000, 0),
                    _ => request_head("POST", "/pledge/1", &id, 15_000, 0),
                };
                let sent = Instant::now();
                let answer = exchange(front, &head, b"", ms(15_000));
                let took = sent.elapsed();
                let status = answer.map_or(0, |answer| answer.head.status());
                record.line(format!(
                    "client {id} is answered {status} after {} ms",
                    took.as_millis()
                ));
                took
            })
        })
        .collect();
    let took: Vec<Duration> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let beyond = took.iter().filter(|t| **t > ms(TIMEOUT_MS)).count();
    let late = took
        .iter()
        .filter(|t| **t > ms(TIMEOUT_MS + LATE_MS))
        .count();
    record.say(format!(
        "CONFIG: {beyond} of {CALLS} requests lasted longer than their route's TimeoutMs of {TIMEOUT_MS} ms; {late} of them had \
         no final answer {LATE_MS} ms after it"
    ));
    late >= 8 && late * 4 > beyond
}
