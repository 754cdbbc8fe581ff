//! In-memory engines that record the orders they get.

use std::{sync::Mutex, time::Duration};

use bytes::Bytes;
use flamingocroft::{
    domain::{Completion, FencingToken, ModelName, RequestId},
    ports::{
        CacheEvents, EngineLoad, EngineOrder, OrderKind, OrderOutcome, Sent, ServiceCall,
        ServiceReply, Target, TokenStream, UpstreamError, UpstreamErrorKind, Upstreams,
    },
};

#[derive(Debug, Default)]
pub struct FakeUpstreams(pub Mutex<Vec<(Target, EngineOrder)>>);

impl FakeUpstreams {
    pub fn orders(&self) -> Vec<(Target, EngineOrder)> {
        self.0.lock().unwrap().clone()
    }
}

fn unused<R>() -> Result<R, UpstreamError> {
    let message = "not used by controllers";
    Err(UpstreamError::new(
        UpstreamErrorKind::Rejected,
        Sent::No,
        message,
    ))
}

impl Upstreams for FakeUpstreams {
    async fn generate(&self, _: &Target, _: &Completion) -> Result<TokenStream, UpstreamError> {
        unused()
    }

    async fn cancel(&self, _: &Target, _: RequestId) -> Result<(), UpstreamError> {
        unused()
    }

    async fn load(&self, target: &Target) -> Result<EngineLoad, UpstreamError> {
        let orders = self.0.lock().unwrap();
        let own = orders.iter().filter(|(to, _)| to == target);
        let models: Vec<ModelName> = own
            .clone()
            .filter_map(|(_, order)| match &order.kind {
                OrderKind::Load { model, .. } => Some(model.clone()),
                OrderKind::Unload { .. } | OrderKind::Drain => None,
            })
            .collect();
        let fence = own.map(|(_, order)| order.fence).max();
        Ok(EngineLoad {
            slots: 4,
            age: Duration::ZERO,
            models,
            fence: fence.unwrap_or(FencingToken(0)),
            ..EngineLoad::default()
        })
    }

    async fn cache_events(&self, _: &Target, _: u64) -> Result<CacheEvents, UpstreamError> {
        unused()
    }

    async fn export_cache(&self, _: &Target, _: RequestId) -> Result<Bytes, UpstreamError> {
        unused()
    }

    async fn import_cache(&self, _: &Target, _: Bytes) -> Result<(), UpstreamError> {
        unused()
    }

    async fn order(
        &self,
        target: &Target,
        order: &EngineOrder,
    ) -> Result<OrderOutcome, UpstreamError> {
        let mut orders = self.0.lock().unwrap();
        let own = orders.iter().filter(|(to, _)| to == target);
        let highest = own.map(|(_, order)| order.fence).max();
        if highest > Some(order.fence) {
            return Ok(OrderOutcome::Fenced);
        }
        orders.push((target.clone(), order.clone()));
        Ok(OrderOutcome::Done)
    }

    async fn call(&self, _: &Target, _: &ServiceCall) -> Result<ServiceReply, UpstreamError> {
        unused()
    }
}
