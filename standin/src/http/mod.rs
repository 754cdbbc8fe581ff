//! The HTTP server shared by all stand-ins.

mod reply;
mod socket;

pub(crate) use reply::{
    Body, ConnectionAborted, ErrorResponse, HandlerResult, apply_response_faults, error_response,
    event_stream, json_response, parse_json, sleep_ms,
};

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use socket::Socket;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A running HTTP server. Dropping the handle leaves it running; [`Server::stop`] stops it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    accepted: Arc<AtomicU64>,
    silenced_flag: Arc<Mutex<Arc<AtomicBool>>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds the address and serves requests until stopped.
    pub(crate) async fn start<H, F>(listen: SocketAddr, handler: H) -> anyhow::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("could not listen on {listen}; choose a free address"))?;
        let address = listener.local_addr()?;
        let accepted = Arc::default();
        let silenced_flag = Arc::default();
        let task = tokio::spawn(accept_connections(
            listener,
            handler,
            Arc::clone(&accepted),
            Arc::clone(&silenced_flag),
        ));
        Ok(Self {
            address,
            accepted,
            silenced_flag,
            task,
        })
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections immediately, as the end of an instance does.
    pub(crate) fn stop(&self) {
        self.task.abort();
    }

    /// Silences all open connections permanently without closing them; new connections work.
    pub(crate) fn silence_open_connections(&self) {
        let mut current = self
            .silenced_flag
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        current.store(true, Ordering::Relaxed);
        *current = Arc::default();
    }
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    handler: H,
    count: Arc<AtomicU64>,
    silenced_flag: Arc<Mutex<Arc<AtomicBool>>>,
) where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                count.fetch_add(1, Ordering::Relaxed);
                let flag = Arc::clone(&silenced_flag.lock().unwrap_or_else(PoisonError::into_inner));
                connections.spawn(serve_connection(stream, flag, handler.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, silenced_flag: Arc<AtomicBool>, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(Socket::new(stream, silenced_flag));
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        async move { handler(read_request(req).await?).await }
    });
    // Errors are expected: clients disconnect, and injected faults abort the connection.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn read_request(req: Request<Incoming>) -> Result<Request<Bytes>, ConnectionAborted> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| ConnectionAborted)?;
    Ok(Request::from_parts(head, body.to_bytes()))
}
