//! The cases: what happens, and the check of the rule.

use std::{
    io,
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    platform::{self, Server},
    world::{Record, World, describe},
};

/// What broke the rule, if anything did; an error if the case couldn't run.
type Verdict = Result<Option<String>, String>;

const ZONES: [&str; 3] = ["zarzis", "gabes", "medenine"];
/// `CatchUpS` and `RecoveryS` of sabkha-ops.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(12);

pub fn run(number: &str, trouble: bool, record: &Record) -> Verdict {
    match number {
        "6" => planned_replacement(trouble, record),
        "7" => first_start(trouble, record),
        _ => Err(format!("there is no script for case {number}")),
    }
}

fn document(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-release","Host":"depot.example","PathPrefix":"/release/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"depot","MaxAttempts":1,"Public":true}}],"Services":[{{"Name":"depot","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Starts three controllers, as the deploy file places them on the core machines of sabkha-ops.
fn start_core(world: &mut World) -> Result<Vec<usize>, String> {
    let core: Vec<usize> = (0..3)
        .map(|at| world.add("controller", ZONES[at], 11 + at as u8))
        .collect();
    for machine in core.clone() {
        world.start(machine, &core, true)?;
    }
    Ok(core)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

fn machine_of(world: &World, nodes: &[usize], address: SocketAddr) -> Option<usize> {
    nodes
        .iter()
        .copied()
        .find(|node| world.control(*node) == address)
}

/// Reads the configuration back at all nodes for a time, as the operator does at the end of a day. Returns whether a node
/// answered with `newest`, and the last answer of each node.
fn read_back(world: &World, nodes: &[usize], newest: &str, time: Duration) -> (bool, String) {
    let until = Instant::now() + time;
    let mut last = vec![String::new(); nodes.len()];
    let mut is_read = false;
    while Instant::now() < until {
        for (at, node) in nodes.iter().enumerate() {
            let (answer, from) = world.get(*node);
            is_read |= answer
                .as_ref()
                .is_ok_and(|res| res.status() == 200 && res.body == newest.as_bytes());
            last[at] = format!("at {from}: {}", describe(&answer));
            world.note_answer(*node, &format!("get {}", last[at]));
        }
        sleep(Duration::from_millis(200));
    }
    (is_read, last.join("; "))
}

/// A planned replacement of a core machine, whose successor has had `CatchUpS`; when as much time has passed since the old one
/// went, another one loses its disk right after it has acknowledged a change.
fn planned_replacement(trouble: bool, record: &Record) -> Verdict {
    let mut world = World::new(record)?;
    platform::start(world.cloud(), &[], record).map_err(|e| e.to_string())?;
    let core = start_core(&mut world)?;
    world
        .put(&core, &document(1), Duration::from_secs(15))
        .ok_or("the first configuration is not acknowledged")?;
    sleep(Duration::from_secs(4));
    let acked = world.put(&core, &document(2), Duration::from_secs(4));
    let acked = acked.ok_or("the second configuration is not acknowledged")?;
    let old = machine_of(&world, &core, acked).ok_or("an unknown node acknowledged it")?;
    let mut nodes = core.clone();
    if trouble {
        // The new machine first; SIGTERM when it has had CatchUpS and a little more; the old one is gone for good.
        let zone = world.machines[old].zone;
        let new = world.add("controller", zone, 14);
        world.start(new, &core, false)?;
        sleep(CATCH_UP + Duration::from_millis(250));
        record.note("the successor has had CatchUpS");
        world.signal(old, "TERM");
        world.wait_end(old, Duration::from_secs(8));
        world.note_machine(old, "is gone for good, and no longer counts as lost");
        nodes.retain(|node| *node != old);
        nodes.push(new);
    }
    sleep(CATCH_UP + Duration::from_millis(50));
    let acked = world.put(&nodes, &document(3), Duration::from_secs(4));
    let acked = acked.ok_or("the third configuration is not acknowledged")?;
    if trouble {
        let wiped = machine_of(&world, &nodes, acked).ok_or("an unknown node acknowledged it")?;
        world.kill(wiped);
        world.wipe(wiped);
        sleep(Duration::from_secs(3));
        world.start(wiped, &nodes, false)?;
    }
    record.note("all machines are back; RecoveryS begins");
    sleep(RECOVERY);
    let (is_read, last) = read_back(&world, &nodes, &document(3), Duration::from_secs(20));
    let put = world.put(&nodes, &document(4), Duration::from_secs(6));
    record.note(&format!(
        "operator: a further configuration is acknowledged: {}",
        put.is_some()
    ));
    if is_read {
        return Ok(None);
    }
    Ok(Some(format!(
        "version 3 was acknowledged, and no node returns it later than RecoveryS after all machines are back ({last})"
    )))
}

/// One of the three machines of the core is lost for good at the first start; an empty one comes 1 s later at another address.
/// Traffic starts 10 s after the machines do.
fn first_start(trouble: bool, record: &Record) -> Verdict {
    let mut world = World::new(record)?;
    let server = Server {
        id: "i-depot1",
        service: "depot",
        zone: ZONES[0],
        address: SocketAddr::from((world.ip(101), world.ports.cloud)),
    };
    server.start(record).map_err(|e| e.to_string())?;
    let servers = [server];
    platform::start(world.cloud(), &servers, record).map_err(|e| e.to_string())?;
    let begun = Instant::now();
    let core = start_core(&mut world)?;
    let gateway = world.add("gateway", ZONES[0], 31);
    world.start(gateway, &core, true)?;
    let mut nodes = core.clone();
    if trouble {
        let lost = core[2];
        world.kill(lost);
        world.note_machine(lost, "is gone for good");
        sleep_until(begun + Duration::from_secs(1));
        let zone = world.machines[lost].zone;
        let new = world.add("controller", zone, 14);
        world.start(new, &core, false)?;
        nodes.retain(|node| *node != lost);
        nodes.push(new);
    }
    let acked = world.put(&nodes, &document(1), Duration::from_secs(9));
    sleep_until(begun + Duration::from_secs(10));
    record.note("traffic starts");
    let mut is_acked = acked.is_some();
    let (mut sent, mut served) = (0, 0);
    let mut last = String::new();
    while begun.elapsed() < Duration::from_secs(70) && served < 50 {
        if !is_acked {
            nodes.rotate_left(1);
            is_acked = world.put(&nodes, &document(1), Duration::ZERO).is_some();
        }
        let id = format!("request-{sent}");
        let answer = request(&world, gateway, &id);
        sent += 1;
        served += u32::from(answer.as_ref().is_ok_and(|res| {
            res.status() == 200 && res.header("X-Flamingocroft-Response-Seal").is_some()
        }));
        let text = describe(&answer);
        if text != last {
            record.note(&format!("client: {id} at {}: {text}", world.front(gateway)));
            last = text;
        }
        sleep(Duration::from_millis(200));
    }
    record.note(&format!(
        "clients sent {sent} requests, {served} were served; the first configuration is acknowledged: {is_acked}"
    ));
    match served {
        0 => Ok(Some(format!(
            "no request is served within 60 s from the start of traffic, of {sent} that were sent"
        ))),
        _ => Ok(None),
    }
}

fn request(world: &World, gateway: usize, id: &str) -> io::Result<Message> {
    let headers = [
        ("Host", "depot.example".to_owned()),
        ("X-Flamingocroft-Request-Id", id.to_owned()),
        ("X-Flamingocroft-Deadline-Ms", "3000".to_owned()),
    ];
    let timeout = Duration::from_secs(3);
    http::call(
        world.front(gateway),
        "POST",
        "/release/1",
        &headers,
        b"{}",
        timeout,
    )
}
