//! Connections on the users' platform whose bytes are not what they should be: nothing of one request
//! may reach another.

mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{
    Act, KEY, Site, document, listed_server,
    raw::{LATER, Manner, RawServer},
    until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Starts an installation whose one server behaves in some manner.
async fn site(manner: Manner) -> (Site, RawServer) {
    let site = Site::start(1, |_, _| Act::Answer(StatusCode::OK, b"done".to_vec())).await;
    let server = RawServer::start(&site.control.ip().to_string(), manner).await;
    site.publish(&document(1)).await;
    *site.listed.lock().unwrap() = vec![listed_server("i-raw", server.address)];
    until("the server is used", || async {
        site.send(Method::GET, "/safe/x", "first", "").await;
        !server.received.lock().unwrap().is_empty()
    })
    .await;
    (site, server)
}

/// Returns the identifiers of the requests that came over a connection, which must hold nothing else.
fn requests(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    let mut rest = text.as_str();
    let mut ids = Vec::new();
    while !rest.is_empty() {
        let (head, after) = rest.split_once("\r\n\r\n").expect("a whole head");
        assert!(
            head.starts_with("POST /") || head.starts_with("GET /"),
            "no head of a request: {head}"
        );
        let field = |name: &str| {
            let line = head
                .lines()
                .find(|line| line.to_lowercase().starts_with(name));
            line.and_then(|line| line.split_once(':'))
                .map(|(_, value)| value.trim())
        };
        ids.push(
            field("x-flamingocroft-request-id:")
                .unwrap_or_default()
                .to_owned(),
        );
        let length = field("content-length:").map_or(0, |length| length.parse().unwrap());
        rest = after.get(length..).unwrap_or_default();
    }
    ids
}

#[tokio::test]
async fn bytes_after_an_answer_reach_nobody() {
    for manner in [Manner::Surplus, Manner::LateSurplus] {
        let (site, _server) = site(manner).await;
        for i in 0..20 {
            let id = format!("r{i}");
            let res = site.send(Method::POST, "/once/x", &id, "").await;
            let got = (res.status, res.body);
            match got.0 {
                StatusCode::OK => {
                    assert_eq!(
                        got.1.unwrap(),
                        format!("answer to {id}").as_bytes(),
                        "{manner:?}"
                    );
                }
                // A connection that turned out to be spoiled may cost the answer, never change it.
                StatusCode::BAD_GATEWAY => {}
                other => panic!("{manner:?}: {other}"),
            }
            sleep(LATER / 20 * (i % 3)).await;
        }
    }
}

#[tokio::test]
async fn a_server_that_answers_early_gets_the_rest_of_the_body_and_nothing_else() {
    let (site, server) = site(Manner::Early).await;
    let long = "b".repeat(60_000);
    for i in 0..10 {
        let id = format!("r{i}");
        let res = site.send(Method::POST, "/once/x", &id, &long).await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(res.text(), format!("answer to {id}"));
    }
    sleep(LATER * 4).await;
    let received = server.received.lock().unwrap().clone();
    for bytes in received {
        requests(&bytes);
    }
}

#[tokio::test]
async fn an_answer_without_length_is_whole_only_if_it_was_not_reset() {
    let (site_whole, _server) = site(Manner::NoLength).await;
    let res = site_whole.send(Method::POST, "/once/x", "r1", "").await;
    assert_eq!(res.status, StatusCode::OK);
    assert_eq!(res.text(), "answer to r1");
    let (site_reset, _server) = site(Manner::NoLengthReset).await;
    let res = site_reset.send(Method::POST, "/once/x", "r1", "").await;
    assert!(res.body.is_err(), "{res:?}");
}

/// Servers come and go, and their addresses are used again, so what is kept for one ends with it.
#[tokio::test]
async fn connections_to_a_server_end_when_it_is_no_longer_listed() {
    let (site, server) = site(Manner::Proper).await;
    site.send(Method::POST, "/once/x", "r1", "").await;
    assert!(server.open.load(Ordering::Relaxed) > 0);
    let other = RawServer::start(&site.control.ip().to_string(), Manner::Proper).await;
    *site.listed.lock().unwrap() = vec![listed_server("i-other", other.address)];
    until("the connections are closed", || async {
        server.open.load(Ordering::Relaxed) == 0
    })
    .await;
}

#[tokio::test]
async fn a_body_is_never_taken_for_a_request() {
    let site = Site::start(1, |_, _| Act::Answer(StatusCode::OK, b"done".to_vec())).await;
    site.publish(&document(1)).await;
    let hidden = format!(
        "GET /once/hidden HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    let chunk = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    let length = format!("Content-Length: {}", hidden.len());
    let chunked = "Transfer-Encoding: chunked".to_owned();
    let cases = [
        (vec![length.clone()], hidden.clone()),
        (vec![chunked.clone()], chunk.clone()),
        // Both, in either order: one of them could be believed here and the other one elsewhere.
        (
            vec!["Content-Length: 4".to_owned(), chunked.clone()],
            chunk.clone(),
        ),
        (vec![chunked, "Content-Length: 0".to_owned()], chunk),
        (vec!["Content-Length: 0".to_owned(), length], hidden.clone()),
        (vec!["Transfer-Encoding: identity, x".to_owned()], hidden),
    ];
    for (i, (headers, body)) in cases.into_iter().enumerate() {
        let mut caller = TcpStream::connect(site.front).await.unwrap();
        let request = format!(
            "POST /once/shown{i} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {KEY}\r\n\
             X-Flamingocroft-Request-Id: s{i}\r\nConnection: close\r\n{}\r\n\r\n{body}",
            headers.join("\r\n")
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(5), caller.read_to_end(&mut answer));
        // The gateway may refuse such a request by closing the connection.
        let _ = read.await.expect("the connection stays open");
    }
    sleep(Duration::from_millis(100)).await;
    let seen = site.log.seen();
    assert!(seen.len() <= 6, "{seen:?}");
    let hidden: Vec<_> = seen
        .iter()
        .filter(|seen| seen.path.contains("hidden"))
        .collect();
    assert!(hidden.is_empty(), "{hidden:?}");
    assert!(
        seen.iter()
            .filter(|seen| seen.path.contains("shown"))
            .count()
            >= 2,
        "{seen:?}"
    );
}
