//! Discovery of controllers from the seed addresses of a few of them. All controllers then use the same
//! ports, and each is named by its host; the others are discovered from those that respond.

use std::net::{IpAddr, SocketAddr};

use super::{ControllerEntry, Role, Settings};

/// Returns the entry of a controller of which only the host is known. Its zone is left empty.
pub(crate) fn entry_for_host(host: IpAddr, peer_port: u16, http_port: u16) -> ControllerEntry {
    ControllerEntry {
        name: host.to_string().into(),
        zone: "".into(),
        peer_address: SocketAddr::new(host, peer_port),
        http_address: SocketAddr::new(host, http_port),
    }
}

/// Fills the list of controllers from the seeds, if only seeds are set. Adds this process if it is a
/// controller.
pub(super) fn fill_controllers(settings: &mut Settings) {
    if settings.seeds.is_empty() || !settings.controllers.is_empty() {
        return;
    }
    let peer_port = settings.peer_address.port();
    let mut hosts: Vec<(IpAddr, u16)> = settings
        .seeds
        .iter()
        .map(|seed| (seed.ip(), seed.port()))
        .collect();
    let own = settings.peer_address.ip();
    let port = hosts[0].1;
    if settings.role == Role::Controller && !hosts.iter().any(|(host, _)| *host == own) {
        hosts.push((own, port));
    }
    hosts.sort_unstable();
    hosts.dedup();
    settings.controllers = hosts
        .into_iter()
        .map(|(host, port)| entry_for_host(host, peer_port, port))
        .collect();
}
