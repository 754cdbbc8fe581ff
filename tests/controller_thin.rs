//! Tests that one controller and three controllers elect a leader, answer operators and serve gateways.

mod controllers;

use controllers::{Cluster, FakeCloud, FakeGateway, intent};
use flamingocroft::settings::Timing;

#[tokio::test(flavor = "multi_thread")]
async fn one_controller_confirms_an_intent() {
    let cluster = Cluster::start(1).await;
    let confirmed = cluster.plan_and_confirm(&intent(1)).await;
    assert_eq!(confirmed.revision.0, 1);
    assert_eq!(cluster.leader().await.1.revision.0, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn three_controllers_serve_gateways_and_list_instances() {
    let cloud = FakeCloud::with_instances(vec![controllers::listing("i-1", "manifest", "z0")]);
    let cluster = Cluster::start_with(3, Timing::default(), Some(cloud)).await;
    let gateways = ["g0", "g1"].map(|name| FakeGateway::start(&cluster, name, "z0", 1));
    for gateway in &gateways {
        let state = gateway
            .wait_for_state(|state| state.gateways.len() == 2 && state.instances.len() == 1)
            .await;
        assert_eq!(state.instances, [("i-1".to_owned(), 0)]);
    }
    let confirmed = cluster.plan_and_confirm(&intent(1)).await;
    assert!(confirmed.everywhere, "{confirmed:?}");
    assert_eq!(confirmed.gateways, 2);
}
