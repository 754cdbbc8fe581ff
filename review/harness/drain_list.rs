// An entry of another writer, whose bytes cannot be read, stands in the platform's list while a server leaves.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Instant,
};

use std::io::Write;

use crate::standins::*;

const DRAIN_MS: u64 = 3000;
/// Time that the leaving server goes on serving beyond `DRAIN_MS`; the pages say "sometimes many seconds longer".
const LINGER_MS: u64 = 3000;
const WORK_MS: u64 = 300;
const SEND_EVERY_MS: u64 = 40;
const RECOVERY_S: u64 = 12;

struct Run {
    at: Instant,
    server: String,
}

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare(3, 2);
    let list = Arc::new(Mutex::new(ListState::default()));
    let runs: Arc<Mutex<HashMap<String, Vec<Run>>>> = Arc::default();
    let mut servers = Vec::new();
    for n in 0..3u8 {
        let (runs, record) = (Arc::clone(&runs), Arc::clone(record));
        let server = Server::start(
            &format!("i-{n}"),
            cluster.address(100 + n, 8308),
            move |server, conn, head| {
                let Ok(_) = conn.read_body(head) else {
                    return false;
                };
                let run = Run {
                    at: Instant::now(),
                    server: server.id.clone(),
                };
                runs.lock()
                    .unwrap()
                    .entry(head.id().to_owned())
                    .or_default()
                    .push(run);
                record.line(format!(
                    "server {} runs {} {}",
                    server.id,
                    head.method(),
                    head.id()
                ));
                thread::sleep(ms(if head.method() == "GET" { 20 } else { WORK_MS }));
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
        servers.push(server);
    }
    serve_platform(cluster.api, Arc::clone(&list));
    cluster.start_all();
    let routes = [
        RouteSpec {
            name: "pledge",
            kind: "non_idempotent",
            timeout_ms: 1500,
            attempts: 1,
            resume: false,
            service: "ledger-x",
        },
        RouteSpec {
            name: "stock",
            kind: "idempotent",
            timeout_ms: 1500,
            attempts: 2,
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
    let fronts: Vec<_> = cluster.gateways.iter().map(Node::front).collect();
    if !wait_until_served(&fronts, "/stock/1", ms(8000)) {
        cannot_run("the deployment serves nothing");
    }
    record.say("the deployment serves; traffic begins");

    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let traffic = {
        let (fronts, record, stop, lost) = (
            fronts.clone(),
            Arc::clone(record),
            Arc::clone(&stop),
            Arc::clone(&lost),
        );
        thread::spawn(move || {
            let mut calls = Vec::new();
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                let (front, record, lost) = (
                    fronts[n % fronts.len()],
                    Arc::clone(&record),
                    Arc::clone(&lost),
                );
                n += 1;
                calls.push(thread::spawn(move || call(front, &record, &lost)));
                thread::sleep(ms(SEND_EVERY_MS));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    thread::sleep(ms(2000));
    if trouble() {
        // The rest of the list is sound.
        let entry: &[u8] = match std::env::var("ENTRY").as_deref() {
            // An Id that is half of a surrogate pair, and a number beyond all limits: sound by the grammar of JSON.
            Ok("surrogate") => b"{\"Service\":\"ledger-x\",\"Id\":\"\\ud800\",\"State\":\"ready\"}",
            Ok("number") => {
                b"{\"Service\":\"ledger-x\",\"Id\":\"i-odd\",\"Slots\":1e999,\"State\":\"ready\"}"
            }
            // An Id that is no UTF-8.
            _ => b"{\"Service\":\"ledger-x\",\"Id\":\"\xff\xfe\x80\",\"State\":\"ready\"}",
        };
        let entry = entry.to_vec();
        list.lock().unwrap().foreign = Some(entry);
        record.say("the list holds an entry of another writer, with bytes that cannot be read");
    }
    thread::sleep(ms(1000));
    list.lock().unwrap().entries[0].state = "draining";
    record.say("server i-0 is set to draining");
    let shown = loop {
        if let Some(at) = list.lock().unwrap().shown_draining.get("i-0") {
            break *at;
        }
        thread::sleep(ms(5));
    };
    record.say(format!(
        "the list shows i-0 as draining at {:.3}",
        record.seconds(shown)
    ));
    let end = shown + ms(DRAIN_MS + LINGER_MS);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let lost_before = lost.load(Ordering::SeqCst);
    servers[0].end();
    list.lock().unwrap().entries.remove(0);
    record.say("server i-0 has ended and left the list");
    thread::sleep(ms(2000));
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let late = late_runs(&runs, shown);
    let lost = lost.load(Ordering::SeqCst) - lost_before;
    record.say(format!(
        "DRAIN: {late} requests reached i-0 later than {DRAIN_MS} ms after the list had shown it as draining; \
         {lost} calls that may run once were answered 502 as it ended"
    ));

    // The final fault: all processes are killed and come back.
    cluster.kill_all();
    record.say("all processes of the system are killed");
    thread::sleep(ms(1300));
    cluster.start_all();
    let back = Instant::now();
    record.say("all processes of the system are started again");
    thread::sleep((back + ms(RECOVERY_S * 1000)).saturating_duration_since(Instant::now()));
    let (mut sent, mut served) = (0, 0);
    for n in 0..50 {
        let head = request_head("GET", "/stock/1", &new_id(), 1500, 0);
        let answer = exchange(fronts[n % fronts.len()], &head, b"", ms(1500));
        let status = answer.map_or(0, |answer| answer.head.status());
        record.line(format!("after the fault: request {n} is answered {status}"));
        sent += 1;
        served += u32::from(status == 200);
        thread::sleep(ms(50));
    }
    record.say(format!(
        "RECOVER: {served} of {sent} requests were served later than {RECOVERY_S} s after the machines were back"
    ));
    late > 0 || served * 4 < sent
}

fn call(front: std::net::SocketAddr, record: &Record, lost: &AtomicU64) {
    let id = new_id();
    let head = request_head("POST", "/pledge/1", &id, 1500, 4);
    match exchange(front, &head, b"body", ms(1500)) {
        Ok(answer) => {
            record.line(format!("client {id} is answered {}", answer.head.status()));
            if answer.head.status() == 502 {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }
        Err(e) => record.line(format!("client {id} is not answered: {e}")),
    }
}

fn late_runs(runs: &Mutex<HashMap<String, Vec<Run>>>, shown: Instant) -> usize {
    let runs = runs.lock().unwrap();
    let all = runs.values().flatten();
    all.filter(|run| run.server == "i-0" && run.at > shown + ms(DRAIN_MS))
        .count()
}
