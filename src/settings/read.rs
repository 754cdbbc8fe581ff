//! Reads and checks the settings file of a daemon.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    net::SocketAddr,
    path::Path,
    time::Duration,
};

use serde_json::Value;

use super::{
    ControllerEntry, FileError, Problem, Role, Settings, Timing,
    problem::{Problems, read_json_file},
    schema::SETTINGS,
    seeds,
    shape::check_object,
};
use crate::link::PeerKey;

impl Settings {
    /// Reads and checks a settings file, and the files and folders that it names.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        let value = read_json_file(file)?;
        parse(value, check_files).map_err(|problems| invalid(file, problems))
    }

    /// Reads and checks a settings file alone, for example on another machine than the one it is
    /// for.
    pub fn read_without_file_checks(file: &Path) -> Result<Self, FileError> {
        let value = read_json_file(file)?;
        parse(value, |_, _| {}).map_err(|problems| invalid(file, problems))
    }
}

fn invalid(file: &Path, problems: Vec<Problem>) -> FileError {
    FileError::Invalid {
        file: file.to_owned(),
        problems,
    }
}

fn parse(
    mut value: Value,
    check_more: impl Fn(&Settings, &mut Problems),
) -> Result<Settings, Vec<Problem>> {
    let mut problems = Problems::default();
    check_object(SETTINGS, "", &mut value, &mut problems);
    let mut settings: Settings = problems.deserialize(value)?;
    if settings.controllers.is_empty() && settings.seeds.is_empty() {
        let remedy = "list the controllers, or some of their addresses in seeds";
        problems.add("controllers", "missing", remedy);
    }
    seeds::fill_controllers(&mut settings);
    check_roles(&settings, &mut problems);
    check_controllers(&settings, &mut problems);
    check_addresses(&settings, &mut problems);
    check_timing(&settings, &mut problems);
    check_limits(&settings, &mut problems);
    check_more(&settings, &mut problems);
    problems.finish(settings)
}

fn check_roles(settings: &Settings, problems: &mut Problems) {
    if !problems.is_intact("role") {
        return;
    }
    check_name(settings, problems);
    if settings.role == Role::Gateway {
        return;
    }
    if settings.data_folder.is_none() && problems.is_intact("data_folder") {
        let remedy = "name the folder for durable state; a controller needs one";
        problems.add("data_folder", "missing", remedy);
    }
    if settings.operator_token_sha256.is_none() && problems.is_intact("operator_token_sha256") {
        let remedy = "put the hash here that `flamingocroft token` prints; a controller needs it";
        problems.add("operator_token_sha256", "missing", remedy);
    }
}

fn check_name(settings: &Settings, problems: &mut Problems) {
    if !problems.is_intact("name") || !are_entries_intact(settings, "name", problems) {
        return;
    }
    let own = settings
        .controllers
        .iter()
        .find(|entry| entry.name == settings.name);
    match (settings.role, own) {
        (Role::Controller, None) => {
            let remedy = "add an entry of this name to controllers";
            problems.add("name", &settings.name, remedy);
        }
        (Role::Controller, Some(_)) if !settings.seeds.is_empty() => {}
        (Role::Controller, Some(own)) => check_own_entry(settings, own, problems),
        (Role::Gateway, Some(_)) => {
            let remedy = "choose a name that no controller has";
            problems.add("name", &settings.name, remedy);
        }
        (Role::Gateway, None) => {}
    }
}

/// Returns whether a field has no problem in any entry of the controllers.
fn are_entries_intact(settings: &Settings, field: &str, problems: &Problems) -> bool {
    if settings.controllers.is_empty() {
        return false;
    }
    (0..settings.controllers.len())
        .all(|i| problems.is_intact(&format!("controllers[{i}].{field}")))
}

/// What a controller says of itself must be what the others are told.
fn check_own_entry(settings: &Settings, own: &ControllerEntry, problems: &mut Problems) {
    if own.zone != settings.zone && problems.is_intact("zone") {
        let remedy = format!("write {}, as the entry in controllers says", own.zone);
        problems.add("zone", &settings.zone, remedy);
    }
    let http = settings.advertised_address.unwrap_or(settings.http_address);
    let addresses = [
        ("peer_address", settings.peer_address, own.peer_address),
        ("http_address", http, own.http_address),
    ];
    for (field, here, told) in addresses {
        if !reaches(here, told) && problems.is_intact(field) {
            let remedy = format!("write {told}, as the entry in controllers says");
            problems.add(field, here, remedy);
        }
    }
}

/// Returns whether a listener at `here` accepts what is sent to `told`.
fn reaches(here: SocketAddr, told: SocketAddr) -> bool {
    let same_host = here.ip().is_unspecified() || here.ip() == told.ip();
    same_host && here.port() == told.port()
}

fn check_controllers(settings: &Settings, problems: &mut Problems) {
    let mut names = HashSet::new();
    for (i, entry) in settings.controllers.iter().enumerate() {
        let field = format!("controllers[{i}].name");
        if problems.is_intact(&field) && !names.insert(&entry.name) {
            problems.add(field, &entry.name, "give each its own name");
        }
    }
    check_zone_majority(settings, problems);
}

/// The loss of one zone must leave a majority of the controllers.
fn check_zone_majority(settings: &Settings, problems: &mut Problems) {
    const SPREAD_FROM: usize = 3;
    let count = settings.controllers.len();
    let zones_known = settings.seeds.is_empty();
    if count < SPREAD_FROM || !zones_known || !are_entries_intact(settings, "zone", problems) {
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
    problems.add("controllers", value, remedy);
}

fn check_addresses(settings: &Settings, problems: &mut Problems) {
    check_unique_addresses(settings, problems);
    if let Some(address) = settings.advertised_address
        && (address.port() == 0 || address.ip().is_unspecified())
    {
        let remedy = "write an address that others can connect to";
        problems.add("advertised_address", address, remedy);
    }
    for (i, entry) in settings.controllers.iter().enumerate() {
        let field = format!("controllers[{i}]");
        let has_port = entry.peer_address.port() != 0 && entry.http_address.port() != 0;
        if !has_port && problems.is_intact(&field) {
            problems.add(field, "port 0", "write the ports that others connect to");
        }
    }
}

/// No two listeners may have one address. Port zero is a free port, or stands for a broken field.
fn check_unique_addresses(settings: &Settings, problems: &mut Problems) {
    let mut listeners = Vec::new();
    for (i, entry) in settings.controllers.iter().enumerate() {
        listeners.push((format!("controllers[{i}].peer_address"), entry.peer_address));
        listeners.push((format!("controllers[{i}].http_address"), entry.http_address));
    }
    // A controller's own addresses stand in the list already.
    if settings.role == Role::Gateway {
        listeners.push(("http_address".to_owned(), settings.http_address));
        listeners.push(("peer_address".to_owned(), settings.peer_address));
    }
    let mut seen = HashMap::new();
    for (field, address) in listeners {
        if address.port() == 0 {
            continue;
        }
        match seen.entry(address) {
            Entry::Vacant(entry) => {
                entry.insert(field);
            }
            Entry::Occupied(entry) => {
                let remedy = format!("choose another address than {} has", entry.get());
                problems.add(field, address, remedy);
            }
        }
    }
}

/// A duration that must be longer than some times another one.
struct LongerThan {
    field: &'static str,
    value: Duration,
    times: u32,
    other_field: &'static str,
    other: Duration,
}

fn check_timing(settings: &Settings, problems: &mut Problems) {
    for rule in timing_rules(&settings.timing) {
        let bound = rule.other * rule.times;
        let is_intact = problems.are_intact(&[
            &format!("timing.{}", rule.field),
            &format!("timing.{}", rule.other_field),
        ]);
        if rule.value > bound || !is_intact {
            continue;
        }
        let times = match rule.times {
            1 => String::new(),
            n => format!("{n} times "),
        };
        let bound = bound.as_millis();
        let remedy = format!("make it longer than {times}{}, {bound}", rule.other_field);
        let field = format!("timing.{}", rule.field);
        problems.add(field, rule.value.as_millis(), remedy);
    }
}

fn timing_rules(timing: &Timing) -> [LongerThan; 5] {
    [
        LongerThan {
            field: "view_lease_ms",
            value: timing.view_lease,
            times: 2,
            other_field: "gateway_heartbeat_ms",
            other: timing.gateway_heartbeat,
        },
        LongerThan {
            field: "election_timeout_ms",
            value: timing.election_timeout,
            times: 4,
            other_field: "replica_heartbeat_ms",
            other: timing.replica_heartbeat,
        },
        LongerThan {
            field: "claim_retention_ms",
            value: timing.claim_retention,
            times: 1,
            other_field: "request_timeout_ms",
            other: timing.request_timeout,
        },
        LongerThan {
            field: "request_timeout_ms",
            value: timing.request_timeout,
            times: 1,
            other_field: "first_byte_timeout_ms",
            other: timing.first_byte_timeout,
        },
        LongerThan {
            field: "first_byte_timeout_ms",
            value: timing.first_byte_timeout,
            times: 1,
            other_field: "connect_timeout_ms",
            other: timing.connect_timeout,
        },
    ]
}

fn check_limits(settings: &Settings, problems: &mut Problems) {
    let limits = &settings.limits;
    let fields = ["limits.prompt_bytes", "limits.body_bytes"];
    if limits.prompt_bytes > limits.body_bytes && problems.are_intact(&fields) {
        let remedy = format!("make it at most body_bytes, {}", limits.body_bytes);
        problems.add("limits.prompt_bytes", limits.prompt_bytes, remedy);
    }
}

fn check_files(settings: &Settings, problems: &mut Problems) {
    if problems.is_intact("peer_key_file")
        && let Err(e) = PeerKey::read(&settings.peer_key_file)
    {
        let value = settings.peer_key_file.display();
        let remedy = format!("name a readable file with the shared key ({e})");
        problems.add("peer_key_file", value, remedy);
    }
    let Some(folder) = &settings.data_folder else {
        return;
    };
    if !can_hold_folder(folder) {
        let remedy = "name a folder, or a path whose last existing part is one";
        problems.add("data_folder", folder.display(), remedy);
    }
}

/// Returns whether a path is a folder or could be made one. The folder itself is made by the store.
fn can_hold_folder(path: &Path) -> bool {
    let existing = path.ancestors().find(|ancestor| ancestor.exists());
    existing.is_none_or(Path::is_dir)
}
