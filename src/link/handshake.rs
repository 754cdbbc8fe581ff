//! Mutual authentication with a shared key. Each side proves that it holds the key by an HMAC of the
//! other's random number, so that the key never travels and a recorded proof is useless.

use std::{fmt, io, path::Path, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::codec::FrameCodec;
use crate::{
    domain::Incarnation,
    wire::{Body, Challenge, Frame, Hello, Welcome},
};

const NONCE_BYTES: usize = 32;
const MIN_KEY_BYTES: usize = 16;
/// Keeps proofs of datagrams apart from those of handshakes.
const MESSAGE_ROLE: &[u8] = b"datagram";
/// Bytes of a datagram's proof: half of the hash, as RFC 2104 allows.
const MESSAGE_PROOF_BYTES: usize = 16;

pub(super) type Connection = Framed<TcpStream, FrameCodec>;

/// The key that all processes of one installation share. Its text never appears in logs.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// Takes the key from bytes, without surrounding white space.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.trim_ascii();
        (bytes.len() >= MIN_KEY_BYTES).then(|| Self(bytes.into()))
    }

    /// Reads the key from a file.
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

    /// Begins a proof; the role keeps proofs of one kind from being taken for those of another.
    fn begin(&self, role: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any size");
        mac.update(role);
        mac
    }

    fn mac(&self, role: &[u8], nonce: &[u8], who: &Identity) -> Hmac<Sha256> {
        let mut mac = self.begin(role);
        mac.update(nonce);
        mac.update(&who.incarnation.0.to_be_bytes());
        mac.update(who.name.as_bytes());
        mac
    }

    fn prove(&self, role: &[u8], nonce: &[u8], who: &Identity) -> Vec<u8> {
        self.mac(role, nonce, who).finalize().into_bytes().to_vec()
    }

    /// Returns a proof that a message was made with the key.
    pub(super) fn sign(&self, message: &[u8]) -> Vec<u8> {
        let whole = self.message_mac(message).finalize().into_bytes();
        whole[..MESSAGE_PROOF_BYTES].to_vec()
    }

    /// Fails if a message was not made with the key.
    pub(super) fn check(&self, message: &[u8], proof: &[u8]) -> io::Result<()> {
        let wrong = || denied("a datagram's proof is wrong; give all processes the same key file");
        if proof.len() != MESSAGE_PROOF_BYTES {
            return Err(wrong());
        }
        let mac = self.message_mac(message);
        mac.verify_truncated_left(proof).map_err(|_| wrong())
    }

    fn message_mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.begin(MESSAGE_ROLE);
        mac.update(message);
        mac
    }

    fn verify(&self, role: &[u8], nonce: &[u8], who: &Identity, proof: &[u8]) -> io::Result<()> {
        self.mac(role, nonce, who)
            .verify_slice(proof)
            .map_err(|_| denied("the peer's proof is wrong; give both sides the same key file"))
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

/// Who a process is to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name in the settings.
    pub name: Arc<str>,
    /// Grows with each start.
    pub incarnation: Incarnation,
}

const CONNECTING: &[u8] = b"connect";
const ACCEPTING: &[u8] = b"accept";

pub(super) async fn connect(
    connection: &mut Connection,
    key: &PeerKey,
    own: &Identity,
) -> io::Result<Identity> {
    let Body::Challenge(challenge) = next(connection).await? else {
        return Err(denied("the peer does not begin with a challenge"));
    };
    let nonce = random_nonce();
    let hello = Hello {
        name: own.name.to_string(),
        incarnation: own.incarnation.0,
        proof: key.prove(CONNECTING, &challenge.nonce, own),
        nonce: nonce.clone(),
    };
    send(connection, Body::Hello(hello)).await?;
    let Body::Welcome(welcome) = next(connection).await? else {
        return Err(denied("the peer refuses this process's key"));
    };
    let peer = identity(welcome.name, welcome.incarnation);
    key.verify(ACCEPTING, &nonce, &peer, &welcome.proof)?;
    Ok(peer)
}

pub(super) async fn accept(
    connection: &mut Connection,
    key: &PeerKey,
    own: &Identity,
) -> io::Result<Identity> {
    let nonce = random_nonce();
    let challenge = Challenge {
        nonce: nonce.clone(),
    };
    send(connection, Body::Challenge(challenge)).await?;
    let Body::Hello(hello) = next(connection).await? else {
        return Err(denied("the peer does not answer the challenge"));
    };
    let peer = identity(hello.name, hello.incarnation);
    key.verify(CONNECTING, &nonce, &peer, &hello.proof)?;
    let welcome = Welcome {
        name: own.name.to_string(),
        incarnation: own.incarnation.0,
        proof: key.prove(ACCEPTING, &hello.nonce, own),
    };
    send(connection, Body::Welcome(welcome)).await?;
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

async fn next(connection: &mut Connection) -> io::Result<Body> {
    let frame = connection
        .next()
        .await
        .ok_or_else(|| denied("the peer closed the connection during authentication"))??;
    frame
        .body
        .ok_or_else(|| denied("the peer sent an unknown message"))
}

async fn send(connection: &mut Connection, body: Body) -> io::Result<()> {
    let frame = Frame {
        body: Some(body),
        ..Frame::default()
    };
    connection.send(frame).await
}

fn denied(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, message)
}
