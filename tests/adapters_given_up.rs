//! What a client of an upstream has given up does not arrive later, and exchanges that ended well are closed in order.

mod adapters_support;
mod held_link;

use std::{net::SocketAddr, time::Duration};

use adapters_support::{eventually, pile_status_call, release_call, target, timing};
use flamingocroft::{
    adapters::HttpUpstreams,
    ports::{UpstreamErrorKind, Upstreams},
};
use held_link::{Held, HeldLink};
use standin::service::{self, ServiceParams};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

const KEY: &str = "0190b5a0-0000-7000-8000-000000000001";
/// Time after which calls are given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for bytes to arrive once nothing holds them.
const ARRIVAL: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against requests that reach a server after a cut, when their caller has long been told that they failed.
#[tokio::test]
async fn a_call_given_up_while_its_bytes_are_held_never_arrives() {
    let mut plays = JoinSet::new();
    for held in [Held::Requests, Held::Both] {
        for hold_ms in [500, 1000, 2000, 4000, 8000] {
            for is_pooled in [false, true] {
                plays.spawn(give_up(held, Duration::from_millis(hold_ms), is_pooled));
            }
        }
    }
    plays.join_all().await;
}

async fn give_up(held: Held, hold: Duration, is_pooled: bool) {
    let service = service::start(ServiceParams::default()).await.unwrap();
    let link = HeldLink::start(service.address()).await;
    let upstreams = HttpUpstreams::new(&timing());
    let to = target(link.address());
    let mut call = release_call(KEY, CALL_TIMEOUT);
    if is_pooled {
        upstreams.call(&to, &pile_status_call()).await.unwrap();
        call = pile_status_call();
        call.timeout = CALL_TIMEOUT;
    }
    let before = link.arrivals("HTTP/1.1");
    link.set(held);
    let result = upstreams.call(&to, &call).await;
    assert_eq!(result.unwrap_err().kind, UpstreamErrorKind::Silent);
    eventually("the connection is reset", || link.resets() == 1).await;
    sleep(hold.saturating_sub(CALL_TIMEOUT)).await;
    link.set(Held::Nothing);
    sleep(ARRIVAL).await;
    let case = format!("{held:?}, {hold:?}, pooled: {is_pooled}");
    assert_eq!(link.arrivals("HTTP/1.1"), before, "{case}");
}

/// Guards against resets that cut what is still owed to a peer.
#[tokio::test]
async fn connections_whose_exchanges_ended_well_are_closed_in_order() {
    let service = service::start(ServiceParams::default()).await.unwrap();
    let link = HeldLink::start(service.address()).await;
    let upstreams = HttpUpstreams::new(&timing());
    for _ in 0..3 {
        let to = target(link.address());
        upstreams.call(&to, &pile_status_call()).await.unwrap();
    }
    drop(upstreams);
    eventually("the connection is closed", || link.closes() == 1).await;
    assert_eq!(link.resets(), 0);
}

/// Serves one connection: answers once the head of a request has come, and later reads the rest to its end.
async fn answer_early(
    answer: &'static str,
    reads_after: Duration,
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let read = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = vec![0; 64 * 1024];
        let mut read = stream.read(&mut buf).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        sleep(reads_after).await;
        loop {
            match stream.read(&mut buf).await {
                Ok(0) => return read,
                Ok(len) => read += len,
                Err(e) => panic!("the request breaks off after {read} bytes: {e}"),
            }
        }
    });
    (address, read)
}

/// Guards against resets of connections on which the upstream answers first and reads the request afterwards.
#[tokio::test]
async fn a_request_that_was_answered_early_still_arrives_whole() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nwell",
    ];
    for answer in answers {
        let (address, read) = answer_early(answer, Duration::from_millis(1500)).await;
        let upstreams = HttpUpstreams::new(&timing());
        let mut call = release_call(KEY, Duration::from_millis(700));
        call.body = vec![b'x'; BODY_BYTES].into();
        let reply = upstreams.call(&target(address), &call).await.unwrap();
        assert_eq!(&reply.body[..], b"well");
        let read = timeout(LONG_TIMEOUT, read).await.unwrap().unwrap();
        assert!(read > BODY_BYTES, "{read} bytes arrive after {answer}");
    }
}

/// Guards against requests that the kernel delivers for a process that is stopped, which can give nothing up.
#[tokio::test]
async fn the_kernel_stops_sending_for_a_process_that_is_stopped() {
    const STOPPED: Duration = Duration::from_secs(5);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let to = target(listener.local_addr().unwrap());
    // The runtime of the caller does nothing for a while after it has begun to send, like a stopped process.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(async {
            let upstreams = HttpUpstreams::new(&timing());
            let mut call = release_call(KEY, CALL_TIMEOUT);
            call.body = vec![b'x'; 1024 * 1024].into();
            tokio::join!(upstreams.call(&to, &call), async {
                sleep(CALL_TIMEOUT / 3).await;
                std::thread::sleep(STOPPED);
            })
        })
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    // The kernel's limit comes half a second after the deadline.
    sleep(CALL_TIMEOUT + Duration::from_millis(1500)).await;
    let mut buf = vec![0; 64 * 1024];
    let end = async { while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {} };
    let ended = timeout(Duration::from_secs(1), end).await;
    assert!(
        ended.is_ok(),
        "the connection lives on while its process is stopped"
    );
}
