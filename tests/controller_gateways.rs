//! How the leader serves gateways: leases, views, lost gateways, new incarnations, shares and
//! leaving instances.

mod controllers;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use controllers::{Cluster, FakeCloud, FakeGateway, engines_intent, intent, listing};
use flamingocroft::{
    domain::{Account, Incarnation, Intent, Tier},
    operator::Explanation,
    ports::ReclaimNotice,
    settings::Timing,
    wire::{
        Body, ClaimStatus, Demand, GatewayHeartbeat, LeavingNotice, OutcomeRequest, StoredOutcome,
    },
};

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_gateway_loses_its_lease_and_its_claims_become_unknown() {
    let cluster = Cluster::start(3).await;
    let lost = FakeGateway::start(&cluster, "g0", "z0", 1);
    let other = FakeGateway::start(&cluster, "g1", "z1", 1);
    other
        .wait_for_state(|state| state.gateways == names(&["g0", "g1"]))
        .await;
    let key = uuid::Uuid::now_v7();
    let claim = lost.claim_request(key, 1, 1);
    assert_eq!(
        lost.shared.claim(&claim).await.status(),
        ClaimStatus::Granted
    );
    let asked = other.claim_request(key, 1, 1);
    assert_eq!(
        other.shared.claim(&asked).await.status(),
        ClaimStatus::InProgress
    );
    lost.shared.silent.store(true, Ordering::Relaxed);
    let silent_since = Instant::now();
    other
        .wait_for_state(|state| state.gateways == names(&["g1"]))
        .await;
    let lease = cluster.controllers[0].settings.timing.view_lease;
    let heartbeat = cluster.controllers[0].settings.timing.gateway_heartbeat;
    assert!(
        silent_since.elapsed() + heartbeat >= lease,
        "the gateway was removed before its lease expired"
    );
    let deadline = Instant::now() + Duration::from_secs(10);
    while other.shared.claim(&asked).await.status() != ClaimStatus::Unknown {
        assert!(Instant::now() < deadline, "the claim never became unknown");
    }
    let outcome = OutcomeRequest {
        claim: Some(claim),
        outcome: Some(StoredOutcome::default()),
    };
    lost.shared.ask(Body::Outcome(outcome)).await;
    assert_eq!(other.shared.claim(&asked).await.status(), ClaimStatus::Done);
    let late = lost.claim_request(uuid::Uuid::now_v7(), 1, 2);
    let answer = lost
        .shared
        .leader_link()
        .call(Body::Claim(late), Duration::from_secs(2))
        .await;
    assert!(answer.unwrap_err().to_string().contains("no lease"));
    lost.shared.silent.store(false, Ordering::Relaxed);
    other
        .wait_for_state(|state| state.gateways == names(&["g0", "g1"]))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_incarnation_is_refused_and_its_claims_become_unknown() {
    let cluster = Cluster::start(1).await;
    let old = FakeGateway::start(&cluster, "g0", "z0", 1);
    old.wait_for_state(|state| state.lease.is_some()).await;
    let claim = old.claim_request(uuid::Uuid::now_v7(), 1, 1);
    assert_eq!(
        old.shared.claim(&claim).await.status(),
        ClaimStatus::Granted
    );
    let new = FakeGateway::start(&cluster, "g0", "z0", 2);
    new.wait_for_state(|state| state.lease.is_some()).await;
    let heartbeat = Body::Heartbeat(GatewayHeartbeat {
        gateway: Some(old.record.clone()),
        ..GatewayHeartbeat::default()
    });
    let answer = old
        .shared
        .link()
        .call(heartbeat, Duration::from_secs(2))
        .await;
    assert!(
        answer
            .unwrap_err()
            .to_string()
            .contains("newer incarnation")
    );
    let deadline = Instant::now() + Duration::from_secs(10);
    let asked = new.claim_request(uuid::Uuid::from_slice(&claim.key).unwrap(), 1, 1);
    while new.shared.claim(&asked).await.status() != ClaimStatus::Unknown {
        assert!(Instant::now() < deadline, "the claim never became unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_keeps_the_known_gateways() {
    let mut cluster = Cluster::start(3).await;
    let gateways = ["g0", "g1", "g2"].map(|name| FakeGateway::start(&cluster, name, "z0", 1));
    let all = names(&["g0", "g1", "g2"]);
    for gateway in &gateways {
        gateway.wait_for_state(|state| state.gateways == all).await;
    }
    let (leader, before) = cluster.leader().await;
    cluster.stop(leader).await;
    let term = cluster
        .wait_for_status(|status| status.term > before.term)
        .await
        .term;
    let mut state = gateways[0].shared.state.subscribe();
    let seen =
        state.wait_for(|state| state.gateways != all || state.term >= term && state.sequence > 0);
    let seen = tokio::time::timeout(Duration::from_secs(20), seen)
        .await
        .unwrap();
    assert_eq!(seen.unwrap().gateways, all);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_on_an_old_view_gets_the_index_that_it_needs() {
    let cluster = Cluster::start(1).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    // The first confirm returns once the leader knows all leases, so the second waits only for the
    // gateway's lease.
    assert!(cluster.plan_and_confirm(&intent(1)).await.everywhere);
    gateway.shared.drops_views.store(true, Ordering::Relaxed);
    let confirmed = cluster.plan_and_confirm(&intent(2)).await;
    // The lease that allowed the old view has expired; later leases require the new one.
    assert!(confirmed.everywhere, "{confirmed:?}");
    assert_eq!(confirmed.in_force, 0);
    let state = gateway.shared.state.borrow().clone();
    assert_eq!(state.lease.unwrap().required_index, confirmed.index);
    gateway.shared.drops_views.store(false, Ordering::Relaxed);
    gateway
        .wait_for_state(|state| state.index >= confirmed.index)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_learn_of_leaving_and_gone_instances_and_explain_says_why() {
    let list = ["i-1", "i-2", "i-3"].map(|name| listing(name, "manifest", "z0"));
    let cloud = FakeCloud::with_instances(list.to_vec());
    let cluster = Cluster::start_with(3, Timing::default(), Some(cloud)).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    gateway
        .wait_for_state(|state| state.instances.len() == 3)
        .await;
    cluster.cloud.update(|cloud| {
        cloud.notices.push(ReclaimNotice {
            instance: "i-1".into(),
            incarnation: Incarnation(1),
            remaining: Duration::from_secs(30),
        });
        cloud.list.retain(|listing| listing.name.as_str() != "i-3");
    });
    gateway.shared.leaving.lock().unwrap().push(LeavingNotice {
        instance: "i-2".into(),
        incarnation: 1,
    });
    let expected = [("i-1", 1), ("i-2", 1), ("i-3", 2)];
    gateway
        .wait_for_state(|state| {
            let has = |(name, expected_state): &(&str, u32)| {
                state
                    .instances
                    .iter()
                    .any(|(n, s)| n == name && s == expected_state)
            };
            expected.iter().all(has)
        })
        .await;
    let (leader, _) = cluster.leader().await;
    for (name, why) in [
        ("i-1", "takes it back"),
        ("i-2", "g0 learned it"),
        ("i-3", "lack it"),
    ] {
        let call = format!("explain/instance/{name}");
        let explanation: Explanation = cluster.get(leader, &call).await.read();
        let last = &explanation.events.last().unwrap().what;
        assert!(last.contains(why), "{last}");
    }
}

/// Returns an intent with engines of four slots and one paying account.
fn one_account() -> Intent {
    Intent {
        tiers: vec![Tier {
            name: "paying".into(),
            paying: true,
            first_token: Duration::from_millis(640),
            between_tokens: Duration::from_millis(26),
        }],
        accounts: vec![Account {
            name: "office".into(),
            tier: "paying".into(),
            token_sha256: "0".repeat(64),
            weight: 1,
        }],
        limits: intent(2).limits,
        ..engines_intent("1", 4)
    }
}

fn set_demand(gateway: &FakeGateway, waiting: u32) {
    *gateway.shared.demand.lock().unwrap() = vec![Demand {
        service: "manifest".into(),
        account: "office".into(),
        running: 0,
        waiting,
    }];
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_move_to_another_gateway_only_after_their_holder_gave_them_up() {
    /// Slots of two engines with four each.
    const SLOTS: u32 = 8;
    const HEARTBEATS: u32 = 20;
    let list = ["m-0", "m-1"].map(|name| listing(name, "manifest", "z0"));
    let cloud = FakeCloud::with_instances(list.to_vec());
    let cluster = Cluster::start_with(1, Timing::default(), Some(cloud)).await;
    cluster.plan_and_confirm(&one_account()).await;
    let first = FakeGateway::start(&cluster, "g0", "z0", 1);
    set_demand(&first, SLOTS);
    first.wait_for_state(|state| state.slots == SLOTS).await;
    first.shared.drops_shares.store(true, Ordering::Relaxed);
    let second = FakeGateway::start(&cluster, "g1", "z0", 1);
    set_demand(&second, SLOTS);
    let mut second_state = second.shared.state.subscribe();
    for _ in 0..HEARTBEATS {
        second_state.changed().await.unwrap();
        let sum = first.shared.state.borrow().slots + second_state.borrow().slots;
        assert!(sum <= SLOTS, "{sum} slots are in use");
    }
    first.shared.drops_shares.store(false, Ordering::Relaxed);
    second.wait_for_state(|state| state.slots > 0).await;
}
