//! Calls to plain services over HTTP: a call is executed at most once, whatever fails.

mod adapters_support;

use std::time::Duration;

use adapters_support::{
    eventually, pile_status_call, release_call, target, timing, unused_address,
};
use flamingocroft::{
    adapters::HttpUpstreams,
    ports::{
        Sent::{Maybe, No},
        UpstreamErrorKind::{self, Connect, Cut, Silent},
        Upstreams,
    },
};
use standin::{
    Faults,
    service::{self, Echo, ServiceParams},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const KEY: &str = "0190b5a0-0000-7000-8000-000000000001";
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

#[tokio::test]
async fn a_call_passes_its_key_and_body_and_runs_once() {
    let service = service::start(ServiceParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let call = release_call(KEY, LONG_TIMEOUT);
    let reply = upstreams
        .call(&target(service.address()), &call)
        .await
        .unwrap();
    let echo: Echo = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(
        (reply.status, reply.content_type.as_str()),
        (200, "application/json")
    );
    assert_eq!(
        (echo.method.as_str(), echo.path.as_str()),
        ("POST", "/releases")
    );
    assert_eq!(echo.key.as_deref(), Some(KEY));
    assert_eq!(service.counts().by_key[KEY], 1);
}

#[tokio::test]
async fn each_service_fault_has_an_error_kind_and_executes_at_most_once() {
    let none = Faults::default();
    let cases: [(&str, Faults, UpstreamErrorKind, u64); 6] = [
        (
            "silent",
            Faults {
                silent: true,
                ..none
            },
            Silent,
            0,
        ),
        (
            "silent after it ran",
            Faults {
                silent_reply: true,
                ..none
            },
            Silent,
            1,
        ),
        (
            "late answer",
            Faults {
                answer_delay_ms: 60_000,
                ..none
            },
            Silent,
            1,
        ),
        (
            "lost reply",
            Faults {
                lost_reply: true,
                ..none
            },
            Cut,
            1,
        ),
        (
            "cut head of the body",
            Faults {
                cut_after_bytes: Some(0),
                ..none
            },
            Cut,
            1,
        ),
        (
            "cut body",
            Faults {
                cut_after_bytes: Some(10),
                ..none
            },
            Cut,
            1,
        ),
    ];
    for (name, faults, kind, executed) in cases {
        let params = ServiceParams {
            faults,
            ..ServiceParams::default()
        };
        let service = service::start(params).await.unwrap();
        let upstreams = HttpUpstreams::new(&timing());
        let call = release_call(
            KEY,
            if kind == Silent {
                SHORT_TIMEOUT
            } else {
                LONG_TIMEOUT
            },
        );
        let e = upstreams
            .call(&target(service.address()), &call)
            .await
            .expect_err(name);
        assert_eq!((e.kind, e.sent), (kind, Maybe), "{name}: {e}");
        assert_eq!(service.counts().executed, executed, "{name}");
        assert_eq!(service.connections(), 1, "{name}");
    }
}

#[tokio::test]
async fn a_timed_out_call_may_run_late_but_only_once() {
    let service = service::start(ServiceParams::default()).await.unwrap();
    service.set_faults(Faults {
        execute_delay_ms: 3000,
        ..Faults::default()
    });
    let upstreams = HttpUpstreams::new(&timing());
    let call = release_call(KEY, SHORT_TIMEOUT);
    let e = upstreams
        .call(&target(service.address()), &call)
        .await
        .unwrap_err();
    assert_eq!((e.kind, e.sent), (Silent, Maybe));
    assert_eq!(service.counts().executed, 0);
    eventually("it ran", || service.counts().executed == 1).await;
}

#[tokio::test]
async fn a_call_to_a_stopped_service_is_reported_as_not_sent() {
    let service = service::start(ServiceParams {
        listen: unused_address(),
        ..ServiceParams::default()
    })
    .await
    .unwrap();
    let target = target(service.address());
    let upstreams = HttpUpstreams::new(&timing());
    upstreams.call(&target, &pile_status_call()).await.unwrap();
    service.stop();
    eventually("the port is closed", || {
        std::net::TcpStream::connect(target.address).is_err()
    })
    .await;
    let call = release_call(KEY, SHORT_TIMEOUT);
    let e = upstreams.call(&target, &call).await.unwrap_err();
    assert_eq!((e.kind, e.sent), (Connect, No));
    assert_eq!(service.counts().by_key.len(), 0);
}

#[tokio::test]
async fn a_call_that_must_not_run_twice_avoids_idle_connections() {
    let service = service::start(ServiceParams::default()).await.unwrap();
    let target = target(service.address());
    let upstreams = HttpUpstreams::new(&timing());
    for _ in 0..3 {
        upstreams.call(&target, &pile_status_call()).await.unwrap();
    }
    assert_eq!(service.connections(), 1);
    service.silence_open_connections();
    let call = release_call(KEY, LONG_TIMEOUT);
    upstreams.call(&target, &call).await.unwrap();
    assert_eq!(service.counts().by_key[KEY], 1);
    assert_eq!(service.connections(), 2);
}

#[tokio::test]
async fn a_restarted_service_is_reached_over_new_connections() {
    let first = service::start(ServiceParams {
        listen: unused_address(),
        ..ServiceParams::default()
    })
    .await
    .unwrap();
    let target = target(first.address());
    let upstreams = HttpUpstreams::new(&timing());
    upstreams.call(&target, &pile_status_call()).await.unwrap();
    first.stop();
    eventually("the port is closed", || {
        std::net::TcpStream::connect(target.address).is_err()
    })
    .await;
    let params = ServiceParams {
        listen: target.address,
        ..ServiceParams::default()
    };
    let second = service::start(params).await.unwrap();
    upstreams.call(&target, &pile_status_call()).await.unwrap();
    assert_eq!(second.counts().executed, 1);
}

/// Answers each connection with raw bytes and closes it.
async fn serve_raw(answer: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn an_answer_that_only_its_connection_ends_says_so() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\r\ndone", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
            false,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n", false),
    ];
    for (answer, ends_with_connection) in cases {
        let upstreams = HttpUpstreams::new(&timing());
        let call = release_call(KEY, LONG_TIMEOUT);
        let address = serve_raw(answer).await;
        let reply = upstreams.call(&target(address), &call).await.unwrap();
        assert_eq!(reply.ends_with_connection, ends_with_connection, "{answer}");
    }
}

/// Serves connections that read a part of the request, answer and close their side, or read it all first.
async fn serve_early(answer: &'static str, reads_all: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = vec![0; 16 * 1024];
                let mut read = 0;
                while read == 0 || (reads_all && read < LONG_BODY) {
                    read += stream.read(&mut buf).await.unwrap();
                }
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
                // Closing a socket with unread bytes would reset the connection at once.
                tokio::time::sleep(Duration::from_millis(300)).await;
            });
        }
    });
    address
}

/// More than the buffers of a connection to a service that does not read hold.
const LONG_BODY: usize = 16 * 1024 * 1024;

#[tokio::test]
async fn a_success_that_only_its_connection_ends_is_none_before_the_request_was_taken() {
    let success = "HTTP/1.1 200 OK\r\n\r\ndone";
    let empty = "HTTP/1.1 200 OK\r\n\r\n";
    let refusal = "HTTP/1.1 403 Forbidden\r\n\r\nno";
    let framed = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    for (answer, reads_all, expected) in [
        (success, false, Err(Cut)),
        (empty, false, Err(Cut)),
        (success, true, Ok(200)),
        (refusal, false, Ok(403)),
        (framed, false, Ok(200)),
    ] {
        let upstreams = HttpUpstreams::new(&timing());
        let mut call = release_call(KEY, LONG_TIMEOUT);
        call.body = vec![b'u'; LONG_BODY].into();
        let address = serve_early(answer, reads_all).await;
        let reply = upstreams.call(&target(address), &call).await;
        let reply = reply.map(|reply| reply.status).map_err(|e| e.kind);
        assert_eq!(reply, expected, "{answer}, {reads_all}");
    }
}

#[tokio::test]
async fn a_status_that_is_none_breaks_the_protocol() {
    for (answer, kind) in [
        (
            "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
            UpstreamErrorKind::Protocol,
        ),
        (
            "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n",
            UpstreamErrorKind::Protocol,
        ),
        ("HTTP/1.1 100 No\r\nContent-Length: 0\r\n\r\n", Cut),
        (
            "HTTP/1.1 101 No\r\nContent-Length: 0\r\n\r\n",
            UpstreamErrorKind::Protocol,
        ),
        (
            "HTTP/1.1 600 No\r\nContent-Length: 0\r\n\r\n",
            UpstreamErrorKind::Protocol,
        ),
        (
            "HTTP/1.1 999 No\r\nContent-Length: 0\r\n\r\n",
            UpstreamErrorKind::Protocol,
        ),
    ] {
        let upstreams = HttpUpstreams::new(&timing());
        let call = release_call(KEY, LONG_TIMEOUT);
        let address = serve_raw(answer).await;
        let e = upstreams.call(&target(address), &call).await.unwrap_err();
        assert_eq!((e.kind, e.sent), (kind, Maybe), "{answer}");
    }
}
