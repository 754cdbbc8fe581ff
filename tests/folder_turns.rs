//! Builds take turns on data folders, with kills between.
//!
//! Without more, the turns are those of one build. By hand, `EARLIER_DAEMON` names the program of an earlier commit; see
//! docs/UPGRADES.md.

mod platform_support;
#[path = "../examples/support/mod.rs"]
mod support;

use std::process::Stdio;

use hyper::{Method, StatusCode};
use platform_support::{
    PreparedInstallation, ServerAction,
    daemons::{Daemon, call_any, call_following_redirect, current_program, earlier_program},
    document, wait_until,
};
use serde_json::{Value, json};
use support::{
    http::{Call, send},
    intent::intent,
    processes::Processes,
    records::append_half_a_record,
    shape::{PAYING_TOKEN, Shape},
};
use tempfile::TempDir;
use uuid::Uuid;

/// Routes of a large table.
const MANY_ROUTES: usize = 1400;

/// Returns a document, from the second turn on with many routes.
fn table(version: u64) -> Value {
    let mut table = document(version);
    if version > 1 {
        let routes = table["Routes"].as_array_mut().unwrap();
        for n in 0..MANY_ROUTES {
            let mut route = routes[0].clone();
            route["Name"] = json!(format!("more-{n}"));
            route["PathPrefix"] = json!(format!("/more-{n}/"));
            routes.push(route);
        }
    }
    table
}

#[tokio::test(flavor = "multi_thread")]
async fn builds_take_turns_on_a_data_folder_with_a_kill_and_half_a_record_between() {
    let (earlier, current) = (earlier_program(), current_program());
    let prepared = PreparedInstallation::prepare(1, 0, |_, _| ServerAction::Silent).await;
    let (folder, controls) = (prepared.data_folder(0), prepared.controls());
    let file = prepared.controller_files[0].clone();
    let _installation = prepared.into_installation();
    let turns = [&*earlier, current, &*earlier, current, &*earlier];
    for (version, program) in (1..).zip(turns) {
        let mut controller = Daemon::start_program(program, &file, "info", Stdio::null());
        if version > 1 {
            wait_until("the controller answers", || async {
                let read = call_following_redirect(controls[0], Method::GET, "/api/config/get", "");
                read.await.is_some_and(|res| res.status == StatusCode::OK)
            })
            .await;
            let read = call_any(&controls, Method::GET, "/api/config/get", "").await;
            let document: Value = serde_json::from_str(&read.text()).unwrap();
            assert!(document == table(version - 1), "{}", program.display());
        }
        let text = table(version).to_string();
        call_any(&controls, Method::POST, "/api/config/put", &text).await;
        controller.kill();
        append_half_a_record(&folder);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_a_call_outlives_builds_that_take_turns() {
    let (earlier, current) = (earlier_program(), current_program());
    let folder = TempDir::new().unwrap();
    let shape = Shape::default();
    let mut processes = Processes::start(&shape, &earlier, folder.path())
        .await
        .unwrap();
    processes.confirm(&intent(&shape)).await.unwrap();
    processes.wait_ready().await.unwrap();
    let body = json!({"truck": "TN-204"});
    let call = Call::post("/v1/services/depot/releases", PAYING_TOKEN, &body)
        .header("Idempotency-Key", Uuid::now_v7());
    let first = send(processes.gateway(0), &call).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    for program in [current, &*earlier, current] {
        for controller in &mut processes.controllers {
            controller.kill().unwrap();
        }
        for controller in &mut processes.controllers {
            append_half_a_record(controller.settings.data_folder.as_ref().unwrap());
            controller.restart_as(program).unwrap();
        }
        let status = processes.status().await.unwrap();
        assert_eq!(status.revision.0, 1, "the confirmed revision is in force");
        processes.wait_ready().await.unwrap();
        for gateway in [0, 1] {
            let again = send(processes.gateway(gateway), &call).await.unwrap();
            assert_eq!(again.text(), first.text(), "{}", program.display());
            assert_eq!(again.headers["x-replayed"], "true");
        }
    }
    let executed: u32 = processes.upstreams.executions().values().sum();
    assert_eq!(executed, 1);
}
