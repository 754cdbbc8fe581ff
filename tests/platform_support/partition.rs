//! A gateway's connections to servers, which a test can cut off.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use flamingocroft::ports::Dialer;
use futures_util::future::BoxFuture;
use socket2::SockRef;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// What happens to a gateway's connections to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All work.
    None,
    /// Open ones and new ones hang.
    Hang,
    /// Open ones are reset, and new ones hang.
    Reset,
    /// Open ones live on, and new ones are refused.
    LiveOn,
}

/// Opens connections that a test can cut, all or those to some servers.
#[derive(Debug)]
pub struct PartitionDialer {
    cuts: Mutex<Cuts>,
    opened: AtomicU64,
}

#[derive(Debug)]
struct Cuts {
    /// What happens to servers that were not dialled yet.
    default: Cut,
    servers: HashMap<SocketAddr, watch::Sender<Cut>>,
}

impl PartitionDialer {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            cuts: Mutex::new(Cuts {
                default: Cut::None,
                servers: HashMap::new(),
            }),
            opened: AtomicU64::new(0),
        })
    }

    pub fn set(&self, cut: Cut) {
        let mut cuts = self.cuts.lock().unwrap();
        cuts.default = cut;
        for server in cuts.servers.values() {
            server.send_replace(cut);
        }
    }

    /// Sets what happens to the connections to one server.
    pub fn set_for(&self, server: SocketAddr, cut: Cut) {
        self.server(server).send_replace(cut);
    }

    fn server(&self, address: SocketAddr) -> watch::Sender<Cut> {
        let mut cuts = self.cuts.lock().unwrap();
        let default = cuts.default;
        let added = || watch::Sender::new(default);
        cuts.servers.entry(address).or_insert_with(added).clone()
    }

    /// Returns the number of connections that were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let server_cut = self.server(address);
        let mut cut = server_cut.subscribe();
        if *cut.borrow() == Cut::LiveOn {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let healed = cut.wait_for(|cut| *cut == Cut::None).await;
        healed.map_err(io::Error::other)?;
        let server = TcpStream::connect(address).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let gateway = TcpStream::connect(listener.local_addr()?).await?;
        let (near, _) = listener.accept().await?;
        for stream in [&server, &gateway, &near] {
            stream.set_nodelay(true)?;
        }
        self.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(carry(near, server, cut));
        Ok(gateway)
    }
}

impl Dialer for PartitionDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        Box::pin(self.open(address))
    }
}

/// Copies between a gateway and a server unless the connection is cut.
async fn carry(mut near: TcpStream, mut server: TcpStream, mut cut: watch::Receiver<Cut>) {
    loop {
        let disturbed = |cut: &Cut| matches!(cut, Cut::Hang | Cut::Reset);
        let state = tokio::select! {
            copied = copy_bidirectional(&mut near, &mut server) => {
                // The end of a connection that breaks off is passed on as a reset.
                if copied.is_err() {
                    let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
                }
                return;
            }
            state = cut.wait_for(disturbed) => state.map(|state| *state),
        };
        if !matches!(state, Ok(Cut::Hang)) {
            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
            return;
        }
        if cut.wait_for(|cut| *cut == Cut::None).await.is_err() {
            return;
        }
    }
}
