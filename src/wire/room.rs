//! What gateways and the leader tell each other about services with too little room. See
//! docs/design/ROOM.md.

/// The demand for one service: at one gateway in a report, of all gateways in the leader's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceRoom {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How much is refused, from zero for nothing to one; in the leader's reply the mean by demand.
    #[prost(float, tag = "2")]
    pub level: f32,
    /// The accounts with demand.
    #[prost(message, repeated, tag = "3")]
    pub accounts: Vec<AccountWork>,
    /// Work that was admitted, in seconds of an engine per second.
    #[prost(float, tag = "4")]
    pub admitted: f32,
}

/// What an account asks of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AccountWork {
    /// The account; empty for requests without one.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Seconds of an engine per second.
    #[prost(float, tag = "2")]
    pub work: f32,
}
