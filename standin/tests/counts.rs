//! Counters of the plain service and the cloud API.

mod support;

use std::sync::{Arc, Mutex};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    cloud::{self, CloudParams, StartedInstance},
    service::{self, ServiceParams},
};
use support::{get, send};

#[tokio::test]
async fn a_service_counts_each_call_by_path() {
    let service = service::start(ServiceParams::default()).await.unwrap();
    let address = service.address();
    for path in ["/piles/1", "/piles/1", "/piles/2?grade=a"] {
        assert_eq!(
            send(address, Method::GET, path, &Value::Null).await.0,
            StatusCode::OK
        );
    }
    assert_eq!(get(address, "/load").await["running"], 0);
    let counts = get(address, "/counts").await;
    let expected = json!({
        "executed": 3,
        "by_key": {},
        "by_path": { "GET /piles/1": 2, "GET /piles/2?grade=a": 1 },
    });
    assert_eq!(counts, expected);
}

#[tokio::test]
async fn concurrent_duplicate_orders_start_one_instance() {
    let launched = Arc::new(Mutex::new(0));
    let count = Arc::clone(&launched);
    let launch: cloud::LaunchFn = Arc::new(move |_| {
        *count.lock().unwrap() += 1;
        Box::pin(async {
            Ok(StartedInstance {
                address: "127.0.0.1:9".parse()?,
                stop: Box::new(|| {}),
            })
        })
    });
    let params = CloudParams {
        start_ms: 50,
        ..CloudParams::default()
    };
    let cloud = cloud::start(params, launch).await.unwrap();
    let order = json!({
        "operation": "op-1",
        "service": "assistant",
        "zone": "tunis-a",
        "class": "gpu-8",
        "purchase": "on_demand",
        "fence": 1,
    });
    let start = || send(cloud.address(), Method::POST, "/instances", &order);
    let (first, second) = tokio::join!(start(), start());
    assert_eq!(first, second);
    assert_eq!(*launched.lock().unwrap(), 1);
    assert_eq!(cloud.instances().len(), 1);
}
