//! A gateway's connections to servers, which a test can cut off.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
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

/// Opens connections that a test can cut.
#[derive(Debug)]
pub struct PartitionDialer {
    cut: watch::Sender<Cut>,
    opened: AtomicU64,
}

impl PartitionDialer {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            cut: watch::Sender::new(Cut::None),
            opened: AtomicU64::new(0),
        })
    }

    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }

    /// Returns the number of connections that were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let mut cut = self.cut.subscribe();
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
        tokio::spawn(carry(near, server, self.cut.subscribe()));
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
