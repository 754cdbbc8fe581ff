//! Short messages between processes of one installation that may be lost: each is a datagram with a proof by
//! the shared key. A recorded one can be sent again, so a message says only what does little harm when it is
//! late or comes twice.

use std::{io, net::SocketAddr};

use prost::Message;
use tokio::net::UdpSocket;

use super::handshake::PeerKey;
use crate::wire::{PromptAnnouncement, SignedDatagram};

/// Largest datagram that is read; a message is a tenth of it.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// A socket for datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: PeerKey,
}

impl DatagramSocket {
    /// Binds an address.
    pub async fn bind(address: SocketAddr, key: PeerKey) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // Sending without waiting fails until the socket is known to be writable.
        socket.writable().await?;
        Ok(Self { socket, key })
    }

    /// Returns the address that is bound.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message to some processes, without waiting. Returns to how many it could not be sent.
    pub fn send(&self, told: &PromptAnnouncement, to: &[SocketAddr]) -> usize {
        let payload = told.encode_to_vec();
        let proof = self.key.sign_datagram(&payload);
        let signed = SignedDatagram {
            payload: payload.into(),
            proof: proof.into(),
        };
        let bytes = signed.encode_to_vec();
        let failed = |address: &&SocketAddr| self.socket.try_send_to(&bytes, **address).is_err();
        to.iter().filter(failed).count()
    }

    /// Waits for the next datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is no message, or was not made with the key.
    pub async fn receive(&self) -> io::Result<PromptAnnouncement> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        let signed = SignedDatagram::decode(&buf[..len]).map_err(io::Error::other)?;
        self.key.verify_datagram(&signed.payload, &signed.proof)?;
        PromptAnnouncement::decode(signed.payload).map_err(io::Error::other)
    }
}
