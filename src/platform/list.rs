//! The pages of the platform's list of servers.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{
    adapters::http::read_json_items,
    ports::{CloudError, ListedPage, ListedUpstream},
};

/// An entry of the list. All fields without a default are required: an entry that lacks one was written by
/// something else and describes no server.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    /// The version of the server's software.
    version: String,
    slots: u32,
    state: ServerState,
    cold_left_ms: f64,
    /// Whether the server is reclaimable; the field is only present if it is.
    #[serde(default)]
    spot: bool,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    Ready,
    Draining,
}

/// Reads a page of the list, entry by entry: an entry that can't be read names no server and hides no other one.
///
/// # Errors
///
/// Returns [`CloudError::Unreadable`] if the page has no list of entries.
pub fn read_page(page: &[u8]) -> Result<ListedPage, CloudError> {
    let read = read_json_items::<Entry>(page, Some("Instances"), "Id")
        .map_err(|fault| CloudError::Unreadable(format!("the page has no list: {fault}")))?;
    let next = read.members.iter().find(|(name, _)| name == "Next");
    // The last page may lack the token, or have none.
    let next = next.map_or(Ok(None), |(_, token)| serde_json::from_slice(token));
    let (next, unreadable) = match next {
        Ok(next) => (next, None),
        Err(e) => (None, Some(format!("the token of the next page: {e}"))),
    };
    Ok(ListedPage {
        upstreams: read.items.into_iter().map(to_upstream).collect(),
        next: next.filter(|_| read.cut.is_none()),
        rejected: read.rejected,
        cut: read.cut.or(unreadable),
    })
}

fn to_upstream(entry: Entry) -> ListedUpstream {
    ListedUpstream {
        instance: entry.id.into(),
        service: entry.service.into(),
        address: entry.address,
        zone: entry.zone.into(),
        software: entry.version.into(),
        slots: entry.slots,
        leaving: entry.state == ServerState::Draining,
        reclaimable: entry.spot,
        cold_left_ms: entry.cold_left_ms as u32,
    }
}
