//! The HTTP server for interfaces that need control over each connection.

use std::{
    collections::HashMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, Once},
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::adapters::{CallerBody, EndCause, Observer, ServerOptions, serve};
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{HeaderMap, Request, Response, body::Frame, header::HeaderValue, service::service_fn};
use log::kv::{Key, Value, VisitSource};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_ID: &str = "x-test-request-id";
/// Length of a response that does not fit into the buffers of a connection.
const LONG_BYTES: usize = 32 * 1024 * 1024;

type TestBody = UnsyncBoxBody<Bytes, io::Error>;

fn whole(text: &'static str) -> Response<TestBody> {
    let body = Full::from(text).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}

/// A response of a piece and what follows it.
fn piece_and(
    end: impl futures_util::Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
) -> Response<TestBody> {
    let piece = stream::once(async { Ok(Frame::data(Bytes::from_static(b"piece"))) });
    Response::new(StreamBody::new(piece.chain(end)).boxed_unsync())
}

async fn respond(req: Request<CallerBody>) -> Response<TestBody> {
    let path = req.uri().path().to_owned();
    assert_ne!(path, "/panics", "the handler failed");
    // What cannot be read is not answered.
    if req.into_body().collect().await.is_err() {
        return std::future::pending().await;
    }
    match path.as_str() {
        "/silent" => std::future::pending().await,
        "/open" => piece_and(stream::pending()),
        "/broken" => piece_and(stream::once(async {
            // Waits until the piece before was sent.
            sleep(Duration::from_millis(100)).await;
            Err(io::Error::other("the source failed"))
        })),
        "/body-panics" => piece_and(stream::once(async {
            // Waits until the piece before was sent.
            sleep(Duration::from_millis(100)).await;
            panic!("the body failed")
        })),
        "/long" => {
            let body = Full::from(vec![b'x'; LONG_BYTES]).map_err(|never| match never {});
            Response::new(body.boxed_unsync())
        }
        _ => whole("done"),
    }
}

#[derive(Default)]
struct Counts(Mutex<Vec<EndCause>>);

impl Observer for Counts {
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(REQUEST_ID).cloned()
    }

    fn mark_failure(&self, _: Option<&HeaderValue>, headers: &mut HeaderMap) {
        headers.insert("x-test-failure", HeaderValue::from_static("1"));
    }

    fn count_early_end(&self, cause: EndCause) {
        self.0.lock().unwrap().push(cause);
    }
}

struct TestServer {
    address: SocketAddr,
    counts: Arc<Counts>,
    stop: CancellationToken,
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl TestServer {
    async fn start(options: ServerOptions) -> Self {
        Logger::install();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (counts, stop) = (Arc::<Counts>::default(), CancellationToken::new());
        let service = service_fn(|req: Request<CallerBody>| {
            assert_ne!(req.uri().path(), "/panics-at-once", "the handler failed");
            async { Ok::<_, Infallible>(respond(req).await) }
        });
        let options = move || options.clone();
        tokio::spawn(serve(
            listener,
            options,
            counts.clone(),
            service,
            stop.clone(),
        ));
        Self {
            address,
            counts,
            stop,
        }
    }

    /// Sends a request with a body of the announced length, of which only `sent` bytes are sent.
    async fn send(&self, path: &str, id: &str, announced: usize, sent: usize) -> TcpStream {
        let mut caller = TcpStream::connect(self.address).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a\r\n{REQUEST_ID}: {id}\r\nContent-Length: {announced}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&vec![b'b'; sent]).await.unwrap();
        caller
    }

    /// Waits for a structured line of a request, and returns its fields.
    async fn line(&self, event: &str, id: &str) -> HashMap<String, String> {
        let is_wanted = |line: &&HashMap<String, String>| {
            let field = |name, value| line.get(name).is_some_and(|found| found == value);
            field("event", event) && field("request", id)
        };
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            if let Some(line) = LINES.lock().unwrap().iter().find(is_wanted) {
                return line.clone();
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("no line {event} of {id}");
    }

    async fn assert_report(&self, id: &str, stage: &str, cause: EndCause) {
        let line = self.line("connection.ended_early", id).await;
        assert_eq!(line["stage"], stage, "{line:?}");
        assert_eq!(line["cause"], name(cause), "{line:?}");
        assert_eq!(*self.counts.0.lock().unwrap(), [cause], "{line:?}");
        let sent: u64 = line["sent_bytes"].parse().unwrap();
        assert_eq!(sent > 0, stage == "Answering", "{line:?}");
    }
}

fn name(cause: EndCause) -> &'static str {
    match cause {
        EndCause::CallerClosed => "caller_closed",
        EndCause::CallerReset => "caller_reset",
        EndCause::RequestTimeout => "request_timeout",
        EndCause::ResponseTimeout => "response_timeout",
        EndCause::BodyFailed => "body_failed",
        EndCause::Shutdown => "shutdown",
        EndCause::Panicked => "panicked",
        EndCause::Other => "other",
    }
}

/// The structured lines of this process.
static LINES: Mutex<Vec<HashMap<String, String>>> = Mutex::new(Vec::new());

struct Logger;

impl Logger {
    fn install() {
        static INSTALLED: Once = Once::new();
        INSTALLED.call_once(|| {
            log::set_logger(&Logger).unwrap();
            log::set_max_level(log::LevelFilter::Info);
        });
    }
}

struct Fields(HashMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields(HashMap::new());
        record.key_values().visit(&mut fields).unwrap();
        fields.0.insert("message".into(), record.args().to_string());
        LINES.lock().unwrap().push(fields.0);
    }

    fn flush(&self) {}
}

/// Reads until the text has arrived.
async fn read_until(caller: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let wait = async {
        while !String::from_utf8_lossy(&read).contains(text) {
            assert_ne!(caller.read_buf(&mut read).await.unwrap(), 0, "{read:?}");
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the text did not arrive");
    String::from_utf8(read).unwrap()
}

fn quick() -> ServerOptions {
    ServerOptions {
        idle_timeout: Duration::from_millis(300),
        drain_timeout: Duration::from_millis(100),
        ..ServerOptions::default()
    }
}

#[tokio::test]
async fn a_caller_that_closes_before_the_answer_is_reported() {
    let server = TestServer::start(quick()).await;
    drop(server.send("/silent", "closes", 9, 9).await);
    server
        .assert_report("closes", "Waiting", EndCause::CallerClosed)
        .await;
}

#[tokio::test]
async fn a_caller_that_closes_within_the_answer_is_reported() {
    let server = TestServer::start(quick()).await;
    let mut caller = server.send("/open", "closes-within", 9, 9).await;
    read_until(&mut caller, "piece").await;
    drop(caller);
    server
        .assert_report("closes-within", "Answering", EndCause::CallerClosed)
        .await;
}

#[tokio::test]
async fn a_caller_that_resets_is_reported() {
    let server = TestServer::start(quick()).await;
    let caller = server.send("/silent", "resets", 9, 9).await;
    // The request has to be read before the reset discards it.
    sleep(Duration::from_millis(100)).await;
    caller.set_zero_linger().unwrap();
    drop(caller);
    server
        .assert_report("resets", "Waiting", EndCause::CallerReset)
        .await;
}

#[tokio::test]
async fn a_response_body_that_fails_is_reported() {
    let server = TestServer::start(quick()).await;
    let mut caller = server.send("/broken", "broken", 9, 9).await;
    read_until(&mut caller, "piece").await;
    server
        .assert_report("broken", "Answering", EndCause::BodyFailed)
        .await;
    let line = server.line("connection.ended_early", "broken").await;
    assert!(line["message"].contains("the source failed"), "{line:?}");
}

#[tokio::test]
async fn a_caller_that_does_not_take_its_answer_is_reported() {
    let server = TestServer::start(quick()).await;
    let _deaf = server.send("/long", "deaf", 9, 9).await;
    server
        .assert_report("deaf", "Answering", EndCause::ResponseTimeout)
        .await;
}

#[tokio::test]
async fn connections_cut_at_shutdown_are_reported_with_the_stage_of_their_request() {
    for (path, sent, stage) in [("/done", 4, "ReadingBody"), ("/silent", 9, "Waiting")] {
        let server = TestServer::start(quick()).await;
        let _caller = server.send(path, stage, 9, sent).await;
        sleep(Duration::from_millis(100)).await;
        server.stop.cancel();
        server.assert_report(stage, stage, EndCause::Shutdown).await;
    }
}

#[tokio::test]
async fn whole_answers_and_idle_connections_are_not_reported() {
    let server = TestServer::start(quick()).await;
    let mut kept = server.send("/done", "whole", 9, 9).await;
    read_until(&mut kept, "done").await;
    let mut closes = server.send("/done", "whole", 9, 9).await;
    read_until(&mut closes, "done").await;
    drop(closes);
    // The idle timeout ends the kept connection.
    let mut rest = Vec::new();
    timeout(TEST_TIMEOUT, kept.read_to_end(&mut rest))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(*server.counts.0.lock().unwrap(), []);
}

#[tokio::test]
async fn a_panic_before_the_answer_gives_the_caller_a_502_and_leaves_the_connection_usable() {
    let server = TestServer::start(quick()).await;
    for path in ["/panics", "/panics-at-once"] {
        let mut caller = server.send(path, path, 9, 9).await;
        let answer = read_until(&mut caller, "\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(answer.contains("x-test-failure: 1"), "{answer}");
        let line = server.line("request.panicked", path).await;
        assert!(line["message"].contains("the handler failed"), "{line:?}");
        let next = b"GET /done HTTP/1.1\r\nHost: a\r\n\r\n";
        caller.write_all(next).await.unwrap();
        read_until(&mut caller, "done").await;
    }
    assert_eq!(*server.counts.0.lock().unwrap(), []);
}

#[tokio::test]
async fn a_panic_within_the_answer_ends_the_connection_and_is_reported() {
    let server = TestServer::start(quick()).await;
    let mut caller = server.send("/body-panics", "body-panics", 9, 9).await;
    let mut answer = Vec::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut answer)).await;
    read.expect("the connection stays open").unwrap();
    assert!(!answer.ends_with(b"0\r\n\r\n"), "the answer looks complete");
    let line = server.line("request.panicked", "body-panics").await;
    assert!(line["message"].contains("the body failed"), "{line:?}");
    server
        .assert_report("body-panics", "Answering", EndCause::Panicked)
        .await;
}

/// Guards against the idle timeout of a connection whose last bytes of a response are not yet taken.
#[tokio::test]
async fn an_answer_that_its_caller_takes_slowly_is_not_cut_by_the_idle_timeout() {
    let server = TestServer::start(quick()).await;
    let mut caller = server.send("/long", "slow", 9, 9).await;
    let mut taken = 0;
    let mut buf = vec![0; LONG_BYTES / 64];
    while taken < LONG_BYTES {
        // In all several times the idle timeout.
        sleep(Duration::from_millis(20)).await;
        match timeout(TEST_TIMEOUT, caller.read(&mut buf)).await.unwrap() {
            Ok(0) | Err(_) => panic!("the answer is cut after {taken} bytes"),
            Ok(read) => taken += read,
        }
    }
}
