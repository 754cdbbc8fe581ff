//! A controller that offers one document in blocks, answers polls after a short pause, and measures how long each poll
//! takes on the network.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use flamingocroft::{
    domain::Incarnation,
    link::{self, Handler, Identity, LinkSettings, Peer, PeerKey},
    policy::blocks,
    wire::{BLOCK_HASH_BYTES, Body, DocumentBlocks, DocumentIndex, FollowReply},
};
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{PEER_KEY, PreparedInstallation};

const POLL_PAUSE: Duration = Duration::from_millis(20);

pub struct BlockController {
    index: DocumentIndex,
    blocks: Vec<Bytes>,
    replied: Mutex<Option<Instant>>,
    /// From each reply to a poll until the next poll.
    delays: Mutex<Vec<Duration>>,
}

impl BlockController {
    /// Starts it in place of the first controller of an installation, until the token is cancelled.
    pub async fn start(
        prepared: &PreparedInstallation,
        document: &Value,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let address = prepared.peer_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let controller = Arc::new(Self::new(document));
        let own = Identity {
            name: address.ip().to_string().into(),
            incarnation: Incarnation(1),
        };
        let key = PeerKey::new(PEER_KEY.as_bytes()).unwrap();
        let (settings, handler) = (LinkSettings::default(), Arc::clone(&controller));
        tokio::spawn(link::serve(listener, key, own, settings, handler, stop));
        controller
    }

    fn new(document: &Value) -> Self {
        let mut rest = Bytes::from(document.to_string());
        let hash = Bytes::copy_from_slice(&Sha256::digest(&rest));
        let lengths = blocks::cut(&rest);
        let blocks: Vec<_> = lengths.iter().map(|l| rest.split_to(*l)).collect();
        let mut hashes = BytesMut::new();
        for block in &blocks {
            hashes.extend_from_slice(&Sha256::digest(block)[..BLOCK_HASH_BYTES]);
        }
        Self {
            index: DocumentIndex {
                version: document["Version"].as_u64().unwrap(),
                hash,
                lengths: lengths.iter().map(|length| *length as u32).collect(),
                hashes: hashes.freeze(),
            },
            blocks,
            replied: Mutex::default(),
            delays: Mutex::default(),
        }
    }

    /// Takes the measured times, the shortest first.
    pub fn take_delays(&self) -> Vec<Duration> {
        let mut delays = std::mem::take(&mut *self.delays.lock().unwrap());
        delays.sort_unstable();
        delays
    }
}

impl Handler for BlockController {
    async fn handle(&self, _: &Peer, body: Body) -> Option<Body> {
        match body {
            Body::Follow(_) => {
                if let Some(replied) = self.replied.lock().unwrap().take() {
                    self.delays.lock().unwrap().push(replied.elapsed());
                }
                sleep(POLL_PAUSE).await;
                *self.replied.lock().unwrap() = Some(Instant::now());
                Some(Body::FollowReply(FollowReply {
                    version: self.index.version,
                    sends_blocks: true,
                    ..FollowReply::default()
                }))
            }
            Body::DocumentIndexRequest(_) => Some(Body::DocumentIndex(self.index.clone())),
            Body::DocumentBlocksRequest(request) => {
                let blocks = request.blocks.iter().map(|at| &self.blocks[*at as usize]);
                Some(Body::DocumentBlocks(DocumentBlocks {
                    hash: self.index.hash.clone(),
                    bytes: blocks.flatten().copied().collect(),
                }))
            }
            _ => None,
        }
    }
}
