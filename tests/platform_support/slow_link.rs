//! A network of limited rate between a gateway and a controller.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Mutex,
    time::{Instant, sleep_until},
};

/// Bytes that pass at once.
const PIECE_BYTES: usize = 4 * 1024;
/// Bytes of which the receiving buffers of the network are made.
const BUFFER_BYTES: u32 = 16 * 1024;
/// Time that a late timer may make up for.
const CREDIT: Duration = Duration::from_millis(20);

/// Forwards connections. All of them share the rate of each direction. Clones are the same network.
#[derive(Clone)]
pub struct SlowLink {
    /// Bits per second, in millions.
    mbit_per_s: f64,
    /// Bytes towards the gateway after which a connection is cut.
    cut_after: u64,
    pub connections: Arc<AtomicU32>,
    /// Bytes that passed towards the gateway.
    pub bytes_down: Arc<AtomicU64>,
    /// When the next bytes may pass, towards the controller and towards the gateway.
    free: [Arc<Mutex<Instant>>; 2],
}

impl SlowLink {
    pub fn new(mbit_per_s: f64) -> Self {
        Self {
            mbit_per_s,
            cut_after: u64::MAX,
            connections: Arc::default(),
            bytes_down: Arc::default(),
            free: [(); 2].map(|()| Arc::new(Mutex::new(Instant::now()))),
        }
    }

    /// Cuts each connection after a number of bytes towards the gateway.
    pub fn cut_after(self, bytes: u64) -> Self {
        Self {
            cut_after: bytes,
            ..self
        }
    }

    /// Begins to forward connections and returns the address for them, which has the same host.
    pub async fn start(self, to: SocketAddr) -> SocketAddr {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
        socket.bind(SocketAddr::new(to.ip(), 0)).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(self.accept(listener, to));
        address
    }

    async fn accept(self, listener: TcpListener, to: SocketAddr) {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            self.connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(self.clone().forward(near, to));
        }
    }

    async fn forward(self, near: TcpStream, to: SocketAddr) {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
        let Ok(far) = socket.connect(to).await else {
            return;
        };
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let count = AtomicU64::new(0);
        tokio::select! {
            () = self.pass(near_read, far_write, &self.free[0], &count, u64::MAX) => {}
            () = self.pass(far_read, near_write, &self.free[1], &self.bytes_down, self.cut_after) => {}
        }
    }

    async fn pass(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        free: &Mutex<Instant>,
        count: &AtomicU64,
        mut left: u64,
    ) {
        let mut buf = [0; PIECE_BYTES];
        while let Ok(len @ 1..) = from.read(&mut buf).await {
            let passes = Duration::from_secs_f64(len as f64 * 8.0 / (self.mbit_per_s * 1e6));
            let mut free = free.lock().await;
            *free = (*free).max(Instant::now() - CREDIT) + passes;
            sleep_until(*free).await;
            drop(free);
            count.fetch_add(len as u64, Ordering::SeqCst);
            left = left.saturating_sub(len as u64);
            if left == 0 || to.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
    }
}
