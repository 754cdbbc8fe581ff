//! Reads the settings file of a process, JSON with comments, into validated structs.
//! docs/SETTINGS.md explains each field.

mod ingress;
pub mod intent;
mod problem;
mod read;
mod reload;
mod schema;
pub(crate) mod seeds;
mod validate;

pub use ingress::{Ingress, RolloutLimits};
pub use problem::{FileError, Problem, read_json_file};
pub use reload::{Reloader, SettingsWatch};

use std::{fmt, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{domain::ZoneName, wire::ControllerRecord};

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the installation.
    pub name: Arc<str>,
    /// The role of the process.
    pub role: Role,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// Where HTTP is served: to callers by a gateway, to operators by a controller. Port zero selects
    /// any free port.
    pub http_address: SocketAddr,
    /// Where other processes of the system connect.
    pub peer_address: SocketAddr,
    /// The address given to callers or operators, if it differs from `http_address`.
    #[serde(default)]
    pub advertised_address: Option<SocketAddr>,
    /// File with the key that all processes share.
    pub peer_key_file: PathBuf,
    /// All controllers, including this one; may be empty if there are seeds.
    #[serde(default)]
    pub controllers: Vec<ControllerEntry>,
    /// Addresses of some controllers. Each controller is then named by its host, and all use the
    /// same ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a controller with an empty data folder may bootstrap a new cluster; otherwise it only
    /// joins an existing one.
    #[serde(default = "may_bootstrap")]
    pub bootstrap: bool,
    /// Controllers that may fail at once, if controllers are found through seeds. The log then has
    /// twice as many voters plus one.
    #[serde(default = "tolerated_losses")]
    pub tolerated_losses: usize,
    /// Settings for published routes, if this process serves or publishes them.
    #[serde(default)]
    pub ingress: Option<Ingress>,
    /// Folder for durable state; needed by a controller.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// SHA-256 of the operators' bearer token, in hexadecimal; needed by a controller.
    #[serde(default)]
    pub operator_token_sha256: Option<String>,
    /// Address of the cloud API, if there is one.
    #[serde(default)]
    pub cloud_address: Option<SocketAddr>,
    /// What the machine gives to the process, if it is known.
    #[serde(default)]
    pub machine: Option<Machine>,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
}

fn tolerated_losses() -> usize {
    1
}

fn may_bootstrap() -> bool {
    true
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Replicates the log and serves operators.
    Controller,
    /// Serves callers.
    Gateway,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Controller => "controller",
            Self::Gateway => "gateway",
        })
    }
}

/// A controller, as listed in the settings of all processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other processes connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub http_address: SocketAddr,
}

impl ControllerEntry {
    /// Returns the entry in the form that is sent to other processes.
    pub fn to_record(&self) -> ControllerRecord {
        ControllerRecord {
            name: self.name.to_string(),
            peer_address: self.peer_address.to_string(),
            http_address: self.http_address.to_string(),
        }
    }
}

/// What the machine gives to the process. Parts that are unknown are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// Memory, in mebibytes; a process that uses more is ended.
    pub memory_mb: Option<u64>,
    /// Processor time, in cores.
    pub cores: Option<f64>,
    /// File descriptors that may be open at once.
    pub descriptors: Option<u64>,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: Option<f64>,
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest prompt, in bytes.
    pub prompt_bytes: u64,
    /// Most tokens that a request may ask for.
    pub max_tokens: u32,
    /// Most requests in progress at one gateway.
    pub requests: u32,
    /// Largest response of a call with an idempotency claim that is recorded, in bytes.
    pub outcome_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            prompt_bytes: 512 * 1024,
            max_tokens: 8192,
            requests: 4096,
            outcome_bytes: 64 * 1024,
        }
    }
}

/// Intervals and timeouts, in milliseconds in the file.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of a leader's heartbeats to its followers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "replica_heartbeat_ms")]
    pub replica_heartbeat: Duration,
    /// Shortest time without a heartbeat after which a follower starts an election; the longest is
    /// twice that.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "election_timeout_ms")]
    pub election_timeout: Duration,
    /// Interval of a gateway's heartbeats to the leader.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "gateway_heartbeat_ms")]
    pub gateway_heartbeat: Duration,
    /// Length of a gateway's view lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "view_lease_ms")]
    pub view_lease: Duration,
    /// Interval at which the instance list and the reclaim notices are polled.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cloud_poll_ms")]
    pub cloud_poll: Duration,
    /// Interval at which the load of an upstream is polled.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_poll_ms")]
    pub load_poll: Duration,
    /// Longest time to connect to an upstream.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Silence of an upstream before its first token or its response after which another one is tried.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_byte_timeout_ms")]
    pub first_byte_timeout: Duration,
    /// Silence of an upstream between two tokens after which another one is tried.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "token_timeout_ms")]
    pub token_timeout: Duration,
    /// Longest time for a caller to send the head or the body of a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "caller_timeout_ms")]
    pub caller_timeout: Duration,
    /// Longest time of a whole request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "request_timeout_ms")]
    pub request_timeout: Duration,
    /// How long callers may cache the response of `/v1/addresses`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "address_ttl_ms")]
    pub address_ttl: Duration,
    /// Longest time that a graceful shutdown waits for requests in progress to finish.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shutdown_ms")]
    pub shutdown: Duration,
    /// How long the record of a claimed call is kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "claim_retention_ms")]
    pub claim_retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            replica_heartbeat: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            gateway_heartbeat: Duration::from_millis(400),
            view_lease: Duration::from_millis(2000),
            cloud_poll: Duration::from_millis(500),
            load_poll: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(300),
            first_byte_timeout: Duration::from_millis(5000),
            token_timeout: Duration::from_millis(2000),
            caller_timeout: Duration::from_secs(10),
            request_timeout: Duration::from_secs(120),
            address_ttl: Duration::from_secs(5),
            shutdown: Duration::from_secs(30),
            claim_retention: Duration::from_secs(24 * 3600),
        }
    }
}
