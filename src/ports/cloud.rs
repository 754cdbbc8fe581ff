//! The cloud API: instances that can be started and stopped, a list of them that lags, and notices
//! of reclaims.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::domain::{
    FencingToken, Incarnation, InstanceName, InstanceState, MachineClass, OperationId, Purchase,
    ServiceName, ZoneName,
};

/// One row of the instance list, which may be several seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceListing {
    /// The cloud's name for the instance.
    pub name: InstanceName,
    /// Distinguishes a replacement that took the same name.
    pub incarnation: Incarnation,
    /// The label given at the start.
    pub service: ServiceName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Its kind of machine.
    pub class: MachineClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// Where it accepts HTTP connections.
    pub address: SocketAddr,
    /// Live or leaving; a gone instance is absent.
    pub state: InstanceState,
}

/// Says that an instance is taken back after a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimNotice {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation that is taken back.
    pub incarnation: Incarnation,
    /// Time left, counted from the answer.
    pub remaining: Duration,
}

/// An order for one more instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Makes a resent order harmless.
    pub operation: OperationId,
    /// The service that it will belong to.
    pub service: ServiceName,
    /// Where to start it.
    pub zone: ZoneName,
    /// The kind of machine.
    pub class: MachineClass,
    /// How to pay for it.
    pub purchase: Purchase,
    /// The leader's fencing number.
    pub fence: FencingToken,
}

/// Why the cloud API did not do as it was told.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// It answered with a refusal.
    #[error("the cloud API refused: {0}; wait, or try another zone or class")]
    Refused(String),
    /// It did not answer; the order may have been carried out.
    #[error("the cloud API did not answer: {0}; look at the instance list before ordering again")]
    Unanswered(String),
}

/// The cloud API as the controllers and gateways use it.
pub trait CloudApi: Send + Sync + 'static {
    /// Reads the instance list.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceListing>, CloudError>> + Send;

    /// Reads the reclaim notices in force.
    fn notices(&self) -> impl Future<Output = Result<Vec<ReclaimNotice>, CloudError>> + Send;

    /// Orders one more instance.
    fn start(
        &self,
        req: &StartRequest,
    ) -> impl Future<Output = Result<InstanceName, CloudError>> + Send;

    /// Orders an instance to stop.
    fn stop(
        &self,
        instance: &InstanceName,
        fence: FencingToken,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;
}
