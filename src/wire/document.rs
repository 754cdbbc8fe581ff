//! Messages that carry the published document from a controller to a gateway.

use bytes::Bytes;

/// Requests the whole published document from a controller; gateways of earlier versions send it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentRequest {}

/// The published document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Its version; zero before the first one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as it was published.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}

/// Requests the list of the published document's blocks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentIndexRequest {}

/// The blocks of the published document; see `policy::blocks`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentIndex {
    /// The document's version; zero before the first one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// SHA-256 of the document.
    #[prost(bytes = "bytes", tag = "2")]
    pub hash: Bytes,
    /// Length of each block in bytes.
    #[prost(uint32, repeated, tag = "3")]
    pub lengths: Vec<u32>,
    /// The first [`BLOCK_HASH_BYTES`] of the SHA-256 of each block, one after the other.
    #[prost(bytes = "bytes", tag = "4")]
    pub hashes: Bytes,
}

/// Bytes of a block's hash.
pub const BLOCK_HASH_BYTES: usize = 16;

/// Requests blocks of a document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentBlocksRequest {
    /// SHA-256 of the document.
    #[prost(bytes = "bytes", tag = "1")]
    pub hash: Bytes,
    /// Positions of the blocks in the index.
    #[prost(uint32, repeated, tag = "2")]
    pub blocks: Vec<u32>,
}

/// Blocks of a document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentBlocks {
    /// SHA-256 of the document that the controller has. If it is not the requested one, there are no bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub hash: Bytes,
    /// The bytes of the requested blocks, one after the other.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}
