//! What a process has sent over a link or a tunnel and given up does not arrive later.

mod held_link;

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use flamingocroft::{
    domain::Incarnation,
    link::{
        Handler, Identity, Link, LinkError, LinkSettings, Peer, PeerKey, TunnelHandler,
        open_tunnel, serve, serve_tunnels,
    },
    wire::{Body, NotLeader, TunnelOpen, TunnelRefused},
};
use held_link::{Held, HeldLink};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for bytes to arrive once nothing holds them.
const ARRIVAL: Duration = Duration::from_millis(300);
/// Time after which a request through a tunnel is given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

fn key() -> PeerKey {
    PeerKey::new(b"a shared key of some length").unwrap()
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

struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        Some(body)
    }
}

async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let waited = timeout(TEST_TIMEOUT, async {
        while !holds().await {
            sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "not in time: {what}");
}

/// Starts a peer and a link to it through a network that can hold bytes.
async fn start_link() -> (Link, HeldLink) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let held = HeldLink::start(listener.local_addr().unwrap()).await;
    let (settings, stop) = (LinkSettings::default(), CancellationToken::new());
    let serving = serve(
        listener,
        key(),
        identity("server"),
        settings.clone(),
        Arc::new(Echo),
        stop,
    );
    tokio::spawn(serving);
    let link = Link::connect(held.address(), key(), identity("client"), settings);
    wait_until("a call is answered", || async {
        link.call(message("first"), TEST_TIMEOUT).await.is_ok()
    })
    .await;
    (link, held)
}

/// Guards against calls, such as the hand-over of a duty, that a peer handles after the caller has acted otherwise.
#[tokio::test]
async fn a_call_given_up_on_a_silent_link_never_arrives() {
    let (link, held) = start_link().await;
    held.hold_from("given up", Held::Both);
    let result = link.call(message("given up"), REQUEST_TIMEOUT).await;
    assert_eq!(result, Err(LinkError::Unanswered));
    wait_until("the connection is reset", || async { held.resets() > 0 }).await;
    held.set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(held.arrivals("given up"), 0);
    wait_until("a call is answered", || async {
        link.call(message("later"), TEST_TIMEOUT).await.is_ok()
    })
    .await;
}

/// Guards against resets of links whose calls are all answered.
#[tokio::test]
async fn a_link_without_open_calls_is_closed_in_order() {
    let (link, held) = start_link().await;
    drop(link);
    wait_until("the connection is closed", || async { held.closes() == 1 }).await;
    assert_eq!(held.resets(), 0);
}

/// Connects each tunnel to one upstream.
struct ToUpstream(SocketAddr);

impl TunnelHandler for ToUpstream {
    async fn connect(&self, _: &Peer, _: TunnelOpen) -> Result<TcpStream, TunnelRefused> {
        Ok(TcpStream::connect(self.0).await.unwrap())
    }

    fn ended(&self, _: &Peer, _: io::Result<()>) {}

    fn carried(&self) -> u32 {
        0
    }
}

/// A gateway that carries tunnels to an upstream which echoes, and the networks before the gateway and the upstream.
async fn start_carrier() -> (HeldLink, HeldLink) {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to_upstream = HeldLink::start(upstream.local_addr().unwrap()).await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = upstream.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to_carrier = HeldLink::start(listener.local_addr().unwrap()).await;
    let handler = Arc::new(ToUpstream(to_upstream.address()));
    let stop = CancellationToken::new();
    tokio::spawn(serve_tunnels(
        listener,
        key(),
        identity("carrier"),
        handler,
        stop,
    ));
    (to_carrier, to_upstream)
}

/// Guards against bytes that a carrying gateway delivers for one that is out of reach, whose reset is lost.
#[tokio::test]
async fn a_request_is_taken_back_from_a_carrier_that_is_cut_off_from_both_sides() {
    let (to_carrier, to_upstream) = start_carrier().await;
    let local = identity("opener");
    let (key, open) = (key(), TunnelOpen::default());
    let tunnel = open_tunnel(to_carrier.address(), &key, &local, open).await;
    let mut tunnel = tunnel.unwrap();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    tunnel.sending.begin(Arc::new(deadline));
    to_upstream.hold_from("request", Held::Both);
    tunnel.io.write_all(b"request").await.unwrap();
    tunnel.io.flush().await.unwrap();
    to_upstream.wait_until_held().await;
    to_carrier.set(Held::Both);
    sleep(REQUEST_TIMEOUT).await;
    drop(tunnel);
    wait_until("the carrier gives it up", || async {
        to_upstream.resets() == 1
    })
    .await;
    to_upstream.set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(to_upstream.arrivals("request"), 0);
}

/// Guards against resets of upstream connections, and limits of their time, once an exchange has ended well.
#[tokio::test]
async fn a_tunnel_whose_exchange_ended_well_stays_open_and_is_closed_in_order() {
    let (to_carrier, to_upstream) = start_carrier().await;
    let local = identity("opener");
    let (key, open) = (key(), TunnelOpen::default());
    let tunnel = open_tunnel(to_carrier.address(), &key, &local, open).await;
    let mut tunnel = tunnel.unwrap();
    for text in ["first..", "second."] {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        tunnel.sending.begin(Arc::new(deadline));
        tunnel.io.write_all(text.as_bytes()).await.unwrap();
        tunnel.io.flush().await.unwrap();
        let mut answer = [0; 7];
        tunnel.io.read_exact(&mut answer).await.unwrap();
        assert_eq!(answer, text.as_bytes());
        tunnel.sending.settle();
        sleep(2 * REQUEST_TIMEOUT).await;
    }
    drop(tunnel);
    wait_until("the connection is closed", || async {
        to_upstream.closes() == 1
    })
    .await;
    assert_eq!(to_upstream.resets() + to_carrier.resets(), 0);
}
