//! Links under failure: wrong keys, silent and restarted peers, late replies and invalid datagrams.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use flamingocroft::{
    domain::Incarnation,
    link::{
        DatagramSocket, Handler, Identity, Link, LinkError, LinkSettings, Peer, PeerKey, serve,
    },
    wire::{Body, Failure, LeavingNotice, NotLeader, PromptAnnouncement},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{
        TcpListener, TcpSocket, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for an expected event; exceeding it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two polls, which leaves the processor to what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Length of a message that a throttled link carries in several times the silence that a link bears.
const LARGE_BYTES: usize = 3 * 1024 * 1024;
/// Rate of a throttled link in each direction, in bytes per second.
const THROTTLED_RATE: usize = 1024 * 1024;

struct Echo {
    handled: AtomicU32,
    release: Notify,
}

impl Echo {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            handled: AtomicU32::new(0),
            release: Notify::new(),
        })
    }
}

impl Handler for Echo {
    async fn handle(&self, peer: &Peer, body: Body) -> Option<Body> {
        self.handled.fetch_add(1, Ordering::SeqCst);
        match body {
            Body::NotLeader(hint) if hint.leader == "hold" => {
                self.release.notified().await;
                Some(Body::NotLeader(hint))
            }
            Body::NotLeader(hint) if hint.leader == "fail" => Some(Body::Failure(Failure {
                message: "no".into(),
            })),
            Body::NotLeader(hint) if hint.leader == "large" => Some(message(&large_text())),
            Body::NotLeader(hint) if hint.leader.len() == LARGE_BYTES => Some(message("received")),
            Body::NotLeader(hint) => Some(Body::NotLeader(NotLeader {
                leader: format!("{} to {}", hint.leader, peer.name),
            })),
            _ => None,
        }
    }
}

fn key(text: &str) -> PeerKey {
    PeerKey::new(text.as_bytes()).unwrap()
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

fn message(text: &str) -> Body {
    Body::NotLeader(NotLeader {
        leader: text.into(),
    })
}

fn large_text() -> String {
    "x".repeat(LARGE_BYTES)
}

/// Returns an address that no other process takes while nothing listens on it. Outgoing connections take
/// their ports on 127.0.0.1 only.
fn unused_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 1 | high, low, 200), 7000).into()
}

async fn start_server(handler: Arc<Echo>) -> (SocketAddr, CancellationToken) {
    let (address, stop, _) = start_server_at("127.0.0.1:0".parse().unwrap(), handler).await;
    (address, stop)
}

/// Starts a server. Its task ends, and its port is free, some time after the token was cancelled.
async fn start_server_at(
    address: SocketAddr,
    handler: Arc<Echo>,
) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let server = tokio::spawn(serve(
        listener,
        key("a shared key of some length"),
        identity("server"),
        LinkSettings::default(),
        handler,
        stop.clone(),
    ));
    (address, stop, server)
}

fn connect(address: SocketAddr, text: &str) -> Link {
    Link::connect(
        address,
        key(text),
        identity("client"),
        LinkSettings::default(),
    )
}

async fn call_until_answered(link: &Link, text: &str) -> Body {
    let attempt = async {
        loop {
            match link.call(message(text), CALL_TIMEOUT).await {
                Ok(body) => return body,
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    };
    timeout(TEST_TIMEOUT, attempt).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_get_their_own_replies() {
    let (address, _stop) = start_server(Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let calls = (0..500).map(|i| {
        let link = link.clone();
        tokio::spawn(async move {
            let reply = link.call(message(&i.to_string()), CALL_TIMEOUT).await;
            assert_eq!(reply, Ok(message(&format!("{i} to client"))));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_with_a_wrong_key_is_rejected() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let link = connect(address, "another key of some length");
    // The server closes a connection that does not authenticate in time. Waiting for that gives the link with
    // the wrong key enough time to connect.
    let mut sink = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut sink))
        .await
        .unwrap()
        .unwrap();
    let reply = link.call(message("let me in"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::NotSent));
    assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_reply_is_an_error_with_its_message() {
    let (address, _stop) = start_server(Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let reply = link.call(message("fail"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::Failed("no".into())));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_reply_is_discarded() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let late = link.call(message("hold"), Duration::from_millis(50)).await;
    assert_eq!(late, Err(LinkError::Unanswered));
    handler.release.notify_one();
    let next = link.call(message("next"), CALL_TIMEOUT).await;
    assert_eq!(next, Ok(message("next to client")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_reconnects_to_a_restarted_peer() {
    let (address, stop, server) = start_server_at(unused_address(), Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    stop.cancel();
    let down = async {
        while link.peer().is_some() {
            let _ = link
                .call(message("still there"), Duration::from_millis(20))
                .await;
        }
    };
    timeout(TEST_TIMEOUT, down).await.unwrap();
    server.await.unwrap();
    let (_, _stop, _) = start_server_at(address, Echo::new()).await;
    call_until_answered(&link, "again").await;
}

/// Starts a TCP forwarder. When `silent` changes, it stops forwarding on the open connections without
/// closing them; later connections are forwarded.
async fn start_forwarder(to: SocketAddr, silent: watch::Receiver<u32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut near, _) = listener.accept().await.unwrap();
            let mut silent = silent.clone();
            silent.mark_unchanged();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => {}
                    _ = silent.changed() => {
                        // Both ends stay open but receive nothing more.
                        std::future::pending::<()>().await;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced_in_bounded_time() {
    let (server, _stop) = start_server(Echo::new()).await;
    let (go_silent, silent) = watch::channel(0);
    let forwarder = start_forwarder(server, silent).await;
    let link = connect(forwarder, "a shared key of some length");
    call_until_answered(&link, "first").await;
    go_silent.send(1).unwrap();
    let start = Instant::now();
    call_until_answered_within(&link, Duration::from_millis(100)).await;
    let settings = LinkSettings::default();
    let bound =
        settings.silence_timeout + settings.ping_interval * 2 + settings.connect_timeout * 2;
    assert!(start.elapsed() < bound, "took {:?}", start.elapsed());
}

/// Starts a TCP forwarder of limited rate. Returns its address and the number of connections that it accepted.
async fn start_throttled_forwarder(to: SocketAddr) -> (SocketAddr, Arc<AtomicU32>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            count.fetch_add(1, Ordering::SeqCst);
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(16 * 1024).unwrap();
            let far = socket.connect(to).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(forward_throttled(near_read, far_write));
            tokio::spawn(forward_throttled(far_read, near_write));
        }
    });
    (address, accepted)
}

async fn forward_throttled(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buf = [0; 8 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        tokio::time::sleep(Duration::from_secs(1) * len as u32 / THROTTLED_RATE as u32).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_that_takes_longer_than_the_silence_timeout_arrives() {
    let (server, _stop) = start_server(Echo::new()).await;
    let (forwarder, accepted) = start_throttled_forwarder(server).await;
    let link = connect(forwarder, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let reply = link.call(message("large"), TEST_TIMEOUT).await;
    assert!(reply == Ok(message(&large_text())), "no whole reply");
    assert_eq!(accepted.load(Ordering::SeqCst), 1, "connections");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_takes_longer_than_the_silence_timeout_arrives() {
    let (server, _stop) = start_server(Echo::new()).await;
    let (forwarder, accepted) = start_throttled_forwarder(server).await;
    let link = connect(forwarder, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let reply = link.call(message(&large_text()), TEST_TIMEOUT).await;
    assert_eq!(reply, Ok(message("received")));
    assert_eq!(accepted.load(Ordering::SeqCst), 1, "connections");
}

async fn call_until_answered_within(link: &Link, deadline: Duration) {
    let attempt = async {
        while link.call(message("after"), deadline).await.is_err() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, attempt).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_while_the_link_is_down_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let link = connect(address, "a shared key of some length");
    let reply = link.call(message("anyone"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::NotSent));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_without_a_reply_is_delivered() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let before = handler.handled.load(Ordering::SeqCst);
    link.send(Body::LeavingNotice(LeavingNotice::default()));
    let delivered = async {
        while handler.handled.load(Ordering::SeqCst) == before {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, delivered).await.unwrap();
}

/// Datagrams with another key and undecodable datagrams are errors, and the next valid one is received.
#[tokio::test]
async fn only_datagrams_with_a_valid_proof_are_accepted() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let key = PeerKey::new(b"a key that both sides have").unwrap();
    let other = PeerKey::new(b"a key that nobody else has").unwrap();
    let receiver = DatagramSocket::bind(any, key.clone()).await.unwrap();
    let sender = DatagramSocket::bind(any, key).await.unwrap();
    let stranger = DatagramSocket::bind(any, other).await.unwrap();
    let to = [receiver.address().unwrap()];
    let announcement = PromptAnnouncement {
        service: "drafts".into(),
        instance: "engine-1".into(),
        tokens: 9_000,
    };
    assert_eq!(stranger.send(&announcement, &to), 0);
    let refused = timeout(TEST_TIMEOUT, receiver.receive()).await.unwrap();
    assert!(refused.unwrap_err().to_string().contains("key file"));

    let raw = UdpSocket::bind(any).await.unwrap();
    for bytes in [&[][..], &[0xff; 40], &[0; 1400]] {
        raw.send_to(bytes, to[0]).await.unwrap();
        let read = timeout(TEST_TIMEOUT, receiver.receive()).await.unwrap();
        assert!(read.is_err(), "{bytes:?} was accepted as {read:?}");
    }

    assert_eq!(sender.send(&announcement, &to), 0);
    let read = timeout(TEST_TIMEOUT, receiver.receive()).await.unwrap();
    assert_eq!(read.unwrap(), announcement);
}
