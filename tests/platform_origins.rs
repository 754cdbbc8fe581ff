//! Streams go on only at the software version that began them, whoever resumes them.

mod platform_support;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Answer, Installation, PreparedInstallation, ReceivedRequest, ServerAction, ServerLog,
    call, daemons::Daemons, document, wait_until,
};
use serde_json::{Value, json};

const STREAMS: usize = 24;

fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<String> {
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn header<'a>(seen: &'a ReceivedRequest, name: &str) -> Option<&'a str> {
    seen.headers.get(name).map(|value| value.to_str().unwrap())
}

/// Breaks new streams off after their first event. What a gateway resumes on its own is answered if `gateways_resume`,
/// and what callers take up always is.
fn break_new_streams(
    gateways_resume: bool,
) -> impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static {
    move |_, seen| {
        if !seen.path.starts_with("/resumed") {
            return ServerAction::Respond(StatusCode::OK, b"done".to_vec());
        }
        match (header(seen, "last-event-id"), header(seen, "resumes")) {
            (None, _) => ServerAction::Stream {
                chunks: events(1..=1),
                complete: false,
            },
            (Some(_), None) if !gateways_resume => ServerAction::Reset,
            (Some(_), _) => ServerAction::Stream {
                chunks: events(2..=3),
                complete: true,
            },
        }
    }
}

/// Returns the software version of a server: two versions serve, each on every other server.
fn software(server: usize) -> &'static str {
    ["v1", "v2"][server % 2]
}

/// Lists the servers with their software versions.
fn list_two_versions(listed: &mut [Value]) {
    let servers = listed
        .iter_mut()
        .filter(|entry| entry["Service"] == json!("app"));
    for (server, entry) in servers.enumerate() {
        entry["Version"] = json!(software(server));
    }
}

async fn two_versions(servers: usize, gateways_resume: bool) -> Installation {
    let installation = Installation::start(servers, break_new_streams(gateways_resume)).await;
    list_two_versions(&mut installation.listed.lock().unwrap());
    installation.publish(&document(1)).await;
    installation
}

async fn send(gateway: SocketAddr, id: &str, resumes: Option<&str>) -> Option<Answer> {
    let key = format!("Bearer {API_KEY}");
    let mut headers = vec![
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", id),
        ("x-flamingocroft-deadline-ms", "3000"),
        ("authorization", &*key),
    ];
    if let Some(first) = resumes {
        headers.extend([("last-event-id", "1"), ("resumes", first)]);
    }
    // Each stream has a body of its own: many equal requests that are cut off would be taken for a deadly one.
    let body = resumes.unwrap_or(id);
    call(gateway, Method::POST, "/resumed/x", &headers, body).await
}

/// Returns the software versions that held events of each stream, by the request that began it.
fn versions_by_stream(log: &Arc<ServerLog>) -> HashMap<String, Vec<&'static str>> {
    let mut versions: HashMap<String, Vec<&'static str>> = HashMap::new();
    for seen in log.requests() {
        if let Some(id) = header(&seen, "x-flamingocroft-request-id") {
            let stream = header(&seen, "resumes").unwrap_or(id).to_owned();
            versions
                .entry(stream)
                .or_default()
                .push(software(seen.server));
        }
    }
    versions
}

fn assert_no_stream_is_joined(log: &Arc<ServerLog>) {
    for (stream, versions) in versions_by_stream(log) {
        let first = versions[0];
        assert!(
            versions.iter().all(|version| *version == first),
            "{stream}: {versions:?}"
        );
    }
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_its_own_software_version() {
    let installation = two_versions(4, true).await;
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let answer = send(installation.caller_address, &id, None).await.unwrap();
        assert_eq!(answer.text(), events(1..=3).concat(), "{id}");
    }
    assert_no_stream_is_joined(&installation.log);
}

#[tokio::test]
async fn a_stream_taken_up_at_another_gateway_goes_on_at_its_own_software_version() {
    let installation = two_versions(6, false).await;
    let other = installation.serve_with(2).await[1];
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let broken = send(installation.caller_address, &id, None).await;
        assert!(broken.is_none_or(|answer| answer.body.is_err()), "{id}");
    }
    for number in 0..STREAMS {
        let (first, id) = (format!("s{number}"), format!("t{number}"));
        let rest = send(other, &id, Some(&first)).await.unwrap();
        assert_eq!(rest.status, StatusCode::OK, "{id}: {rest:?}");
        assert_eq!(rest.text(), events(2..=3).concat(), "{id}");
    }
    assert_no_stream_is_joined(&installation.log);
}

#[tokio::test]
async fn a_stream_goes_on_at_its_own_software_version_after_all_gateways_were_killed() {
    let prepared = PreparedInstallation::prepare(3, 6, break_new_streams(false)).await;
    let mut daemons = Daemons::start(prepared);
    list_two_versions(&mut daemons.installation.listed.lock().unwrap());
    daemons.publish(&document(1)).await;
    daemons.installation.wait_until_served(&document(1)).await;
    let gateway = daemons.installation.caller_address;
    for number in 0..STREAMS {
        send(gateway, &format!("s{number}"), None).await;
    }
    // The records of the last streams reach the controllers.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    daemons.gateway.restart();
    wait_until("the gateway serves again", || async {
        let key = format!("Bearer {API_KEY}");
        let headers = [("host", "depot.example"), ("authorization", &*key)];
        let answer = call(gateway, Method::GET, "/safe/x", &headers, "").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    for number in 0..STREAMS {
        let (first, id) = (format!("s{number}"), format!("t{number}"));
        let rest = send(gateway, &id, Some(&first)).await.unwrap();
        assert_eq!(rest.status, StatusCode::OK, "{id}: {rest:?}");
    }
    assert_no_stream_is_joined(&daemons.installation.log);
}

#[tokio::test]
async fn a_stream_goes_on_at_its_own_software_version_after_all_controllers_were_killed() {
    let prepared = PreparedInstallation::prepare(3, 6, break_new_streams(false)).await;
    let mut daemons = Daemons::start(prepared);
    list_two_versions(&mut daemons.installation.listed.lock().unwrap());
    daemons.publish(&document(1)).await;
    daemons.installation.wait_until_served(&document(1)).await;
    let other = daemons.installation.add_gateway().await;
    for number in 0..STREAMS {
        let gateway = daemons.installation.caller_address;
        send(gateway, &format!("s{number}"), None).await;
    }
    for controller in &mut daemons.controllers {
        controller.kill();
    }
    for controller in &mut daemons.controllers {
        controller.restart();
    }
    for number in 0..STREAMS {
        let first = format!("s{number}");
        wait_until("the stream goes on", || async {
            let rest = send(other, &format!("t{number}"), Some(&first)).await;
            rest.is_some_and(|rest| rest.status == StatusCode::OK)
        })
        .await;
    }
    assert_no_stream_is_joined(&daemons.installation.log);
}

#[tokio::test]
async fn a_stream_whose_software_version_is_gone_is_not_continued() {
    let installation = two_versions(4, false).await;
    let gateway = installation.caller_address;
    for number in 0..STREAMS {
        send(gateway, &format!("s{number}"), None).await;
    }
    let begun = versions_by_stream(&installation.log);
    let is_current = |entry: &Value| entry["Version"] != json!("v1");
    installation.listed.lock().unwrap().retain(is_current);
    let is_old = |(_, versions): &(&String, &Vec<&str>)| versions[0] == "v1";
    let (old, _) = begun.iter().find(is_old).expect("a stream of v1");
    wait_until("the older version is gone", || async {
        let rest = send(gateway, "gone", Some(old)).await;
        rest.is_some_and(|rest| rest.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    installation.log.requests.lock().unwrap().clear();
    let mut refused = 0;
    for (first, versions) in &begun {
        let rest = send(gateway, &format!("t-{first}"), Some(first)).await;
        let rest = rest.unwrap();
        match versions[0] {
            "v1" => {
                assert_eq!(rest.status, StatusCode::SERVICE_UNAVAILABLE, "{first}");
                refused += 1;
            }
            _ => assert_eq!(rest.status, StatusCode::OK, "{first}"),
        }
    }
    assert!(refused > 0 && refused < begun.len(), "{refused}");
    let seen = installation.log.requests();
    assert!(seen.iter().all(|seen| software(seen.server) == "v2"));
}

#[tokio::test]
async fn a_stream_of_unknown_origin_is_not_continued_while_two_software_versions_serve() {
    let installation = two_versions(2, false).await;
    let gateway = installation.caller_address;
    for number in 0..8 {
        let id = format!("t{number}");
        let rest = send(gateway, &id, Some("never-begun")).await.unwrap();
        assert_eq!(rest.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
    }
    assert!(installation.log.requests().is_empty());
}
