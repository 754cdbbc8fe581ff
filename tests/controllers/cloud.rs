//! An in-memory cloud API.

use std::{sync::Mutex, time::Duration};

use flamingocroft::{
    domain::{
        FencingToken, Incarnation, InstanceName, InstanceState, MachineClass, OperationId,
        Purchase, ServiceName,
    },
    ports::{CloudApi, CloudError, InstanceListing, ReclaimNotice, StartRequest},
};

#[derive(Debug, Default)]
pub struct FakeCloud(pub Mutex<Inner>);

#[derive(Debug, Default)]
pub struct Inner {
    pub list: Vec<InstanceListing>,
    pub notices: Vec<ReclaimNotice>,
    pub started: Vec<StartRequest>,
    pub stopped: Vec<InstanceName>,
    pub operations: Vec<OperationId>,
    pub refusals: u32,
    pub next: u64,
    /// Time until an order to stop is answered; it takes effect at once.
    pub answer_delay: Duration,
}

pub fn listing(name: &str, service: &str, zone: &str) -> InstanceListing {
    InstanceListing {
        name: name.into(),
        incarnation: Incarnation(1),
        service: service.into(),
        zone: zone.into(),
        class: MachineClass("gpu-1".into()),
        purchase: Purchase::Reclaimable,
        address: "127.0.0.1:9".parse().unwrap(),
        state: InstanceState::Live,
    }
}

impl FakeCloud {
    pub fn with_instances(list: Vec<InstanceListing>) -> Self {
        Self(Mutex::new(Inner {
            list,
            ..Inner::default()
        }))
    }

    pub fn update(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.0.lock().unwrap());
    }

    pub fn count(&self, service: &ServiceName) -> usize {
        let inner = self.0.lock().unwrap();
        inner.list.iter().filter(|l| l.service == *service).count()
    }
}

impl FakeCloud {
    /// Returns how many orders to stop an instance were received.
    pub fn stopped(&self) -> usize {
        self.0.lock().unwrap().stopped.len()
    }
}

impl CloudApi for FakeCloud {
    async fn instances(&self) -> Result<Vec<InstanceListing>, CloudError> {
        Ok(self.0.lock().unwrap().list.clone())
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>, CloudError> {
        Ok(self.0.lock().unwrap().notices.clone())
    }

    async fn start(&self, req: &StartRequest) -> Result<InstanceName, CloudError> {
        let mut inner = self.0.lock().unwrap();
        if inner.refusals > 0 {
            inner.refusals -= 1;
            return Err(CloudError::Refused("no capacity".into()));
        }
        let name = format!("i-{}", req.operation);
        if inner.operations.contains(&req.operation) {
            return Ok(name.into());
        }
        inner.operations.push(req.operation);
        inner.started.push(req.clone());
        inner.list.push(InstanceListing {
            class: req.class.clone(),
            purchase: req.purchase,
            ..listing(&name, req.service.as_str(), req.zone.as_str())
        });
        Ok(name.into())
    }

    async fn stop(&self, instance: &InstanceName, _: FencingToken) -> Result<(), CloudError> {
        let delay = {
            let mut inner = self.0.lock().unwrap();
            inner.list.retain(|listing| listing.name != *instance);
            inner.stopped.push(instance.clone());
            inner.answer_delay
        };
        tokio::time::sleep(delay).await;
        Ok(())
    }
}
