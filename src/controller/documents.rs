//! The published document as the gateways fetch it: its index and blocks, or whole for gateways of earlier versions.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use sha2::{Digest, Sha256};
use tokio::{sync::Mutex, task::spawn_blocking};

use super::core::Core;
use crate::{
    policy::{blocks, transfer_window::MAX_PART_BYTES},
    ports::Clock,
    wire::{
        BLOCK_HASH_BYTES, Body, Document, DocumentBlocks, DocumentBlocksRequest, DocumentIndex,
    },
};

/// The last document of which a gateway asked for blocks. All gateways ask at the same time, so it is cut once.
#[derive(Debug, Default)]
pub(super) struct DocumentCache(Mutex<Option<Arc<CutDocument>>>);

/// A document with its index.
#[derive(Debug)]
struct CutDocument {
    document: Bytes,
    index: DocumentIndex,
    /// Where each block begins.
    offsets: Vec<usize>,
}

impl CutDocument {
    fn new(version: u64, document: Bytes) -> Self {
        let lengths = blocks::cut(&document);
        let (mut offsets, mut hashes) = (Vec::with_capacity(lengths.len()), BytesMut::new());
        let mut offset = 0;
        for length in &lengths {
            let block = &document[offset..offset + length];
            hashes.extend_from_slice(&Sha256::digest(block)[..BLOCK_HASH_BYTES]);
            offsets.push(offset);
            offset += length;
        }
        let index = DocumentIndex {
            version,
            hash: Bytes::copy_from_slice(&Sha256::digest(&document)),
            lengths: lengths.into_iter().map(|length| length as u32).collect(),
            hashes: hashes.freeze(),
        };
        Self {
            document,
            index,
            offsets,
        }
    }

    /// Returns blocks one after the other; the reply ends before the first one that the document does not have or
    /// that would make it too large.
    fn blocks(&self, positions: &[u32]) -> Bytes {
        let mut bytes = BytesMut::new();
        for position in positions {
            let at = *position as usize;
            let (Some(offset), Some(length)) = (self.offsets.get(at), self.index.lengths.get(at))
            else {
                break;
            };
            let length = *length as usize;
            if bytes.len() + length > MAX_PART_BYTES + blocks::MAX_BLOCK_BYTES {
                break;
            }
            bytes.extend_from_slice(&self.document[*offset..offset + length]);
        }
        bytes.freeze()
    }
}

/// Returns the published document that this controller has.
pub(super) fn document_reply<T: Clock>(core: &Core<T>) -> Body {
    let (version, document) = published(core);
    Body::Document(Document { version, document })
}

/// Returns the index of the published document.
pub(super) async fn index_reply<T: Clock>(core: &Core<T>) -> Option<Body> {
    let cut = cut_document(core).await?;
    Some(Body::DocumentIndex(cut.index.clone()))
}

/// Returns blocks of the published document, or none if it is not the one asked for.
pub(super) async fn blocks_reply<T: Clock>(
    core: &Core<T>,
    request: &DocumentBlocksRequest,
) -> Option<Body> {
    let cut = cut_document(core).await?;
    let bytes = match cut.index.hash == request.hash {
        true => cut.blocks(&request.blocks),
        false => Bytes::new(),
    };
    Some(Body::DocumentBlocks(DocumentBlocks {
        hash: cut.index.hash.clone(),
        bytes,
    }))
}

async fn cut_document<T: Clock>(core: &Core<T>) -> Option<Arc<CutDocument>> {
    let mut cached = core.documents.0.lock().await;
    let (version, document) = published(core);
    if let Some(cut) = &*cached
        && cut.index.version == version
        && cut.document.as_ptr() == document.as_ptr()
    {
        return Some(Arc::clone(cut));
    }
    let cut = spawn_blocking(move || Arc::new(CutDocument::new(version, document))).await;
    let cut = cut
        .inspect_err(|e| log::error!("controller: cutting the document into blocks failed: {e}."))
        .ok()?;
    *cached = Some(Arc::clone(&cut));
    Some(cut)
}

fn published<T: Clock>(core: &Core<T>) -> (u64, Bytes) {
    let state = core.log.state();
    let published = state.published();
    (published.version, published.document.clone())
}
