//! Reads and checks the settings file of a daemon.

use std::{
    collections::{HashMap, HashSet},
    fs,
    net::SocketAddr,
    path::Path,
    time::Duration,
};

use serde_json::Value;

use super::{
    FileError, Problem, Role, Settings,
    problem::read_value,
    shape::{Field, Shape, check_object, optional, required},
};
use crate::link::PeerKey;

const DAY_MS: u64 = 24 * 3600 * 1000;
const MIB: u64 = 1024 * 1024;

const DURATION: Shape = Shape::Integer {
    min: 1,
    max: 7 * DAY_MS,
};

const CONTROLLER: &[Field] = &[
    required("name", Shape::Text),
    required("zone", Shape::Text),
    required("peer_address", Shape::Address),
    required("http_address", Shape::Address),
];

const LIMITS: &[Field] = &[
    optional(
        "body_bytes",
        Shape::Integer {
            min: 1024,
            max: 64 * MIB,
        },
    ),
    optional(
        "prompt_bytes",
        Shape::Integer {
            min: 256,
            max: 64 * MIB,
        },
    ),
    optional(
        "max_tokens",
        Shape::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional(
        "requests",
        Shape::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional("outcome_bytes", Shape::Integer { min: 1, max: MIB }),
];

const TIMING: &[Field] = &[
    optional("replica_heartbeat_ms", DURATION),
    optional("election_timeout_ms", DURATION),
    optional("gateway_heartbeat_ms", DURATION),
    optional("view_lease_ms", DURATION),
    optional("cloud_poll_ms", DURATION),
    optional("load_poll_ms", DURATION),
    optional("connect_timeout_ms", DURATION),
    optional("first_byte_timeout_ms", DURATION),
    optional("token_timeout_ms", DURATION),
    optional("caller_timeout_ms", DURATION),
    optional("request_timeout_ms", DURATION),
    optional("address_ttl_ms", DURATION),
    optional("shutdown_ms", DURATION),
    optional("claim_retention_ms", DURATION),
];

const SETTINGS: &[Field] = &[
    required("name", Shape::Text),
    required("role", Shape::OneOf(&["controller", "gateway"])),
    required("zone", Shape::Text),
    required("http_address", Shape::Address),
    required("peer_address", Shape::Address),
    optional("advertised_address", Shape::Address),
    required("peer_key_file", Shape::Text),
    required(
        "controllers",
        Shape::List {
            of: &Shape::Object(CONTROLLER),
            min: 1,
        },
    ),
    optional("data_folder", Shape::Text),
    optional("operator_token_sha256", Shape::Sha256),
    optional("cloud_address", Shape::Address),
    optional("limits", Shape::Object(LIMITS)),
    optional("timing", Shape::Object(TIMING)),
];

impl Settings {
    /// Reads and checks a settings file, and the files and folders that it names.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        let (settings, mut problems) = Self::parse(read_value(file)?);
        if let Some(settings) = &settings {
            check_files(settings, &mut problems);
        }
        finish(file, settings, problems)
    }

    /// Reads and checks a settings file alone, for example on another machine than the one it is
    /// for.
    pub fn read_without_files(file: &Path) -> Result<Self, FileError> {
        let (settings, problems) = Self::parse(read_value(file)?);
        finish(file, settings, problems)
    }

    fn parse(mut value: Value) -> (Option<Self>, Vec<Problem>) {
        let mut problems = Vec::new();
        if !check_object(SETTINGS, "", &mut value, &mut problems) {
            return (None, problems);
        }
        match serde_json::from_value::<Self>(value) {
            Ok(settings) => {
                check_roles(&settings, &mut problems);
                check_controllers(&settings, &mut problems);
                check_addresses(&settings, &mut problems);
                check_timing(&settings, &mut problems);
                check_limits(&settings, &mut problems);
                (Some(settings), problems)
            }
            Err(e) => {
                problems.push(Problem::new(
                    "the file",
                    e,
                    "correct the field that it names",
                ));
                (None, problems)
            }
        }
    }
}

fn finish(
    file: &Path,
    settings: Option<Settings>,
    problems: Vec<Problem>,
) -> Result<Settings, FileError> {
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(FileError::Invalid {
            file: file.to_owned(),
            problems,
        }),
    }
}

fn check_roles(settings: &Settings, problems: &mut Vec<Problem>) {
    let own = settings
        .controllers
        .iter()
        .find(|entry| entry.name == settings.name);
    match (settings.role, own) {
        (Role::Controller, None) => {
            let remedy = "add an entry of this name to controllers";
            problems.push(Problem::new("name", &settings.name, remedy));
        }
        (Role::Controller, Some(own)) if own.zone != settings.zone => {
            let remedy = format!("write {}, as the entry in controllers says", own.zone);
            problems.push(Problem::new("zone", &settings.zone, remedy));
        }
        (Role::Gateway, Some(_)) => {
            let remedy = "choose a name that no controller has";
            problems.push(Problem::new("name", &settings.name, remedy));
        }
        _ => {}
    }
    if settings.role == Role::Gateway {
        return;
    }
    if settings.data_folder.is_none() {
        let remedy = "name the folder for durable state; a controller needs one";
        problems.push(Problem::new("data_folder", "missing", remedy));
    }
    if settings.operator_token_sha256.is_none() {
        let remedy = "put the hash here that `flamingocroft token` prints; a controller needs it";
        problems.push(Problem::new("operator_token_sha256", "missing", remedy));
    }
}

fn check_controllers(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut names = HashSet::new();
    for (i, entry) in settings.controllers.iter().enumerate() {
        if !names.insert(&entry.name) {
            let field = format!("controllers[{i}].name");
            problems.push(Problem::new(field, &entry.name, "give each its own name"));
        }
    }
    check_zone_majority(settings, problems);
}

/// The loss of one zone must leave a majority of the controllers.
fn check_zone_majority(settings: &Settings, problems: &mut Vec<Problem>) {
    const SPREAD_FROM: usize = 3;
    let count = settings.controllers.len();
    if count < SPREAD_FROM {
        return;
    }
    let mut by_zone = HashMap::new();
    for entry in &settings.controllers {
        *by_zone.entry(&entry.zone).or_insert(0) += 1;
    }
    let Some((zone, held)) = by_zone.into_iter().find(|(_, held)| held * 2 > count) else {
        return;
    };
    let value = format!("{held} of {count} in zone {zone}");
    let remedy = "spread them, so that the loss of a zone leaves a majority";
    problems.push(Problem::new("controllers", value, remedy));
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut seen = HashMap::new();
    let mut check = |field: String, address: SocketAddr| {
        if address.port() == 0 {
            return;
        }
        if let Some(other) = seen.insert(address, field.clone()) {
            let remedy = format!("choose another address than {other} has");
            problems.push(Problem::new(field, address, remedy));
        }
    };
    for (i, entry) in settings.controllers.iter().enumerate() {
        check(format!("controllers[{i}].peer_address"), entry.peer_address);
        check(format!("controllers[{i}].http_address"), entry.http_address);
    }
    // A controller's own addresses stand in the list already.
    if settings.role == Role::Gateway || settings.http_address == settings.peer_address {
        check("http_address".to_owned(), settings.http_address);
        check("peer_address".to_owned(), settings.peer_address);
    }
    if let Some(address) = settings.advertised_address
        && (address.port() == 0 || address.ip().is_unspecified())
    {
        let remedy = "write an address that others can connect to";
        problems.push(Problem::new("advertised_address", address, remedy));
    }
    for (i, entry) in settings.controllers.iter().enumerate() {
        if entry.peer_address.port() == 0 || entry.http_address.port() == 0 {
            let field = format!("controllers[{i}]");
            let remedy = "write the ports that others connect to";
            problems.push(Problem::new(field, "port 0", remedy));
        }
    }
}

fn check_timing(settings: &Settings, problems: &mut Vec<Problem>) {
    let timing = &settings.timing;
    let mut longer = |field: &str, value: Duration, factor: u32, than: &str, least: Duration| {
        if value > least * factor {
            return;
        }
        let least = (least * factor).as_millis();
        let remedy = match factor {
            1 => format!("make it longer than {than}, {least}"),
            n => format!("make it longer than {n} times {than}, {least}"),
        };
        let field = format!("timing.{field}");
        problems.push(Problem::new(field, value.as_millis(), remedy));
    };
    longer(
        "view_lease_ms",
        timing.view_lease,
        2,
        "gateway_heartbeat_ms",
        timing.gateway_heartbeat,
    );
    longer(
        "election_timeout_ms",
        timing.election_timeout,
        4,
        "replica_heartbeat_ms",
        timing.replica_heartbeat,
    );
    longer(
        "claim_retention_ms",
        timing.claim_retention,
        1,
        "request_timeout_ms",
        timing.request_timeout,
    );
    longer(
        "request_timeout_ms",
        timing.request_timeout,
        1,
        "first_byte_timeout_ms",
        timing.first_byte_timeout,
    );
    longer(
        "first_byte_timeout_ms",
        timing.first_byte_timeout,
        1,
        "connect_timeout_ms",
        timing.connect_timeout,
    );
}

fn check_limits(settings: &Settings, problems: &mut Vec<Problem>) {
    let limits = &settings.limits;
    if limits.prompt_bytes > limits.body_bytes {
        let remedy = format!("make it at most body_bytes, {}", limits.body_bytes);
        problems.push(Problem::new(
            "limits.prompt_bytes",
            limits.prompt_bytes,
            remedy,
        ));
    }
}

fn check_files(settings: &Settings, problems: &mut Vec<Problem>) {
    if let Err(e) = PeerKey::read(&settings.peer_key_file) {
        let value = settings.peer_key_file.display();
        let remedy = format!("name a readable file with the shared key ({e})");
        problems.push(Problem::new("peer_key_file", value, remedy));
    }
    let Some(folder) = &settings.data_folder else {
        return;
    };
    if fs::create_dir_all(folder).is_err() {
        let remedy = "name a folder that this process may make and write";
        problems.push(Problem::new("data_folder", folder.display(), remedy));
    }
}
