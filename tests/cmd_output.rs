//! Tests the output and exit codes of the operator tool.

mod cmd_support;

use cmd_support::{Answer::Json, FakeController, OPERATION, Tool, error, intent, plan};
use serde_json::json;
use sha2::{Digest, Sha256};

const REQUEST: &str = "0190b5a0-0000-7000-8000-000000000001";

async fn start() -> (FakeController, Tool) {
    let fake = FakeController::start().await;
    let tool = Tool::new(&[fake.address]);
    (fake, tool)
}

#[tokio::test]
async fn check_detects_the_kind_of_file_and_lists_all_errors() {
    let tool = Tool::new(&[]);
    tool.write_file("good.jsonc", &format!("// An intent.\n{}", intent()));
    let mut bad = intent();
    bad["zones"] = json!([]);
    bad["accounts"][0]["tier"] = json!("gold");
    bad["accounts"][0]["color"] = json!("pink");
    tool.write_file("bad.jsonc", &bad.to_string());
    tool.write_file("settings.jsonc", r#"{ role: "gateway", name: "g1" }"#);
    tool.write_file("broken.jsonc", "{ zones: [");
    let mut output = String::new();
    for file in [
        "good.jsonc",
        "bad.jsonc",
        "settings.jsonc",
        "broken.jsonc",
        "missing.jsonc",
    ] {
        output += &tool.run(&["check", file]).await.describe(&tool);
    }
    for file in ["good.jsonc", "bad.jsonc", "missing.jsonc"] {
        output += &tool.run(&["check", file, "--json"]).await.describe(&tool);
    }
    insta::assert_snapshot!(output);
}

#[tokio::test]
async fn plan_and_confirm_show_what_changes_and_what_it_costs() {
    let (fake, tool) = start().await;
    tool.write_file("intent.jsonc", &intent().to_string());
    fake.respond("POST /v1/plan", [Json(200, plan())]);
    let confirmed = json!({
        "revision": 5, "index": 42, "in_force": 6, "gateways": 6, "everywhere": true,
    });
    let partly = json!({
        "revision": 5, "index": 42, "in_force": 5, "gateways": 6, "everywhere": false,
    });
    fake.respond(
        "POST /v1/confirm",
        [Json(200, partly), Json(200, confirmed)],
    );
    let mut output = tool.run(&["plan", "intent.jsonc"]).await.describe(&tool);
    output += &tool
        .run(&["plan", "intent.jsonc", "-o", "plan.json"])
        .await
        .describe(&tool);
    output += &tool.run(&["confirm", "plan.json"]).await.describe(&tool);
    output += &tool.run(&["confirm", "plan.json"]).await.describe(&tool);
    output += &tool
        .run(&["confirm", "plan.json", "--json"])
        .await
        .describe(&tool);
    output += &tool.run(&["confirm", "intent.jsonc"]).await.describe(&tool);
    insta::assert_snapshot!(output);
    let sent = fake.received().pop().unwrap();
    assert_eq!(sent.body["operation"], OPERATION);
    assert_eq!(sent.body["base_revision"], 4);
    assert_eq!(sent.body["intent"]["accounts"][0]["name"], "depot");
    assert_eq!(sent.authorization, format!("Bearer {}", cmd_support::TOKEN));
}

#[tokio::test]
async fn status_and_history_are_laid_out_in_columns() {
    let (fake, tool) = start().await;
    let status = json!({
        "controller": "c1", "term": 3, "commit": 42, "revision": 5,
        "members": [
            { "name": "c1", "member": 11, "voter": true, "matched": 42 },
            { "name": "c2-long", "member": 12, "voter": false, "matched": 7 },
        ],
        "gateways": [
            {
                "name": "g1", "zone": "a", "caller_address": "10.0.0.9:80", "view_index": 42,
                "leaving": false,
            },
            {
                "name": "g2", "zone": "b", "caller_address": "10.0.1.10:80", "view_index": 41,
                "leaving": true,
            },
        ],
        "instances": [{
            "name": "assistants-1", "incarnation": 1, "service": "assistants", "zone": "a",
            "class": "gpu", "purchase": "reclaimable", "address": "10.0.0.20:80", "state": "leaving",
        }],
    });
    let history = json!([
        {
            "revision": 4, "operation": OPERATION, "at_unix_ms": 951_782_400_000_u64,
            "changes": ["Account depot is added."],
        },
        {
            "revision": 5, "operation": OPERATION, "at_unix_ms": 1_796_342_399_999_u64,
            "changes": [],
        },
    ]);
    fake.respond("GET /v1/status", [Json(200, status)]);
    fake.respond(
        "GET /v1/history",
        [Json(200, history), Json(200, json!([]))],
    );
    let mut output = tool.run(&["status"]).await.describe(&tool);
    for _ in 0..2 {
        output += &tool.run(&["history"]).await.describe(&tool);
    }
    insta::assert_snapshot!(output);
}

#[tokio::test]
async fn explain_calls_the_leader_or_for_requests_the_gateways() {
    let (fake, tool) = start().await;
    let (first, second) = (FakeController::start().await, FakeController::start().await);
    let gateway = |name: &str, fake: &FakeController| {
        json!({
            "name": name, "zone": "a", "caller_address": fake.address, "view_index": 1,
            "leaving": false,
        })
    };
    let status = json!({
        "controller": "c1", "term": 1, "commit": 1, "revision": 1, "members": [],
        "gateways": [gateway("g1", &first), gateway("g2", &second)], "instances": [],
    });
    let explanation = |subject: &str| {
        let events = json!([{ "at_unix_ms": 1000, "what": "Routed to assistants-1." }]);
        Json(200, json!({ "subject": subject, "events": events }))
    };
    fake.respond("GET /v1/status", [Json(200, status)]);
    fake.respond("GET /v1/explain/revision/5", [explanation("revision 5")]);
    fake.respond(
        "GET /v1/explain/instance/assistants-1",
        [explanation("instance assistants-1")],
    );
    let path = format!("GET /v1/explain/request/{REQUEST}");
    second.respond(&path, [explanation("request")]);
    let mut output = String::new();
    for subject in ["5", "assistants-1", REQUEST, "../status", "unknown-1"] {
        output += &tool.run(&["explain", subject]).await.describe(&tool);
    }
    insta::assert_snapshot!(output);
    assert_eq!(first.received()[0].line, path);
}

#[tokio::test]
async fn drain_and_members_report_the_log_index_of_the_change() {
    let (fake, tool) = start().await;
    fake.respond(
        "POST /v1/drain/assistants-1",
        [Json(200, json!({ "index": 43 }))],
    );
    fake.respond(
        "POST /v1/members",
        [
            Json(200, json!({ "index": 44 })),
            Json(200, json!({ "index": 45 })),
            error(409, "conflict", "another change of members is in progress"),
        ],
    );
    let mut output = String::new();
    for args in [
        ["drain", "assistants-1", "--json"].as_slice(),
        &["members", "add", "7"],
        &["members", "promote", "7"],
        &["members", "remove", "7"],
        &["members", "remove", "seven"],
    ] {
        output += &tool.run(args).await.describe(&tool);
    }
    insta::assert_snapshot!(output);
    let bodies: Vec<_> = fake
        .received()
        .into_iter()
        .skip(1)
        .map(|sent| sent.body)
        .collect();
    assert_eq!(
        bodies,
        [
            json!({ "add_learner": 7 }),
            json!({ "promote": 7 }),
            json!({ "remove": 7 })
        ]
    );
}

#[tokio::test]
async fn a_new_token_comes_with_its_hash() {
    let tool = Tool::new(&[]);
    let made = tool.run(&["token", "--json"]).await;
    let made: serde_json::Value = serde_json::from_str(&made.stdout).unwrap();
    let hash = Sha256::digest(made["token"].as_str().unwrap());
    assert_eq!(made["sha256"], format!("{hash:x}"));
    let other = tool.run(&["token", "--json"]).await;
    assert_ne!(
        made,
        serde_json::from_str::<serde_json::Value>(&other.stdout).unwrap()
    );
}

#[tokio::test]
async fn completions_contain_the_sub_commands() {
    let tool = Tool::new(&[]);
    for shell in ["bash", "zsh", "fish"] {
        let made = tool.run(&["completions", shell]).await;
        assert_eq!(made.code, 0);
        assert!(made.stdout.contains("confirm"), "{shell}");
    }
}
