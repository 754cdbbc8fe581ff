//! The cloud API: it starts and stops instances, lists them with a delay, and announces reclaims.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::domain::{
    FencingToken, Incarnation, InstanceName, InstanceState, MachineClass, OperationId, Purchase,
    ServiceName, ZoneName,
};

/// One entry of the cloud's instance list, which may be several seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceListing {
    /// The cloud's name for the instance.
    pub name: InstanceName,
    /// Distinguishes a replacement that took the same name.
    pub incarnation: Incarnation,
    /// The service for which it was started.
    pub service: ServiceName,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// Its machine class.
    pub class: MachineClass,
    /// Its pricing model: reclaimable or on demand.
    pub purchase: Purchase,
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// Live or leaving. Terminated instances are not listed.
    pub state: InstanceState,
}

/// Notice that the cloud will reclaim an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation that is reclaimed.
    pub incarnation: Incarnation,
    /// Time left until the reclaim, counted from the response.
    pub remaining: Duration,
}

/// A request to start one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Idempotency token: a resent request does not start a second instance.
    pub operation: OperationId,
    /// The service that the instance will belong to.
    pub service: ServiceName,
    /// The availability zone to start it in.
    pub zone: ZoneName,
    /// The machine class.
    pub class: MachineClass,
    /// The pricing model.
    pub purchase: Purchase,
    /// The leader's fencing token.
    pub fence: FencingToken,
}

/// Rejected items of a list that are described.
const MAX_REJECTED_DESCRIBED: usize = 32;
/// Most bytes of a name or a reason in the description of a rejected item.
const MAX_REJECTED_TEXT_BYTES: usize = 160;

/// An item of a list that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedItem {
    /// Its position in the document's list, counted from 0.
    pub position: usize,
    /// Its byte offset in the document.
    pub offset: usize,
    /// Its name, if that can be read; cut to 160 bytes.
    pub name: Option<String>,
    /// Why it can't be used, cut to 160 bytes.
    pub reason: String,
}

/// The items of a list that can't be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectedItems {
    /// Number of all of them.
    pub count: usize,
    /// The first 32 of them.
    pub described: Vec<RejectedItem>,
}

impl RejectedItems {
    /// Counts an item, and keeps its description if there are few so far.
    pub fn add(&mut self, describe: impl FnOnce() -> RejectedItem) {
        self.count += 1;
        if self.described.len() < MAX_REJECTED_DESCRIBED {
            let mut item = describe();
            item.name = item.name.map(shorten);
            item.reason = shorten(item.reason);
            self.described.push(item);
        }
    }
}

fn shorten(mut text: String) -> String {
    text.truncate(text.floor_char_boundary(MAX_REJECTED_TEXT_BYTES));
    text
}

/// Reason why a cloud API call failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The API refused the request.
    #[error("the cloud API refused: {0}; wait, or try another zone or class")]
    Refused(String),
    /// There was no usable response, so the request may have been executed.
    #[error("the cloud API did not answer: {0}; look at the instance list before ordering again")]
    Unanswered(String),
    /// The response can't be read, or not to its end.
    #[error("the answer of the cloud API can't be read: {0}; what was read before stays in force")]
    Unreadable(String),
}

/// The cloud API as used by controllers and gateways.
pub trait CloudApi: Send + Sync + 'static {
    /// Lists the instances.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceListing>, CloudError>> + Send;

    /// Lists the pending reclaim notices.
    fn notices(&self) -> impl Future<Output = Result<Vec<ReclaimNotice>, CloudError>> + Send;

    /// Starts an instance and returns its name.
    fn start(
        &self,
        req: &StartRequest,
    ) -> impl Future<Output = Result<InstanceName, CloudError>> + Send;

    /// Stops an instance.
    fn stop(
        &self,
        instance: &InstanceName,
        fence: FencingToken,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;
}
