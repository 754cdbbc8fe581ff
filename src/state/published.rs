//! The published document. The highest version wins, regardless of the order of arrival.

use bytes::Bytes;

use super::command::Publish;

/// The current document.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Published {
    /// Its version; zero before the first document.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document, byte for byte as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
    /// The log index at which it was published.
    #[prost(uint64, tag = "3")]
    pub index: u64,
}

impl Published {
    /// Publishes a document if its version is higher than the current one. Returns whether it became the
    /// current document.
    pub fn publish(&mut self, index: u64, publish: &Publish) -> bool {
        if publish.version <= self.version {
            return false;
        }
        *self = Self {
            version: publish.version,
            document: publish.document.clone(),
            index,
        };
        true
    }
}
