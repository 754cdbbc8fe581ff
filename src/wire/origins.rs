//! Messages about the software versions that began streams; see `policy::origins`.

use crate::policy::origins::{Origin, StreamId};

/// The service and the software version that began some streams.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct OriginRecord {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version of the software.
    #[prost(string, tag = "2")]
    pub software: String,
    /// The streams.
    #[prost(fixed64, repeated, tag = "3")]
    pub streams: Vec<u64>,
}

impl From<&Origin> for OriginRecord {
    fn from(origin: &Origin) -> Self {
        Self {
            service: origin.service.to_string(),
            software: origin.software.to_string(),
            streams: Vec::new(),
        }
    }
}

impl OriginRecord {
    /// Returns the origin of the streams.
    pub fn origin(&self) -> Origin {
        Origin {
            service: self.service.as_str().into(),
            software: self.software.as_str().into(),
        }
    }
}

/// Tells a controller which software versions began streams.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginReport {
    /// The streams, by origin.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<OriginRecord>,
}

impl OriginReport {
    /// Adds a stream.
    pub fn add(&mut self, stream: StreamId, origin: &Origin) {
        let is_same = |record: &&mut OriginRecord| {
            record.service == origin.service.as_str() && record.software == origin.software.as_str()
        };
        match self.records.iter_mut().find(is_same) {
            Some(record) => record.streams.push(stream.0),
            None => self.records.push(OriginRecord {
                streams: vec![stream.0],
                ..origin.into()
            }),
        }
    }
}

/// The controller has recorded an origin report.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginAck {}

/// Asks a controller which software version began a stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginQuery {
    /// The stream; missing if the caller does not name it.
    #[prost(fixed64, optional, tag = "1")]
    pub stream: Option<u64>,
    /// The service that the caller's request is for.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// The controller's reply to an origin query.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginReply {
    /// The origin that a gateway reported, without streams.
    #[prost(message, optional, tag = "1")]
    pub recorded: Option<OriginRecord>,
    /// From the leader: the only software version of the service that can have begun a stream that may still be resumed.
    #[prost(string, optional, tag = "2")]
    pub only_software: Option<String>,
}
