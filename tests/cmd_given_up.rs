//! An order that the operator tool has given up does not take effect later.

mod cmd_support;
mod held_link;

use std::time::Duration;

use cmd_support::{Answer::Json, FakeController, Tool, plan};
use held_link::{Held, HeldLink};
use serde_json::json;
use tokio::time::sleep;

/// Time for bytes to arrive once nothing holds them.
const ARRIVAL: Duration = Duration::from_millis(300);

/// Guards against a change that takes effect after its operator was told that nobody answers.
#[tokio::test]
async fn an_order_that_nobody_answered_in_time_never_arrives() {
    let leader = FakeController::start().await;
    leader.respond("POST /v1/confirm", [Json(200, json!({ "revision": 5 }))]);
    let link = HeldLink::start(leader.address).await;
    link.set(Held::Both);
    let tool = Tool::new(&[link.address()]);
    tool.write_file("plan.json", &plan().to_string());
    let outcome = tool.run(&["confirm", "plan.json", "--timeout", "1"]).await;
    assert_eq!(outcome.code, 4, "{outcome:?}");
    sleep(ARRIVAL).await;
    link.set(Held::Nothing);
    sleep(ARRIVAL).await;
    assert_eq!(link.arrivals("POST /v1/confirm"), 0);
}
