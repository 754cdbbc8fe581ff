//! Frames that can't be decoded: a link drops them and keeps the others, and the calls in progress.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use flamingocroft::{
    domain::Incarnation,
    link::{
        Handler, Identity, Link, LinkError, LinkSettings, Peer, PeerKey, TunnelHandler,
        open_tunnel, serve, serve_tunnels,
    },
    wire::{Body, NotLeader, TunnelOpen, TunnelRefused},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Frames of 3 and 7 bytes: no message, and a body whose text is no UTF-8.
const UNDECODABLE: &[u8] = b"\0\0\0\x03\xff\xff\xff\0\0\0\x07\xca\x01\x04\x0a\x02\xff\xfe";

struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        Some(body)
    }
}

fn message() -> Body {
    Body::NotLeader(NotLeader {
        leader: "c1".into(),
    })
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

/// Starts a server and returns its key and address.
async fn start_server() -> (PeerKey, SocketAddr) {
    let key = PeerKey::new(b"a shared key of some length").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = serve(
        listener,
        key.clone(),
        identity("server"),
        LinkSettings::default(),
        Arc::new(Echo),
        CancellationToken::new(),
    );
    tokio::spawn(serving);
    (key, address)
}

/// What a proxy changes in a request.
#[derive(Clone, Copy)]
enum Change {
    /// The message becomes one that only a later build knows.
    LaterMessage,
    /// The message can't be decoded.
    Undecodable,
    /// Bytes of a tunnel come in a message that only a later build knows.
    LaterData,
}

impl Change {
    /// Changes the frames of [`message`], or those of a tunnel that say "lost", among some bytes.
    fn apply(self, bytes: &mut [u8]) {
        let (from, to): (&[u8], &[u8]) = match self {
            Self::LaterMessage => (b"\xca\x01\x04\x0a\x02c1", b"\xca\x3e\x04\x0a\x02c1"),
            Self::Undecodable => (b"\xca\x01\x04\x0a\x02c1", b"\xca\x01\x04\x0a\x02\xff\xfe"),
            Self::LaterData => (b"\xca\x04\x06\x0a\x04lost", b"\xca\x3e\x06\x0a\x04lost"),
        };
        for at in 0..bytes.len().saturating_sub(from.len() - 1) {
            if bytes[at..].starts_with(from) {
                bytes[at..at + to.len()].copy_from_slice(to);
            }
        }
    }
}

/// Copies bytes with a change.
async fn copy_changed(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, change: Option<Change>) {
    let mut buf = [0; 64 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        if let Some(change) = change {
            change.apply(&mut buf[..len]);
        }
        to.write_all(&buf[..len]).await.unwrap();
    }
}

/// Starts a proxy to a server that changes requests or replies, and returns its address.
async fn start_changing_proxy(server: SocketAddr, change: Change, in_reply: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(server).await.unwrap();
            let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
            tokio::spawn(copy_changed(near_rx, far_tx, (!in_reply).then_some(change)));
            tokio::spawn(copy_changed(far_rx, near_tx, in_reply.then_some(change)));
        }
    });
    proxy
}

/// Returns a link through a proxy that changes requests or replies.
async fn link_with_change(change: Change, in_reply: bool) -> Link {
    let (key, server) = start_server().await;
    let proxy = start_changing_proxy(server, change, in_reply).await;
    let link = Link::connect(proxy, key, identity("client"), LinkSettings::default());
    while link.peer().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    link
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_the_peer_does_not_know_is_refused_at_once_and_not_met_with_silence() {
    for change in [Change::LaterMessage, Change::Undecodable] {
        let link = link_with_change(change, false).await;
        let reply = timeout(CALL_TIMEOUT / 5, link.call(message(), CALL_TIMEOUT)).await;
        let Ok(Err(LinkError::Failed(message))) = reply else {
            panic!("{reply:?}");
        };
        assert!(message.contains("start the newest version"), "{message}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_that_cannot_be_read_ends_its_call_at_once() {
    for change in [Change::LaterMessage, Change::Undecodable] {
        let link = link_with_change(change, true).await;
        let reply = timeout(CALL_TIMEOUT / 5, link.call(message(), CALL_TIMEOUT)).await;
        assert_eq!(reply, Ok(Err(LinkError::Unanswered)));
    }
}

/// Connects each tunnel to one upstream.
struct ToUpstream(SocketAddr);

impl TunnelHandler for ToUpstream {
    async fn connect(&self, _: &Peer, _: TunnelOpen) -> Result<TcpStream, TunnelRefused> {
        Ok(TcpStream::connect(self.0).await.unwrap())
    }

    fn ended(&self, _: &Peer, _: std::io::Result<()>) {}

    fn carried(&self) -> u32 {
        0
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tunnel_with_an_unreadable_frame_breaks_off_and_sends_no_bytes_with_a_gap() {
    let key = PeerKey::new(b"a shared key of some length").unwrap();
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let handler = Arc::new(ToUpstream(upstream.local_addr().unwrap()));
    let stop = CancellationToken::new();
    tokio::spawn(serve_tunnels(
        listener,
        key.clone(),
        identity("server"),
        handler,
        stop,
    ));
    let proxy = start_changing_proxy(server, Change::LaterData, false).await;
    let local = identity("client");
    let open = open_tunnel(proxy, &key, &local, TunnelOpen::default());
    let mut tunnel = open.await.unwrap().io;
    let (mut accepted, _) = upstream.accept().await.unwrap();
    let read = tokio::spawn(async move {
        let mut bytes = Vec::new();
        // How the connection ends does not matter, only what came before.
        let _ = accepted.read_to_end(&mut bytes).await;
        String::from_utf8(bytes).unwrap()
    });
    for part in ["first", "lost", "third"] {
        // Once the tunnel has broken off, writing fails.
        let _ = tunnel.write_all(part.as_bytes()).await;
        let _ = tunnel.flush().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(tunnel);
    let received = timeout(CALL_TIMEOUT, read).await.unwrap().unwrap();
    assert_eq!(received, "first");
}

/// Copies bytes, and writes undecodable frames between them each time the watched value changes.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut inject: watch::Receiver<()>) {
    let mut buf = [0; 64 * 1024];
    loop {
        tokio::select! {
            Ok(()) = inject.changed() => to.write_all(UNDECODABLE).await.unwrap(),
            len = from.read(&mut buf) => match len {
                Ok(len) if len > 0 => to.write_all(&buf[..len]).await.unwrap(),
                _ => return,
            },
        }
    }
}

/// Starts a proxy to an address and returns its own, and the number of connections through it.
async fn start_proxy(to: SocketAddr, inject: watch::Receiver<()>) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&opened);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            let far = TcpStream::connect(to).await.unwrap();
            let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
            tokio::spawn(copy(near_rx, far_tx, inject.clone()));
            tokio::spawn(copy(far_rx, near_tx, inject.clone()));
        }
    });
    (address, opened)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_undecodable_frame_ends_neither_the_connection_nor_a_call() {
    let (key, server) = start_server().await;
    let (inject, injected) = watch::channel(());
    let (proxy, opened) = start_proxy(server, injected).await;
    let link = Link::connect(proxy, key, identity("client"), LinkSettings::default());
    let connected = async { while link.call(message(), CALL_TIMEOUT).await.is_err() {} };
    timeout(CALL_TIMEOUT * 4, connected).await.unwrap();
    let before = opened.load(Ordering::SeqCst);
    for _ in 0..5 {
        let call = link.call(message(), CALL_TIMEOUT);
        let disturb = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            inject.send(()).unwrap();
        };
        let (reply, ()) = tokio::join!(call, disturb);
        assert_eq!(reply, Ok(message()));
    }
    assert_eq!(opened.load(Ordering::SeqCst), before);
}
