//! Fetches the published document from the controllers. It is fetched in blocks with a task of its own, so that polls,
//! quotas and origins go on meanwhile. Blocks that were fetched stay, whatever happens to a link or a controller and
//! even if the document changes, so that each fetch continues where the last one stopped. See docs/DESIGN.md.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};
use sha2::{Digest, Sha256};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    link::{Link, LinkError},
    policy::{blocks::MAX_BLOCK_BYTES, transfer_window::TransferWindow},
    wire::{
        BLOCK_HASH_BYTES, Body, DocumentBlocks, DocumentBlocksRequest, DocumentIndex,
        DocumentIndexRequest, DocumentRequest, MAX_FRAME_BYTES,
    },
};

/// Timeout of a call for the index or for some blocks. A silent link ends it sooner.
const PART_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call for a whole document, which controllers of earlier versions send. A silent link ends it sooner.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a controller failed to send the document.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a controller has.
#[derive(Clone, Debug)]
struct Offer {
    version: u64,
    /// Whether the controller sends blocks; one of an earlier version sends whole documents only.
    sends_blocks: bool,
    link: Link,
}

/// Why a document was not fetched.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error("the controller sent another message than the one asked for")]
    UnexpectedReply,
    #[error("the index of the document contradicts itself")]
    InvalidIndex,
    #[error("a block differs from its hash")]
    WrongBlock,
    #[error("the document differs from its hash")]
    WrongDocument,
    #[error("a newer document was published meanwhile")]
    Superseded,
}

/// The documents that controllers offer, and the blocks that were fetched.
#[derive(Debug, Default)]
pub(super) struct Documents {
    offers: Mutex<BTreeMap<String, Offer>>,
    offered: Notify,
    blocks: Mutex<Blocks>,
}

type BlockHash = [u8; BLOCK_HASH_BYTES];

#[derive(Debug, Default)]
struct Blocks {
    /// The blocks of the last document that was fetched.
    held: HashMap<BlockHash, Bytes>,
    /// Further blocks of the document that is being fetched.
    fetched: HashMap<BlockHash, Bytes>,
}

impl Blocks {
    fn get(&self, hash: &BlockHash) -> Option<&Bytes> {
        self.fetched.get(hash).or_else(|| self.held.get(hash))
    }
}

impl Documents {
    /// Notes which document a controller has.
    pub(super) fn offer(&self, controller: &str, link: &Link, version: u64, sends_blocks: bool) {
        let offer = Offer {
            version,
            sends_blocks,
            link: link.clone(),
        };
        self.offers().insert(controller.to_owned(), offer);
        self.offered.notify_one();
    }

    /// Returns the newest version that a controller offers and that is not known to be unavailable there.
    pub(super) fn newest_offer(&self) -> u64 {
        let offers = self.offers();
        let versions = offers.values().map(|offer| offer.version);
        versions.max().unwrap_or_default()
    }

    /// Fetches each newer document that is offered and passes it on with the name of its controller and its version.
    pub(super) async fn run(&self, held_version: u64, mut apply: impl FnMut(&str, u64, &Bytes)) {
        let mut held_version = held_version;
        loop {
            let Some((name, offer)) = self.best_offer(held_version) else {
                self.offered.notified().await;
                continue;
            };
            let begun = Instant::now();
            match self.fetch(&offer).await {
                Ok((version, document)) => {
                    log::info!(
                        event = "document.fetched", version = version, controller = name.as_str(),
                        bytes = document.len(), took_ms = begun.elapsed().as_millis() as u64;
                        "ingress: fetched document version {version} from controller {name}"
                    );
                    if version > held_version {
                        held_version = version;
                        apply(&name, version, &document);
                    }
                    // The controller may have less than it offered after a restart; its next reply tells.
                    self.withdraw_offer(&name, offer.version);
                }
                Err(FetchError::Superseded) => {
                    log::info!(
                        event = "document.superseded", version = offer.version,
                        controller = name.as_str(), blocks = self.blocks().fetched.len();
                        "ingress: a document newer than version {} was published meanwhile", offer.version
                    );
                    self.withdraw_offer(&name, offer.version);
                }
                Err(e) => {
                    log::warn!(
                        event = "document.not_fetched", version = offer.version,
                        controller = name.as_str(), error:% = e, blocks = self.blocks().fetched.len();
                        "ingress: fetching the document from controller {name} failed: {e}"
                    );
                    self.withdraw_offer(&name, offer.version);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the newest of the offers that are newer than a version. Among equals, one that sends blocks goes first,
    /// then chance decides, so that not all gateways ask the same controller.
    fn best_offer(&self, held_version: u64) -> Option<(String, Offer)> {
        let offers = self.offers();
        let newer = offers
            .iter()
            .filter(|(_, offer)| offer.version > held_version);
        let best = newer
            .max_by_key(|(_, offer)| (offer.version, offer.sends_blocks, rand::random::<u32>()));
        best.map(|(name, offer)| (name.clone(), offer.clone()))
    }

    /// Removes an offer, unless it was renewed with a newer version.
    fn withdraw_offer(&self, name: &str, version: u64) {
        let mut offers = self.offers();
        if offers.get(name).is_some_and(|o| o.version <= version) {
            offers.remove(name);
        }
    }

    async fn fetch(&self, offer: &Offer) -> Result<(u64, Bytes), FetchError> {
        if !offer.sends_blocks {
            let request = Body::DocumentRequest(DocumentRequest {});
            return match offer.link.call(request, WHOLE_TIMEOUT).await? {
                Body::Document(document) => Ok((document.version, document.document)),
                _ => Err(FetchError::UnexpectedReply),
            };
        }
        let request = Body::DocumentIndexRequest(DocumentIndexRequest {});
        let Body::DocumentIndex(index) = offer.link.call(request, PART_TIMEOUT).await? else {
            return Err(FetchError::UnexpectedReply);
        };
        let hashes = block_hashes(&index)?;
        self.fetch_blocks(&offer.link, &index, &hashes).await?;
        let document = self.assemble(&index, &hashes)?;
        Ok((index.version, document))
    }

    /// Fetches the blocks of a document that are not held yet.
    async fn fetch_blocks(
        &self,
        link: &Link,
        index: &DocumentIndex,
        hashes: &[BlockHash],
    ) -> Result<(), FetchError> {
        let mut missing = self.missing_blocks(hashes).into_iter().peekable();
        let mut window = TransferWindow::default();
        let mut calls = FuturesUnordered::new();
        let (begun, mut bytes_in_flight) = (Instant::now(), 0);
        loop {
            while missing.peek().is_some() && bytes_in_flight < window.bytes() {
                let (mut blocks, mut bytes) = (Vec::new(), 0);
                while let Some(block) = missing.next_if(|_| bytes < window.part_bytes()) {
                    bytes += index.lengths[block] as usize;
                    blocks.push(block);
                }
                bytes_in_flight += bytes;
                let sent = window.send(begun.elapsed());
                let call = request_blocks(link, index, blocks);
                calls.push(call.map(move |result| (result, sent, bytes)));
            }
            let Some(first) = calls.next().await else {
                return Ok(());
            };
            // After a pause of this process several parts may be there. Noting all of them before the next request
            // keeps the measured rate right.
            let mut done = Some(first);
            while let Some((result, sent, bytes)) = done {
                let (blocks, reply) = result?;
                self.store_blocks(index, hashes, &blocks, &reply)?;
                window.receive(begun.elapsed(), sent, bytes);
                bytes_in_flight -= bytes;
                done = calls.next().now_or_never().flatten();
            }
            if self.newest_offer() > index.version {
                return Err(FetchError::Superseded);
            }
        }
    }

    /// Returns the positions of the blocks that are not held, each different block once. Drops the fetched blocks that
    /// this document does not have.
    fn missing_blocks(&self, hashes: &[BlockHash]) -> Vec<usize> {
        let mut seen: HashSet<&BlockHash> = HashSet::new();
        let mut blocks = self.blocks();
        let missing = hashes
            .iter()
            .enumerate()
            .filter(|(_, hash)| seen.insert(hash) && blocks.get(hash).is_none())
            .map(|(position, _)| position)
            .collect();
        blocks.fetched.retain(|hash, _| seen.contains(hash));
        missing
    }

    fn store_blocks(
        &self,
        index: &DocumentIndex,
        hashes: &[BlockHash],
        positions: &[usize],
        reply: &DocumentBlocks,
    ) -> Result<(), FetchError> {
        if reply.hash != index.hash {
            return Err(FetchError::Superseded);
        }
        let mut rest = &reply.bytes[..];
        for position in positions {
            let length = index.lengths[*position] as usize;
            let Some((block, after)) = rest.split_at_checked(length) else {
                return Err(FetchError::WrongBlock);
            };
            if block_hash(block) != hashes[*position] {
                return Err(FetchError::WrongBlock);
            }
            // A copy, so that the buffer of the whole frame is not kept.
            let block = Bytes::copy_from_slice(block);
            self.blocks().fetched.insert(hashes[*position], block);
            rest = after;
        }
        Ok(())
    }

    /// Puts a document together from its blocks, which are kept as parts of it.
    fn assemble(&self, index: &DocumentIndex, hashes: &[BlockHash]) -> Result<Bytes, FetchError> {
        let mut blocks = self.blocks();
        let mut document = BytesMut::new();
        for hash in hashes {
            let block = blocks.get(hash).ok_or(FetchError::WrongDocument)?;
            document.extend_from_slice(block);
        }
        let document = document.freeze();
        if index.hash != Sha256::digest(&document)[..] {
            // Two different blocks with the same hash: nothing that is held can be trusted.
            *blocks = Blocks::default();
            return Err(FetchError::WrongDocument);
        }
        blocks.fetched.clear();
        blocks.held.clear();
        let mut offset = 0;
        for (hash, length) in hashes.iter().zip(&index.lengths) {
            let end = offset + *length as usize;
            blocks.held.insert(*hash, document.slice(offset..end));
            offset = end;
        }
        Ok(document)
    }

    fn offers(&self) -> MutexGuard<'_, BTreeMap<String, Offer>> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn blocks(&self) -> MutexGuard<'_, Blocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn request_blocks(
    link: &Link,
    index: &DocumentIndex,
    positions: Vec<usize>,
) -> Result<(Vec<usize>, DocumentBlocks), FetchError> {
    let request = Body::DocumentBlocksRequest(DocumentBlocksRequest {
        hash: index.hash.clone(),
        blocks: positions.iter().map(|position| *position as u32).collect(),
    });
    match link.call(request, PART_TIMEOUT).await? {
        Body::DocumentBlocks(reply) => Ok((positions, reply)),
        _ => Err(FetchError::UnexpectedReply),
    }
}

/// Returns the hash of each block, if the index is consistent and the document no larger than a frame.
fn block_hashes(index: &DocumentIndex) -> Result<Vec<BlockHash>, FetchError> {
    let is_valid_length = |length: &u32| (1..=MAX_BLOCK_BYTES).contains(&(*length as usize));
    let bytes: u64 = index.lengths.iter().map(|length| u64::from(*length)).sum();
    let (hashes, rest) = index.hashes.as_chunks::<BLOCK_HASH_BYTES>();
    if hashes.len() != index.lengths.len()
        || !rest.is_empty()
        || !index.lengths.iter().all(is_valid_length)
        || bytes > MAX_FRAME_BYTES as u64
    {
        return Err(FetchError::InvalidIndex);
    }
    Ok(hashes.to_vec())
}

fn block_hash(block: &[u8]) -> BlockHash {
    let digest = Sha256::digest(block);
    let mut hash = [0; BLOCK_HASH_BYTES];
    hash.copy_from_slice(&digest[..BLOCK_HASH_BYTES]);
    hash
}
