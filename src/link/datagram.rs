//! Short messages between the processes of an installation that may be lost. Each is a UDP datagram that is
//! authenticated with the shared key. There is no replay protection, so messages must be harmless when they
//! arrive late or twice.

use std::{io, net::SocketAddr};

use prost::Message;
use tokio::net::UdpSocket;

use super::handshake::PeerKey;
use crate::wire::{PromptAnnouncement, SignedDatagram};

/// Size of the receive buffer; messages are about a tenth of it.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// A UDP socket for authenticated datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: PeerKey,
}

impl DatagramSocket {
    /// Binds a socket to an address. All senders must use the same key.
    pub async fn bind(address: SocketAddr, key: PeerKey) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // `try_send_to` fails until tokio has seen the socket become writable.
        socket.writable().await?;
        Ok(Self { socket, key })
    }

    /// Returns the local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message to several addresses without waiting. Returns the number of addresses for which
    /// sending failed.
    pub fn send(&self, message: &PromptAnnouncement, to: &[SocketAddr]) -> usize {
        let payload = message.encode_to_vec();
        let proof = self.key.sign_datagram(&payload);
        let signed = SignedDatagram {
            payload: payload.into(),
            proof: proof.into(),
        };
        let bytes = signed.encode_to_vec();
        let failed = |address: &&SocketAddr| self.socket.try_send_to(&bytes, **address).is_err();
        to.iter().filter(failed).count()
    }

    /// Waits for the next datagram and verifies it.
    ///
    /// # Errors
    ///
    /// Fails if the datagram cannot be decoded or was not authenticated with the shared key. The socket stays
    /// usable.
    pub async fn receive(&self) -> io::Result<PromptAnnouncement> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        let signed = SignedDatagram::decode(&buf[..len]).map_err(io::Error::other)?;
        self.key.verify_datagram(&signed.payload, &signed.proof)?;
        PromptAnnouncement::decode(signed.payload).map_err(io::Error::other)
    }
}
