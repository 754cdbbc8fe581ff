//! Messages of a tunnel: a gateway opens a connection to an upstream through another gateway.

use bytes::Bytes;

/// Asks the accepting gateway to connect to an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelOpen {
    /// The upstream's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The upstream's instance.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The upstream's address, which the accepting gateway must know for the instance.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// The connection to the upstream is open; data may follow.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TunnelOpened {
    /// Number of connections that the accepting gateway carries for others now.
    #[prost(uint32, tag = "1")]
    pub carried: u32,
}

/// The accepting gateway opens no connection to the upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelRefused {
    /// Whether it tried and the upstream could not be reached.
    #[prost(bool, tag = "1")]
    pub unreachable: bool,
    /// Why, for the log.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Number of connections that the accepting gateway carries for others now.
    #[prost(uint32, tag = "3")]
    pub carried: u32,
}

/// Bytes of the connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelData {
    /// The bytes, in order.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
    /// Time for which the upstream may still get the bytes, in milliseconds; zero if that is not limited.
    #[prost(uint32, tag = "2")]
    pub valid_ms: u32,
}

/// The upstream ended its side of the connection properly. A tunnel that ends without this was broken off.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TunnelEnd {}
