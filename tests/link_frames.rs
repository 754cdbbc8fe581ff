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
    link::{Handler, Identity, Link, LinkSettings, Peer, PeerKey, serve},
    wire::{Body, NotLeader},
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
    let key = PeerKey::new(b"a shared key of some length").unwrap();
    let identity = |name: &str| Identity {
        name: name.into(),
        incarnation: Incarnation(1),
    };
    let settings = LinkSettings::default;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let serving = serve(
        listener,
        key.clone(),
        identity("server"),
        settings(),
        Arc::new(Echo),
        stop.clone(),
    );
    tokio::spawn(serving);
    let (inject, injected) = watch::channel(());
    let (proxy, opened) = start_proxy(server, injected).await;
    let link = Link::connect(proxy, key, identity("client"), settings());
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
