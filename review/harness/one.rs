// The leader freezes while it orders servers of several zones, and wakes after another one has taken over.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::standins::*;

const ZONES: [&str; 5] = ["zarzis", "gabes", "medenine", "tataouine", "djerba"];
/// Time that the platform takes to answer a call of a duty.
const ANSWER_MS: u64 = 120;
const FREEZE_MS: u64 = 6000;
const THAW_SLACK_MS: u64 = 300;
const SEND_EVERY_MS: u64 = 25;

/// When the holder was frozen and woken, and its name.
#[derive(Default)]
struct Freeze {
    holder: Option<String>,
    frozen: Option<Instant>,
    thawed: Option<Instant>,
}

pub fn run(record: &Arc<Record>) -> bool {
    let mut cluster = Cluster::prepare(3, 1);
    let list = Arc::new(Mutex::new(ListState::default()));
    for (n, zone) in ZONES.iter().enumerate() {
        let server = Server::start(
            &format!("i-{n}"),
            cluster.address(100 + n as u8, 8308),
            run_stream,
        );
        list.lock().unwrap().entries.push(Listed {
            zone,
            id: server.id.clone(),
            service: "loom-x".into(),
            address: server.address,
            state: "ready",
        });
    }
    let freeze: Arc<Mutex<Freeze>> = Arc::default();
    let processes: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    {
        let (freeze, processes, record) = (
            Arc::clone(&freeze),
            Arc::clone(&processes),
            Arc::clone(record),
        );
        serve_platform_with(cluster.api, Arc::clone(&list), move |call| {
            record.line(format!(
                "platform gets {} {} from {} with token {}",
                call.path, call.body, call.holder, call.token
            ));
            if call.path == "/scale" && trouble() {
                freeze_once(&freeze, &processes, call, &record);
            }
            thread::sleep(ms(ANSWER_MS));
        });
    }
    cluster.start_all();
    for node in &cluster.controllers {
        if let Some(pid) = node.process() {
            processes.lock().unwrap().insert(node.ip.to_string(), pid);
        }
    }
    if !put_config(&cluster.controls(), &scaled(3), ms(12_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    let front = cluster.gateways[0].front();
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
        thread::spawn(move || {
            let mut calls = Vec::new();
            let mut n = 0u64;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let (record, tokens) = (Arc::clone(&record), 400 + n * 7919 % 2600);
                calls.push(thread::spawn(move || call(front, n, tokens, &record)));
                thread::sleep(ms(SEND_EVERY_MS));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    let end = Instant::now() + ms(40_000);
    let done = |freeze: &Freeze| freeze.thawed.is_some_and(|at| at.elapsed() > ms(3000));
    let first = || {
        list.lock()
            .unwrap()
            .calls
            .iter()
            .find(|call| call.path == "/scale")
            .map(|call| call.at)
    };
    while Instant::now() < end {
        if done(&freeze.lock().unwrap())
            || (!trouble() && first().is_some_and(|at| at.elapsed() > ms(9000)))
        {
            break;
        }
        thread::sleep(ms(50));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    if first().is_none() {
        cannot_run("no server was ordered");
    }
    let calls = list.lock().unwrap().calls.clone();
    let freeze = freeze.lock().unwrap();
    let broken = judge(&calls, &freeze, record);
    drop(freeze);
    broken
}

/// Freezes the process that made the first order, while the answer is on its way, and wakes it later.
fn freeze_once(
    freeze: &Arc<Mutex<Freeze>>,
    processes: &Mutex<HashMap<String, u32>>,
    call: &DutyCall,
    record: &Arc<Record>,
) {
    let mut state = freeze.lock().unwrap();
    if state.holder.is_some() {
        return;
    }
    let Some(pid) = processes.lock().unwrap().get(&call.holder).copied() else {
        return;
    };
    signal(pid, "STOP");
    state.holder = Some(call.holder.clone());
    state.frozen = Some(Instant::now());
    record.say(format!(
        "{} is frozen; it holds token {}",
        call.holder, call.token
    ));
    let (freeze, record) = (Arc::clone(freeze), Arc::clone(record));
    thread::spawn(move || {
        thread::sleep(ms(FREEZE_MS));
        let at = Instant::now();
        signal(pid, "CONT");
        freeze.lock().unwrap().thawed = Some(at);
        record.say(format!("it wakes after {FREEZE_MS} ms"));
    });
}

/// Returns whether the rule was broken: a call with a lower token than was seen for its duty and subject.
fn judge(calls: &[DutyCall], freeze: &Freeze, record: &Record) -> bool {
    let mut highest: HashMap<String, (u64, String)> = HashMap::new();
    let (mut broken, mut excused) = (0, 0);
    for call in calls {
        let subject = subject(call);
        let seen = highest
            .entry(subject.clone())
            .or_insert((call.token, call.holder.clone()));
        if call.token < seen.0 {
            let after = freeze
                .thawed
                .map(|at| call.at.saturating_duration_since(at));
            let is_excused = freeze.holder.as_ref() == Some(&call.holder)
                && after.is_some_and(|after| after <= ms(THAW_SLACK_MS));
            match is_excused {
                true => excused += 1,
                false => broken += 1,
            }
            record.say(format!(
                "{subject}: {} calls with token {} after {} had called with token {}, {} ms after the thaw{}",
                call.holder,
                call.token,
                seen.1,
                seen.0,
                after.unwrap_or_default().as_millis(),
                if is_excused { " (within ThawSlackMs)" } else { "" }
            ));
            continue;
        }
        *seen = (call.token, call.holder.clone());
    }
    record.say(format!(
        "ONE: {} calls of duties; {broken} had a lower token than the platform had seen for their duty and subject, beside \
         {excused} within ThawSlackMs",
        calls.len()
    ));
    broken > 0
}

/// Returns the duty and the subject of a call.
fn subject(call: &DutyCall) -> String {
    match call.path.as_str() {
        "/scale" => {
            let zone = call
                .body
                .split("\"Zone\":\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next());
            format!("scale {}", zone.unwrap_or("?"))
        }
        path => path.trim_start_matches('/').to_owned(),
    }
}

fn call(front: std::net::SocketAddr, n: u64, tokens: u64, record: &Record) {
    let id = new_id();
    let prompt = format!(
        "X-Flamingocroft-Model: m\r\nX-Flamingocroft-Token-Count: {},40\r\nX-Flamingocroft-Prefix-Hash: \
         aa01:300,{:x}:{tokens}\r\n\r\n",
        300 + tokens,
        0x10_0000 + n
    );
    let head = request_head("POST", "/draft/1", &id, 5000, 4);
    let head = format!("{}\r\n{prompt}", head.trim_end_matches("\r\n"));
    let answer = exchange(front, &head, b"body", ms(5000));
    if let Err(e) = answer {
        record.line(format!("client {id} is not answered: {e}"));
    }
}

/// Answers after a time that grows with the new tokens of the prompt, with three events.
fn run_stream(server: &Server, conn: &mut Conn, head: &Head) -> bool {
    let Ok(_) = conn.read_body(head) else {
        return false;
    };
    let own = head
        .header("x-flamingocroft-prefix-hash")
        .and_then(|parts| parts.rsplit(':').next());
    let tokens: u64 = own
        .and_then(|tokens| tokens.trim().parse().ok())
        .unwrap_or(0);
    thread::sleep(Duration::from_micros(10_000 + tokens * 20));
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
    for n in 1..=3 {
        let event = format!("id: {n}\ndata: piece-{n}\n\n");
        if conn
            .stream
            .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
            .is_err()
        {
            return false;
        }
        thread::sleep(ms(20));
    }
    conn.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Returns a configuration with a service whose servers may be ordered in each zone.
fn scaled(version: u64) -> String {
    let routes = [RouteSpec {
        name: "draft",
        kind: "stream",
        timeout_ms: 5000,
        attempts: 2,
        resume: false,
        service: "loom-x",
    }];
    let text = document(version, &routes, &["loom-x"]);
    let prices: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\":1.0")).collect();
    let more = format!(
        "\"Tls\":false,\"Engine\":{{\"Slots\":8,\"KvCapacity\":596510,\"KvTokenBytes\":18432,\"LinkMbps\":370000.0,\
         \"Moves\":true,\"Backups\":true,\"Stride\":7,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\
         \"Models\":[{{\"Name\":\"m\"}}]}},\"Scaling\":{{\"Min\":1,\"Max\":6,\"BootS\":4.0,\"SpotPrice\":0.18,\
         \"ZonePrices\":{{{}}}}}",
        prices.join(",")
    );
    text.replace("\"Tls\":false", &more)
}
