//! Types without I/O, shared by all parts of the system; see docs/GLOSSARY.md for the terms.

mod ids;
mod instance;
mod intent;
mod money;
mod names;
mod refusal;
mod request;
mod routes;
mod view;

pub use ids::{
    FencingToken, IdempotencyKey, Incarnation, InvalidIdempotencyKey, MemberId, OperationId,
    RequestId, Revision,
};
pub use instance::{Instance, InstanceState, MachineClass, Purchase};
pub use intent::{
    Account, ChangeLimits, Fencing, Intent, Model, Operation, Price, RoutingWeights, Service,
    ServiceKind, Tier, Zone,
};
pub use money::Money;
pub use names::{
    AccountName, GatewayName, InstanceName, ModelName, RegionName, ServiceName, SoftwareVersion,
    TierName, ZoneName,
};
pub use refusal::{Ran, Refusal, RefusalKind};
pub use request::{BodyDigest, Completion, FinishReason, Priority, Token};
pub use routes::{
    CallerLimits, EngineSpec, InvalidTable, KeyedAccount, Quota, QuotaUnit, RequestClass, Route,
    RouteIndex, RouteTable, RoutedService, ScalingSpec,
};
pub use view::{GatewayEntry, Share, View, ViewVersion};
