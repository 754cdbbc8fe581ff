//! The composition of an installation on loopback, and the settings of its daemons.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
};

use anyhow::Context;
use flamingocroft::{
    domain::ZoneName,
    settings::{ControllerEntry, Limits, Machine, Role, Settings, Timing},
};
use sha2::{Digest, Sha256};
use standin::{cloud::CloudParams, engine::EngineParams};

/// The operators' token of every installation made here.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-example";
/// The token of the paying account.
pub const PAYING_TOKEN: &str = "paying-token-of-the-example";
/// The token of the free account.
pub const FREE_TOKEN: &str = "free-token-of-the-example";
/// The model that the engines serve.
pub const MODEL: &str = "assistant";
/// The zones of every installation made here.
pub const ZONES: [&str; 3] = ["tozeur", "kebili", "tataouine"];

const PEER_KEY: &[u8] = b"the peer key of an installation on loopback";
/// The machine class of all instances.
pub const CLASS: &str = "standard";
const FIRST_HTTP_PORT: u16 = 8000;
const FIRST_PEER_PORT: u16 = 9000;

/// The number of processes of each kind in an installation, and their parameters.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of controllers.
    pub controllers: u8,
    /// Number of gateways.
    pub gateways: u8,
    /// Number of engines, spread over the zones.
    pub engines: u8,
    /// Number of plain servers, spread over the zones.
    pub services: u8,
    /// Parameters of the engines.
    pub engine: EngineParams,
    /// Parameters of the cloud.
    pub cloud: CloudParams,
    /// The daemons' timing.
    pub timing: Timing,
    /// What the machine gives to each daemon.
    pub machine: Option<Machine>,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            controllers: 3,
            gateways: 2,
            engines: 3,
            services: 1,
            engine: EngineParams {
                models: vec![MODEL.to_owned()],
                ..EngineParams::default()
            },
            cloud: CloudParams::default(),
            timing: Timing::default(),
            machine: None,
        }
    }
}

/// The settings of all daemons of an installation.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Settings of the controllers.
    pub controllers: Vec<Settings>,
    /// Settings of the gateways.
    pub gateways: Vec<Settings>,
}

/// Returns a loopback address that no other installation on this machine is using.
pub fn next_host() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = u8::try_from(host).expect("one process starts fewer than 256 installations");
    Ipv4Addr::new(127, high.max(1), low, host).into()
}

/// Returns the settings of all daemons. Writes the peer key to `folder`, where the data folders are
/// as well.
pub fn plan_daemon_settings(
    shape: &Shape,
    folder: &Path,
    cloud: SocketAddr,
) -> anyhow::Result<DaemonSettings> {
    let host = next_host();
    let key_file = folder.join("peer.key");
    std::fs::write(&key_file, PEER_KEY).context("writing the peer key")?;
    let entries: Vec<ControllerEntry> = (0..shape.controllers)
        .map(|i| ControllerEntry {
            name: format!("controller-{i}").into(),
            zone: zone(i),
            peer_address: SocketAddr::new(host, FIRST_PEER_PORT + u16::from(i)),
            http_address: SocketAddr::new(host, FIRST_HTTP_PORT + u16::from(i)),
        })
        .collect();
    let base = Settings {
        name: "".into(),
        role: Role::Controller,
        zone: zone(0),
        http_address: SocketAddr::new(host, 0),
        peer_address: SocketAddr::new(host, 0),
        advertised_address: None,
        peer_key_file: key_file,
        controllers: entries.clone(),
        seeds: Vec::new(),
        bootstrap: true,
        tolerated_losses: 1,
        ingress: None,
        data_folder: None,
        operator_token_sha256: Some(hash(OPERATOR_TOKEN)),
        cloud_address: Some(cloud),
        machine: shape.machine.clone(),
        limits: Limits::default(),
        timing: shape.timing.clone(),
    };
    let controllers = entries
        .iter()
        .map(|entry| Settings {
            name: Arc::clone(&entry.name),
            zone: entry.zone.clone(),
            http_address: entry.http_address,
            peer_address: entry.peer_address,
            data_folder: Some(folder.join(&*entry.name)),
            ..base.clone()
        })
        .collect();
    let gateways = (0..shape.gateways)
        .map(|i| Settings {
            name: format!("gateway-{i}").into(),
            role: Role::Gateway,
            zone: zone(i),
            http_address: SocketAddr::new(host, FIRST_HTTP_PORT + 100 + u16::from(i)),
            peer_address: SocketAddr::new(host, FIRST_PEER_PORT + 100 + u16::from(i)),
            ..base.clone()
        })
        .collect();
    Ok(DaemonSettings {
        controllers,
        gateways,
    })
}

/// Returns the SHA-256 of a token, in hexadecimal.
pub fn hash(token: &str) -> String {
    Sha256::digest(token)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Returns the zone of the `i`-th process or instance; zones are assigned round robin.
pub fn zone(i: u8) -> ZoneName {
    ZONES[usize::from(i) % ZONES.len()].into()
}
