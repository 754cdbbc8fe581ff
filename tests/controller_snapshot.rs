//! Snapshots: a follower that lags behind the oldest kept entry catches up from a snapshot, and
//! restarts keep claims.

mod controllers;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use controllers::{Cluster, FakeGateway};
use flamingocroft::wire::ClaimStatus;
use tokio::task::JoinSet;

/// More entries than there are between two snapshots plus those kept before a snapshot.
const CLAIMS: u64 = 24_000;
const CONCURRENT_CLAIMS: u64 = 256;

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_follower_catches_up_by_snapshot_and_restarts_keep_claims() {
    let mut cluster = Cluster::start(3).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    gateway.wait_for_state(|state| state.lease.is_some()).await;
    let (leader, status) = cluster.leader().await;
    let late = (leader + 1) % 3;
    let member = cluster.member(late).await;
    assert!(status.members.iter().any(|m| m.member == member));
    cluster.stop(late).await;
    let first = gateway.claim_request(uuid::Uuid::now_v7(), 1, 1);
    assert_eq!(
        gateway.shared.claim(&first).await.status(),
        ClaimStatus::Granted
    );
    claim_many(&gateway).await;
    let commit = cluster.leader().await.1.commit;
    assert!(commit >= CLAIMS);
    cluster.start_controller(late).await;
    let caught_up =
        |m: &flamingocroft::operator::MemberStatus| m.member == member && m.matched >= commit;
    cluster
        .wait_for_status(|status| status.members.iter().any(caught_up))
        .await;
    cluster.stop((leader + 2) % 3).await;
    cluster.stop(leader).await;
    cluster.start_controller(leader).await;
    let other = gateway.claim_request(uuid::Uuid::from_slice(&first.key).unwrap(), 1, 2);
    let status = gateway.shared.claim(&other).await.status();
    assert!(
        matches!(status, ClaimStatus::InProgress | ClaimStatus::Unknown),
        "{status:?}"
    );
    cluster.stop_all().await;
    for index in 0..3 {
        cluster.start_controller(index).await;
    }
    let status = gateway.shared.claim(&other).await.status();
    assert!(
        matches!(status, ClaimStatus::InProgress | ClaimStatus::Unknown),
        "{status:?}"
    );
}

/// Makes at least [`CLAIMS`] claims, up to [`CONCURRENT_CLAIMS`] at a time.
async fn claim_many(gateway: &FakeGateway) {
    let attempts = Arc::new(AtomicU64::new(10));
    let mut workers = JoinSet::new();
    for _ in 0..CONCURRENT_CLAIMS {
        let shared = Arc::clone(&gateway.shared);
        let attempts = Arc::clone(&attempts);
        let template = gateway.claim_request(uuid::Uuid::nil(), 1, 0);
        workers.spawn(async move {
            for _ in 0..CLAIMS / CONCURRENT_CLAIMS + 1 {
                let mut claim = template.clone();
                claim.key = uuid::Uuid::now_v7().as_bytes().to_vec();
                claim.attempt = attempts.fetch_add(1, Ordering::Relaxed);
                assert_eq!(shared.claim(&claim).await.status(), ClaimStatus::Granted);
            }
        });
    }
    workers.join_all().await;
}
