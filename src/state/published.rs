//! The published document: the highest version wins, whatever order documents arrive in.

use bytes::Bytes;

use super::command::Publish;

/// The document in force.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Published {
    /// Its version; zero before the first document.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document, as it was sent.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
    /// The log index at which it was published.
    #[prost(uint64, tag = "3")]
    pub index: u64,
}

impl Published {
    /// Publishes a document unless its version is in force or overtaken. Returns whether it is now
    /// the one in force.
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
