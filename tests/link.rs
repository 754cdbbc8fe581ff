//! Links under failure: a wrong key, a silent peer, a peer that dies and a late reply.

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
    io::{AsyncReadExt, copy_bidirectional},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{Notify, watch},
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A bound for what must happen soon; reaching it fails the test.
const PATIENCE: Duration = Duration::from_secs(20);

struct Echo {
    handled: AtomicU32,
    held: Notify,
}

impl Echo {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            handled: AtomicU32::new(0),
            held: Notify::new(),
        })
    }
}

impl Handler for Echo {
    async fn handle(&self, peer: &Peer, body: Body) -> Option<Body> {
        self.handled.fetch_add(1, Ordering::SeqCst);
        match body {
            Body::NotLeader(hint) if hint.leader == "hold" => {
                self.held.notified().await;
                Some(Body::NotLeader(hint))
            }
            Body::NotLeader(hint) if hint.leader == "fail" => Some(Body::Failure(Failure {
                message: "no".into(),
            })),
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

fn say(text: &str) -> Body {
    Body::NotLeader(NotLeader {
        leader: text.into(),
    })
}

/// Returns an address that no other process takes while nobody listens on it: ports of outgoing
/// connections are taken on 127.0.0.1 only.
fn own_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 1 | high, low, 200), 7000).into()
}

async fn start_server(handler: Arc<Echo>) -> (SocketAddr, CancellationToken) {
    start_server_at("127.0.0.1:0".parse().unwrap(), handler).await
}

async fn start_server_at(
    address: SocketAddr,
    handler: Arc<Echo>,
) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(
        listener,
        key("a shared key of some length"),
        identity("server"),
        LinkSettings::default(),
        handler,
        stop.clone(),
    ));
    (address, stop)
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
            match link.call(say(text), CALL_TIMEOUT).await {
                Ok(body) => return body,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    };
    timeout(PATIENCE, attempt).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_gets_its_own_reply_among_many() {
    let (address, _stop) = start_server(Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let calls = (0..500).map(|i| {
        let link = link.clone();
        tokio::spawn(async move {
            let reply = link.call(say(&i.to_string()), CALL_TIMEOUT).await;
            assert_eq!(reply, Ok(say(&format!("{i} to client"))));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_key_is_never_served() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let link = connect(address, "another key of some length");
    // The server closes a connection that never authenticates, which bounds the wait below.
    let mut sink = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut sink))
        .await
        .unwrap()
        .unwrap();
    let reply = link.call(say("let me in"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::NotSent));
    assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_reply_is_an_error_with_its_message() {
    let (address, _stop) = start_server(Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let reply = link.call(say("fail"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::Failed("no".into())));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_reply_reaches_nobody() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let late = link.call(say("hold"), Duration::from_millis(50)).await;
    assert_eq!(late, Err(LinkError::Unanswered));
    handler.held.notify_one();
    let next = link.call(say("next"), CALL_TIMEOUT).await;
    assert_eq!(next, Ok(say("next to client")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_peer_is_connected_anew() {
    let (address, stop) = start_server_at(own_address(), Echo::new()).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    stop.cancel();
    let down = async {
        while link.peer().is_some() {
            let _ = link
                .call(say("still there"), Duration::from_millis(20))
                .await;
        }
    };
    timeout(PATIENCE, down).await.unwrap();
    let (_, _stop) = start_server_at(address, Echo::new()).await;
    call_until_answered(&link, "again").await;
}

/// Forwards connections until told to go silent; later connections are forwarded again.
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
                        // Both ends stay open and hear nothing more.
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
    call_until_answered_with(&link, Duration::from_millis(100)).await;
    let settings = LinkSettings::default();
    let bound =
        settings.silence_timeout + settings.ping_interval * 2 + settings.connect_timeout * 2;
    assert!(start.elapsed() < bound, "took {:?}", start.elapsed());
}

async fn call_until_answered_with(link: &Link, deadline: Duration) {
    let attempt = async {
        while link.call(say("after"), deadline).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, attempt).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsent_message_is_told_apart_from_an_unanswered_one() {
    let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = nobody.local_addr().unwrap();
    drop(nobody);
    let link = connect(address, "a shared key of some length");
    let reply = link.call(say("anyone"), CALL_TIMEOUT).await;
    assert_eq!(reply, Err(LinkError::NotSent));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_without_reply_is_delivered() {
    let handler = Echo::new();
    let (address, _stop) = start_server(Arc::clone(&handler)).await;
    let link = connect(address, "a shared key of some length");
    call_until_answered(&link, "first").await;
    let before = handler.handled.load(Ordering::SeqCst);
    link.send(Body::LeavingNotice(LeavingNotice::default()));
    let delivered = async {
        while handler.handled.load(Ordering::SeqCst) == before {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, delivered).await.unwrap();
}

/// A datagram of a stranger, one that was changed on its way and one that is no message are errors, and the next
/// one is read all the same.
#[tokio::test]
async fn only_datagrams_made_with_the_key_are_taken() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let key = PeerKey::new(b"a key that both sides have").unwrap();
    let other = PeerKey::new(b"a key that nobody else has").unwrap();
    let here = DatagramSocket::bind(any, key.clone()).await.unwrap();
    let there = DatagramSocket::bind(any, key).await.unwrap();
    let stranger = DatagramSocket::bind(any, other).await.unwrap();
    let to = [here.address().unwrap()];
    let told = PromptAnnouncement {
        service: "drafts".into(),
        instance: "engine-1".into(),
        tokens: 9_000,
    };
    assert_eq!(stranger.send(&told, &to), 0);
    let refused = timeout(PATIENCE, here.receive()).await.unwrap();
    assert!(refused.unwrap_err().to_string().contains("key file"));

    let raw = UdpSocket::bind(any).await.unwrap();
    for bytes in [&[][..], &[0xff; 40], &[0; 1400]] {
        raw.send_to(bytes, to[0]).await.unwrap();
        let read = timeout(PATIENCE, here.receive()).await.unwrap();
        assert!(read.is_err(), "{bytes:?} is taken for {read:?}");
    }

    assert_eq!(there.send(&told, &to), 0);
    let read = timeout(PATIENCE, here.receive()).await.unwrap();
    assert_eq!(read.unwrap(), told);
}
