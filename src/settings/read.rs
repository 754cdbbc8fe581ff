//! Reads and validates the settings file of a daemon.

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
    validate::check_object,
};
use crate::link::PeerKey;

impl Settings {
    /// Reads and validates a settings file, and checks the files and folders that it names.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed, or with all problems of its fields.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        let value = read_json_file(file)?;
        parse(value, check_files).map_err(|problems| invalid(file, problems))
    }

    /// Reads and validates a settings file without checking the files and folders that it names, for
    /// example on another machine than the one it is for.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed, or with all problems of its fields.
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
    check_further: impl Fn(&Settings, &mut Problems),
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
    check_further(&settings, &mut problems);
    problems.into_result(settings)
}

fn check_roles(settings: &Settings, problems: &mut Problems) {
    if !problems.is_valid("role") {
        return;
    }
    check_name(settings, problems);
    if settings.role == Role::Gateway {
        return;
    }
    if settings.data_folder.is_none() && problems.is_valid("data_folder") {
        let remedy = "name the folder for durable state; a controller needs one";
        problems.add("data_folder", "missing", remedy);
    }
    if settings.operator_token_sha256.is_none() && problems.is_valid("operator_token_sha256") {
        let remedy = "put the hash here that `flamingocroft token` prints; a controller needs it";
        problems.add("operator_token_sha256", "missing", remedy);
    }
}

fn check_name(settings: &Settings, problems: &mut Problems) {
    if !problems.is_valid("name") || !is_valid_in_all_controllers(settings, "name", problems) {
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

/// Returns whether there are controllers and a field is valid in all their entries.
fn is_valid_in_all_controllers(settings: &Settings, field: &str, problems: &Problems) -> bool {
    if settings.controllers.is_empty() {
        return false;
    }
    (0..settings.controllers.len()).all(|i| problems.is_valid(&format!("controllers[{i}].{field}")))
}

/// Checks that a controller's own zone and addresses agree with its entry in `controllers`, which is
/// what the other processes use.
fn check_own_entry(settings: &Settings, own: &ControllerEntry, problems: &mut Problems) {
    if own.zone != settings.zone && problems.is_valid("zone") {
        let remedy = format!("write {}, as the entry in controllers says", own.zone);
        problems.add("zone", &settings.zone, remedy);
    }
    let http = settings.advertised_address.unwrap_or(settings.http_address);
    let addresses = [
        ("peer_address", settings.peer_address, own.peer_address),
        ("http_address", http, own.http_address),
    ];
    for (field, own_address, listed) in addresses {
        if !accepts_connections_to(own_address, listed) && problems.is_valid(field) {
            let remedy = format!("write {listed}, as the entry in controllers says");
            problems.add(field, own_address, remedy);
        }
    }
}

/// Returns whether a listener on `own_address` accepts connections to `listed`.
fn accepts_connections_to(own_address: SocketAddr, listed: SocketAddr) -> bool {
    let same_host = own_address.ip().is_unspecified() || own_address.ip() == listed.ip();
    same_host && own_address.port() == listed.port()
}

fn check_controllers(settings: &Settings, problems: &mut Problems) {
    let mut names = HashSet::new();
    for (i, entry) in settings.controllers.iter().enumerate() {
        let field = format!("controllers[{i}].name");
        if problems.is_valid(&field) && !names.insert(&entry.name) {
            problems.add(field, &entry.name, "give each its own name");
        }
    }
    check_zone_majority(settings, problems);
}

/// Checks that the loss of one zone leaves a majority of the controllers.
fn check_zone_majority(settings: &Settings, problems: &mut Problems) {
    const MIN_CONTROLLERS_TO_SPREAD: usize = 3;
    let count = settings.controllers.len();
    let zones_known = settings.seeds.is_empty();
    if count < MIN_CONTROLLERS_TO_SPREAD
        || !zones_known
        || !is_valid_in_all_controllers(settings, "zone", problems)
    {
        return;
    }
    let mut by_zone = HashMap::new();
    for entry in &settings.controllers {
        *by_zone.entry(&entry.zone).or_insert(0) += 1;
    }
    let Some((zone, count_in_zone)) = by_zone
        .into_iter()
        .find(|(_, count_in_zone)| count_in_zone * 2 > count)
    else {
        return;
    };
    let value = format!("{count_in_zone} of {count} in zone {zone}");
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
        if !has_port && problems.is_valid(&field) {
            problems.add(field, "port 0", "write the ports that others connect to");
        }
    }
}

/// Checks that no two listeners share an address. Port zero is skipped: it means any free port, or is
/// the placeholder of an invalid field.
fn check_unique_addresses(settings: &Settings, problems: &mut Problems) {
    let mut listeners = Vec::new();
    for (i, entry) in settings.controllers.iter().enumerate() {
        listeners.push((format!("controllers[{i}].peer_address"), entry.peer_address));
        listeners.push((format!("controllers[{i}].http_address"), entry.http_address));
    }
    // A controller's own addresses are already in the list.
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

/// Requires a duration to be longer than `factor` times another one.
struct LongerThanRule {
    field: &'static str,
    value: Duration,
    factor: u32,
    other_field: &'static str,
    other: Duration,
}

fn check_timing(settings: &Settings, problems: &mut Problems) {
    for rule in timing_rules(&settings.timing) {
        let bound = rule.other * rule.factor;
        let is_valid = problems.are_valid(&[
            &format!("timing.{}", rule.field),
            &format!("timing.{}", rule.other_field),
        ]);
        if rule.value > bound || !is_valid {
            continue;
        }
        let times = match rule.factor {
            1 => String::new(),
            n => format!("{n} times "),
        };
        let bound = bound.as_millis();
        let remedy = format!("make it longer than {times}{}, {bound}", rule.other_field);
        let field = format!("timing.{}", rule.field);
        problems.add(field, rule.value.as_millis(), remedy);
    }
}

fn timing_rules(timing: &Timing) -> [LongerThanRule; 5] {
    [
        LongerThanRule {
            field: "view_lease_ms",
            value: timing.view_lease,
            factor: 2,
            other_field: "gateway_heartbeat_ms",
            other: timing.gateway_heartbeat,
        },
        LongerThanRule {
            field: "election_timeout_ms",
            value: timing.election_timeout,
            factor: 4,
            other_field: "replica_heartbeat_ms",
            other: timing.replica_heartbeat,
        },
        LongerThanRule {
            field: "claim_retention_ms",
            value: timing.claim_retention,
            factor: 1,
            other_field: "request_timeout_ms",
            other: timing.request_timeout,
        },
        LongerThanRule {
            field: "request_timeout_ms",
            value: timing.request_timeout,
            factor: 1,
            other_field: "first_byte_timeout_ms",
            other: timing.first_byte_timeout,
        },
        LongerThanRule {
            field: "first_byte_timeout_ms",
            value: timing.first_byte_timeout,
            factor: 1,
            other_field: "connect_timeout_ms",
            other: timing.connect_timeout,
        },
    ]
}

fn check_limits(settings: &Settings, problems: &mut Problems) {
    let limits = &settings.limits;
    let fields = ["limits.prompt_bytes", "limits.body_bytes"];
    if limits.prompt_bytes > limits.body_bytes && problems.are_valid(&fields) {
        let remedy = format!("make it at most body_bytes, {}", limits.body_bytes);
        problems.add("limits.prompt_bytes", limits.prompt_bytes, remedy);
    }
}

fn check_files(settings: &Settings, problems: &mut Problems) {
    if problems.is_valid("peer_key_file")
        && let Err(e) = PeerKey::read(&settings.peer_key_file)
    {
        let value = settings.peer_key_file.display();
        let remedy = format!("name a readable file with the shared key ({e})");
        problems.add("peer_key_file", value, remedy);
    }
    let Some(folder) = &settings.data_folder else {
        return;
    };
    if !is_folder_or_creatable(folder) {
        let remedy = "name a folder, or a path whose last existing part is one";
        problems.add("data_folder", folder.display(), remedy);
    }
}

/// Returns whether a path is a folder or can become one, because its nearest existing ancestor is a
/// folder. The store creates the folder itself.
fn is_folder_or_creatable(path: &Path) -> bool {
    let existing = path.ancestors().find(|ancestor| ancestor.exists());
    existing.is_none_or(Path::is_dir)
}
