//! Mutual challenge-response authentication with a shared key. Each side proves that it holds the key by an
//! HMAC over the other's nonce, so the key is never transmitted and a recorded proof cannot be replayed.

use std::{fmt, io, path::Path, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::Framed;

use super::{activity::Watched, codec::FrameCodec};
use crate::{
    domain::Incarnation,
    wire::{Body, Challenge, Frame, Hello, Welcome},
};

const NONCE_BYTES: usize = 32;
const MIN_KEY_BYTES: usize = 16;
/// HMAC label that separates datagram proofs from handshake proofs.
const DATAGRAM_LABEL: &[u8] = b"datagram";
/// Size of a datagram's proof: the HMAC truncated to half its length, as RFC 2104 allows.
const DATAGRAM_PROOF_BYTES: usize = 16;

pub(super) type Connection<T> = Framed<Watched<T>, FrameCodec>;

/// The key that all processes of an installation share. Its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// Creates a key from bytes without surrounding white space. Returns `None` if fewer than 16 bytes
    /// remain.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.trim_ascii();
        (bytes.len() >= MIN_KEY_BYTES).then(|| Self(bytes.into()))
    }

    /// Reads the key from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or holds fewer than 16 bytes.
    pub fn read(path: &Path) -> io::Result<Self> {
        let bytes = std::fs::read(path)?;
        Self::new(&bytes).ok_or_else(|| {
            let message = format!(
                "{} holds fewer than {MIN_KEY_BYTES} bytes; write a longer random key into it",
                path.display()
            );
            io::Error::new(io::ErrorKind::InvalidData, message)
        })
    }

    /// Starts an HMAC. The label gives domain separation between kinds of proofs.
    fn labeled_mac(&self, label: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any size");
        mac.update(label);
        mac
    }

    fn handshake_mac(&self, label: &[u8], nonce: &[u8], identity: &Identity) -> Hmac<Sha256> {
        let mut mac = self.labeled_mac(label);
        mac.update(nonce);
        mac.update(&identity.incarnation.0.to_be_bytes());
        mac.update(identity.name.as_bytes());
        mac
    }

    fn handshake_proof(&self, label: &[u8], nonce: &[u8], identity: &Identity) -> Vec<u8> {
        self.handshake_mac(label, nonce, identity)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns the proof that authenticates a datagram's payload.
    pub(super) fn sign_datagram(&self, payload: &[u8]) -> Vec<u8> {
        let mac = self.datagram_mac(payload).finalize().into_bytes();
        mac[..DATAGRAM_PROOF_BYTES].to_vec()
    }

    /// Fails if the payload was not authenticated with this key.
    pub(super) fn verify_datagram(&self, payload: &[u8], proof: &[u8]) -> io::Result<()> {
        let wrong =
            || auth_error("a datagram has an invalid proof; give all processes the same key file");
        if proof.len() != DATAGRAM_PROOF_BYTES {
            return Err(wrong());
        }
        let mac = self.datagram_mac(payload);
        mac.verify_truncated_left(proof).map_err(|_| wrong())
    }

    fn datagram_mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.labeled_mac(DATAGRAM_LABEL);
        mac.update(payload);
        mac
    }

    fn verify_handshake(
        &self,
        label: &[u8],
        nonce: &[u8],
        identity: &Identity,
        proof: &[u8],
    ) -> io::Result<()> {
        self.handshake_mac(label, nonce, identity)
            .verify_slice(proof)
            .map_err(|_| {
                auth_error("the peer's proof is invalid; give both sides the same key file")
            })
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

/// The identity that a process presents to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The process's name in the settings.
    pub name: Arc<str>,
    /// Increases with each start of the process.
    pub incarnation: Incarnation,
}

const CONNECTING_LABEL: &[u8] = b"connect";
const ACCEPTING_LABEL: &[u8] = b"accept";

pub(super) async fn connect(
    connection: &mut Connection<impl AsyncRead + AsyncWrite + Unpin>,
    key: &PeerKey,
    local: &Identity,
) -> io::Result<Identity> {
    let Body::Challenge(challenge) = receive_body(connection).await? else {
        return Err(auth_error("the peer did not start with a challenge"));
    };
    let nonce = random_nonce();
    let hello = Hello {
        name: local.name.to_string(),
        incarnation: local.incarnation.0,
        proof: key.handshake_proof(CONNECTING_LABEL, &challenge.nonce, local),
        nonce: nonce.clone(),
    };
    send_body(connection, Body::Hello(hello)).await?;
    let Body::Welcome(welcome) = receive_body(connection).await? else {
        return Err(auth_error("the peer rejected this process's key"));
    };
    let peer = identity(welcome.name, welcome.incarnation);
    key.verify_handshake(ACCEPTING_LABEL, &nonce, &peer, &welcome.proof)?;
    Ok(peer)
}

pub(super) async fn accept(
    connection: &mut Connection<impl AsyncRead + AsyncWrite + Unpin>,
    key: &PeerKey,
    local: &Identity,
) -> io::Result<Identity> {
    let nonce = random_nonce();
    let challenge = Challenge {
        nonce: nonce.clone(),
    };
    send_body(connection, Body::Challenge(challenge)).await?;
    let Body::Hello(hello) = receive_body(connection).await? else {
        return Err(auth_error("the peer did not answer the challenge"));
    };
    let peer = identity(hello.name, hello.incarnation);
    key.verify_handshake(CONNECTING_LABEL, &nonce, &peer, &hello.proof)?;
    let welcome = Welcome {
        name: local.name.to_string(),
        incarnation: local.incarnation.0,
        proof: key.handshake_proof(ACCEPTING_LABEL, &hello.nonce, local),
    };
    send_body(connection, Body::Welcome(welcome)).await?;
    Ok(peer)
}

fn identity(name: String, incarnation: u64) -> Identity {
    Identity {
        name: name.into(),
        incarnation: Incarnation(incarnation),
    }
}

fn random_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_BYTES]>().to_vec()
}

async fn receive_body(
    connection: &mut Connection<impl AsyncRead + AsyncWrite + Unpin>,
) -> io::Result<Body> {
    let frame = connection
        .next()
        .await
        .ok_or_else(|| auth_error("the peer closed the connection during authentication"))??;
    frame
        .body
        .ok_or_else(|| auth_error("the peer sent an unknown message"))
}

async fn send_body(
    connection: &mut Connection<impl AsyncRead + AsyncWrite + Unpin>,
    body: Body,
) -> io::Result<()> {
    let frame = Frame {
        body: Some(body),
        ..Frame::default()
    };
    connection.send(frame).await
}

fn auth_error(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message)
}
