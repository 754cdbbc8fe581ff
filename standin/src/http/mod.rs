//! The HTTP server under all stand-ins.

mod reply;
mod socket;

pub(crate) use reply::{Body, Fault, Refused, Reply, apply, error, json, parse, sleep_ms, stream};

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

const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A listening stand-in. Dropping it leaves it running; [`Server::stop`] ends it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    accepted: Arc<AtomicU64>,
    silenced: Arc<Mutex<Arc<AtomicBool>>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves requests until it is stopped.
    pub(crate) async fn start<H, F>(listen: SocketAddr, handler: H) -> anyhow::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("could not listen on {listen}; choose a free address"))?;
        let address = listener.local_addr()?;
        let accepted = Arc::default();
        let silenced = Arc::default();
        let task = tokio::spawn(accept(
            listener,
            handler,
            Arc::clone(&accepted),
            Arc::clone(&silenced),
        ));
        Ok(Self {
            address,
            accepted,
            silenced,
            task,
        })
    }

    /// Returns how many connections were accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections at once, as the end of an instance does.
    pub(crate) fn stop(&self) {
        self.task.abort();
    }

    /// Makes all open connections silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        let mut current = self.silenced.lock().unwrap_or_else(PoisonError::into_inner);
        current.store(true, Ordering::Relaxed);
        *current = Arc::default();
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    handler: H,
    count: Arc<AtomicU64>,
    silenced: Arc<Mutex<Arc<AtomicBool>>>,
) where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                count.fetch_add(1, Ordering::Relaxed);
                let flag = Arc::clone(&silenced.lock().unwrap_or_else(PoisonError::into_inner));
                connections.spawn(converse(stream, flag, handler.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn converse<H, F>(stream: TcpStream, silenced: Arc<AtomicBool>, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(Socket::new(stream, silenced));
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        async move { handler(whole(req).await?).await }
    });
    // A client that goes away and a fault shown on purpose both end the connection with an error.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn whole(req: Request<Incoming>) -> Result<Request<Bytes>, Fault> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, BODY_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|_| Fault)?;
    Ok(Request::from_parts(head, body.to_bytes()))
}
