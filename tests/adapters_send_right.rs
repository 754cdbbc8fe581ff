//! Calls that a process may make only while it has the right to, such as those of a duty's holder.

mod adapters_support;
mod held_link;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use adapters_support::{eventually, timing};
use flamingocroft::{
    domain::FencingToken,
    platform,
    ports::{DutyHolder, Platform, SendRight, UpstreamOrder, WindowUsage},
};
use held_link::{Held, HeldLink};
use standin::service::{self, ServiceParams};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    time::{Instant, sleep, timeout},
};

/// Time for which a right lasts.
const RIGHT: Duration = Duration::from_millis(300);
/// Time for bytes to arrive once nothing holds them.
const ARRIVAL: Duration = Duration::from_millis(300);

fn holder(right: Arc<dyn SendRight>) -> DutyHolder {
    DutyHolder {
        name: "controller-1".into(),
        fence: FencingToken(7),
        right,
    }
}

fn order() -> UpstreamOrder {
    UpstreamOrder {
        service: "depot".into(),
        zone: "a".into(),
        count: 3,
        reclaimable: false,
    }
}

fn usage() -> WindowUsage {
    WindowUsage {
        window: 3,
        counts: vec![("depot".into(), 5)],
    }
}

/// A right that is lost once it was asked for the first time.
#[derive(Debug, Default)]
struct LostSoon(AtomicBool);

impl SendRight for LostSoon {
    fn time_left(&self) -> Duration {
        match self.0.swap(true, Ordering::SeqCst) {
            false => RIGHT,
            true => Duration::ZERO,
        }
    }
}

/// Guards against calls under a fencing token that a process writes when it was stopped after the check of its duty.
#[tokio::test]
async fn a_call_whose_right_is_lost_before_it_is_written_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let api = platform::Api::new(listener.local_addr().unwrap(), &timing());
    let right = Arc::new(LostSoon::default());
    let reported = api.report_usage(holder(right), &usage()).await;
    assert!(reported.is_err());
    let (mut accepted, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    // A reset is one of the ways to end.
    let _ = timeout(ARRIVAL, accepted.read_to_end(&mut bytes)).await;
    assert!(bytes.is_empty(), "{bytes:?}");
}

/// Guards against calls under a fencing token that arrive once another controller may hold the duty.
#[tokio::test]
async fn a_call_is_taken_back_when_its_right_ends() {
    for is_order in [false, true] {
        let service = service::start(ServiceParams::default()).await.unwrap();
        let link = HeldLink::start(service.address()).await;
        link.set(Held::Both);
        let api = platform::Api::new(link.address(), &timing());
        let begun = Instant::now();
        let holder = holder(Arc::new(begun + RIGHT));
        let called = match is_order {
            true => api.order_upstreams(holder, &order()).await,
            false => api.report_usage(holder, &usage()).await,
        };
        assert!(called.is_err());
        let waited = begun.elapsed();
        assert!(waited < RIGHT + ARRIVAL, "{waited:?}");
        eventually("the connection is reset", || link.resets() == 1).await;
        link.set(Held::Nothing);
        sleep(ARRIVAL).await;
        assert_eq!(link.arrivals("HTTP/1.1"), 0);
    }
}
