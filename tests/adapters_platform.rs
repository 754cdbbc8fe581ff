//! HTTP clients for the cloud API, the weight store and orders to engines.

mod adapters_support;

use std::{sync::Arc, time::Duration};

use adapters_support::{completion, eventually, read_generation, target, timing, unused_address};
use flamingocroft::{
    adapters::{HttpCloud, HttpUpstreams, HttpWeights},
    domain::{FencingToken, InstanceState, MachineClass, OperationId, Purchase},
    policy::prefix::{PrefixIndex, prefixes},
    ports::{
        CloudApi, CloudError, EngineOrder, OrderKind, OrderOutcome, StartRequest,
        UpstreamErrorKind, Upstreams, WeightError, WeightStore,
    },
    settings::Timing,
};
use standin::{
    Faults,
    cloud::{self, Cloud, CloudParams, LaunchFn, StartedInstance},
    engine::{self, EngineParams},
    weights::{self, WeightParams},
};
use uuid::Uuid;

fn launch() -> LaunchFn {
    Arc::new(|_| {
        Box::pin(async {
            let engine = engine::start(EngineParams {
                listen: unused_address(),
                ..EngineParams::default()
            })
            .await?;
            Ok(StartedInstance {
                address: engine.address(),
                stop: Box::new(move || engine.stop()),
            })
        })
    })
}

async fn start_cloud() -> (Cloud, HttpCloud) {
    let params = CloudParams {
        listen: unused_address(),
        ..CloudParams::default()
    };
    let cloud = cloud::start(params, launch()).await.unwrap();
    let api = HttpCloud::new(cloud.address(), &timing());
    (cloud, api)
}

fn start_request(operation: u128) -> StartRequest {
    StartRequest {
        operation: OperationId(Uuid::from_u128(operation)),
        service: "assistant".into(),
        zone: "tunis-a".into(),
        class: MachineClass("gpu-8".into()),
        purchase: Purchase::Reclaimable,
        fence: FencingToken(3),
    }
}

#[tokio::test]
async fn a_resent_start_creates_one_instance_even_if_the_response_was_lost() {
    let (cloud, api) = start_cloud().await;
    cloud.set_faults(Faults {
        lost_reply: true,
        ..Faults::default()
    });
    let lost = api.start(&start_request(1)).await;
    assert!(matches!(lost, Err(CloudError::Unanswered(_))), "{lost:?}");
    cloud.set_faults(Faults::default());
    let name = api.start(&start_request(1)).await.unwrap();
    assert_eq!(cloud.counts().started, 1);
    let rows = api.instances().await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!((&rows[0].name, rows[0].state), (&name, InstanceState::Live));
    assert_eq!(rows[0].purchase, Purchase::Reclaimable);
}

#[tokio::test]
async fn a_refused_start_differs_from_an_unanswered_one() {
    let (cloud, api) = start_cloud().await;
    cloud.update_params(|params| params.refuse_starts = true);
    let refused = api.start(&start_request(1)).await;
    assert!(
        matches!(refused, Err(CloudError::Refused(_))),
        "{refused:?}"
    );
    cloud.stop();
    eventually("the cloud API is gone", || {
        std::net::TcpStream::connect(cloud.address()).is_err()
    })
    .await;
    let unanswered = api.start(&start_request(1)).await;
    assert!(
        matches!(unanswered, Err(CloudError::Unanswered(_))),
        "{unanswered:?}"
    );
}

#[tokio::test]
async fn a_reclaimed_instance_is_announced_and_then_ends() {
    const NOTICE: Duration = Duration::from_secs(2);
    let (cloud, api) = start_cloud().await;
    let name = api.start(&start_request(1)).await.unwrap();
    let address = api.instances().await.unwrap()[0].address;
    assert!(cloud.reclaim(name.as_str(), NOTICE));
    let notices = api.notices().await.unwrap();
    assert_eq!(notices[0].instance, name);
    assert!(notices[0].remaining <= NOTICE);
    assert_eq!(
        api.instances().await.unwrap()[0].state,
        InstanceState::Leaving
    );
    eventually("the instance is gone", || cloud.instances().is_empty()).await;
    eventually("its process has ended", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await;
}

#[tokio::test]
async fn the_instance_list_lags_behind_the_notices() {
    let (cloud, api) = start_cloud().await;
    let name = api.start(&start_request(1)).await.unwrap();
    cloud.update_params(|params| params.list_lag_ms = 60_000);
    assert!(cloud.reclaim(name.as_str(), Duration::from_secs(60)));
    assert_eq!(api.notices().await.unwrap().len(), 1);
    assert_eq!(api.instances().await.unwrap()[0].state, InstanceState::Live);
}

#[tokio::test]
async fn a_stopped_instance_leaves_the_list() {
    let (cloud, api) = start_cloud().await;
    let name = api.start(&start_request(1)).await.unwrap();
    api.stop(&name, FencingToken(4)).await.unwrap();
    api.stop(&name, FencingToken(4)).await.unwrap();
    assert_eq!(api.instances().await.unwrap(), Vec::new());
    assert_eq!(cloud.counts().stopped, 1);
}

#[tokio::test]
async fn the_weight_store_reports_the_fetch_time_and_its_rate_limit() {
    let params = WeightParams {
        mib_per_second: 100,
        model_mib: 1000,
        max_fetches: 0,
        ..WeightParams::default()
    };
    let limited = weights::start(params.clone()).await.unwrap();
    let free = weights::start(WeightParams {
        max_fetches: 1,
        ..params
    })
    .await
    .unwrap();
    let store = HttpWeights::new(free.address(), &timing());
    let time = store.fetch_time(&"assistant".into(), "v1").await.unwrap();
    assert_eq!(time, Duration::from_secs(10));
    let store = HttpWeights::new(limited.address(), &timing());
    let refused = store.fetch_time(&"assistant".into(), "v1").await;
    assert!(
        matches!(refused, Err(WeightError::Limited(_))),
        "{refused:?}"
    );
}

fn load_order(fence: u64, version: &str) -> EngineOrder {
    EngineOrder {
        kind: OrderKind::Load {
            model: "small".into(),
            version: version.to_owned(),
        },
        fence: FencingToken(fence),
    }
}

#[tokio::test]
async fn an_engine_that_checks_fencing_tokens_refuses_an_older_order() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    let outcomes = [
        upstreams
            .order(&target, &load_order(5, "v2"))
            .await
            .unwrap(),
        upstreams
            .order(&target, &load_order(4, "v1"))
            .await
            .unwrap(),
    ];
    assert_eq!(outcomes, [OrderOutcome::Done, OrderOutcome::Fenced]);
    let report = upstreams.load(&target).await.unwrap();
    assert_eq!(report.fence, FencingToken(5));
    assert_eq!(report.models, ["assistant".into(), "small".into()]);
    assert_eq!(engine.counts().orders.len(), 1);
}

#[tokio::test]
async fn a_slow_order_that_a_newer_one_overtakes_has_no_effect() {
    let params = EngineParams {
        load_model_ms: 1500,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    let old_order = load_order(4, "v1");
    let old = upstreams.order(&target, &old_order);
    let new = async {
        eventually("the old order has arrived", || {
            engine.load().fence == FencingToken(4).0
        })
        .await;
        let drain = EngineOrder {
            kind: OrderKind::Drain,
            fence: FencingToken(5),
        };
        upstreams.order(&target, &drain).await
    };
    let (old, new) = tokio::join!(old, new);
    assert_eq!(
        (old.unwrap(), new.unwrap()),
        (OrderOutcome::Fenced, OrderOutcome::Done)
    );
    assert_eq!(engine.counts().orders.len(), 1);
}

#[tokio::test]
async fn a_timed_out_order_is_still_executed() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    engine.set_faults(Faults {
        execute_delay_ms: 1500,
        ..Faults::default()
    });
    let upstreams = HttpUpstreams::new(&Timing {
        request_timeout: Duration::from_millis(50),
        ..timing()
    });
    let target = target(engine.address());
    let timed_out = upstreams.order(&target, &load_order(4, "v1")).await;
    assert_eq!(timed_out.unwrap_err().kind, UpstreamErrorKind::Silent);
    assert_eq!(engine.counts().orders.len(), 0);
    eventually("it is carried out", || engine.counts().orders.len() == 1).await;
}

#[tokio::test]
async fn an_engine_that_ignores_fencing_tokens_executes_an_older_order() {
    let params = EngineParams {
        ignore_fence: true,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    upstreams
        .order(&target, &load_order(5, "v2"))
        .await
        .unwrap();
    upstreams
        .order(&target, &load_order(4, "v1"))
        .await
        .unwrap();
    let versions: Vec<_> = engine
        .counts()
        .orders
        .into_iter()
        .map(|order| order.version)
        .collect();
    assert_eq!(versions, [Some("v2".to_owned()), Some("v1".to_owned())]);
}

#[tokio::test]
async fn an_imported_cache_saves_the_prefill() {
    let prompt = "Stock of pile 3, by grade and moisture. ".repeat(40);
    let first = engine::start(EngineParams::default()).await.unwrap();
    let second = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let (from, to) = (target(first.address()), target(second.address()));
    let req = completion(&prompt, 100_000);
    let stream = upstreams.generate(&from, &req).await.unwrap();
    eventually("it has started", || first.counts().started == 1).await;
    let cache = upstreams.export_cache(&from, req.id).await.unwrap();
    upstreams.import_cache(&to, cache).await.unwrap();
    drop(stream);
    let (_, end) = read_generation(&upstreams, &to, &completion(&prompt, 2)).await;
    let end = end.unwrap();
    assert_eq!((end.prompt_tokens, end.cached_tokens), (400, 384));
    let events = upstreams.cache_events(&to, 0).await.unwrap();
    assert_eq!((events.events.len(), events.gap), (6, false));
    assert_eq!(events.next, 6);
    let mut index = PrefixIndex::default();
    index.apply(&events);
    assert_eq!(index.cached_tokens(&prefixes(&prompt)), 384);
}
