//! Tests `flamingocroft explain --logs`, which explains a request from the daemons' logs.

mod cmd_support;

use std::fs;

use cmd_support::Tool;
use tempfile::TempDir;

const GATEWAY_LOG: &str = r#"{"time":"2026-10-03T23:07:10.000+00:00","level":"info","event":"upstream.leaving","upstream":"i-1","message":"ingress: upstream i-1 is leaving"}
{"time":"2026-10-03T23:07:17.000+00:00","level":"info","event":"upstream.leaving","upstream":"i-1","message":"ingress: upstream i-1 is leaving"}
{"time":"2026-10-03T23:07:17.500+00:00","level":"info","event":"upstream.leaving","upstream":"i-2","message":"ingress: upstream i-2 is leaving"}
{"time":"2026-10-03T23:07:17.600+00:00","level":"info","event":"table.in_force","version":36,"message":"ingress: a table is in force"}
not a line of ours
{"time":"2026-10-03T23:07:18.000+00:00","level":"warn","event":"attempt.failed","request":"r1","upstream":"i-1","sent":"Maybe","message":"ingress: an attempt failed: cut"}
{"time":"2026-10-03T23:07:18.001+00:00","level":"warn","event":"request.ended","request":"r1","outcome":"Failed(Unclear)","left_ms":2379,"message":"ingress: a request ends without an upstream's answer"}
{"time":"2026-10-03T23:07:18.002+00:00","level":"info","event":"request.answered","request":"r2","upstream":"i-1","message":"ingress: a request is answered"}
{"time":"2026-10-03T23:07:19.000+00:00","level":"info","event":"table.in_force","version":37,"message":"ingress: a table is in force"}
"#;

#[tokio::test]
async fn a_request_is_explained_with_the_state_changes_before_it() {
    let folder = TempDir::new().unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let (a, b) = (
        file("gateway-a.log", GATEWAY_LOG),
        file("gateway-b.log", ""),
    );
    let tool = Tool::new(&[]);
    let explained = tool
        .run(&["explain", "r1", "--logs", &a, &b, "--json"])
        .await;
    assert_eq!(explained.code, 0, "{}", explained.stderr);
    let explained: serde_json::Value = serde_json::from_str(&explained.stdout).unwrap();
    let what: Vec<_> = explained["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["what"].as_str().unwrap())
        .collect();
    assert_eq!(
        what,
        [
            "gateway-a: ingress: upstream i-1 is leaving (event=upstream.leaving, upstream=i-1)",
            "gateway-a: ingress: a table is in force (event=table.in_force, version=36)",
            "gateway-a: ingress: an attempt failed: cut (event=attempt.failed, sent=Maybe, upstream=i-1)",
            "gateway-a: ingress: a request ends without an upstream's answer (event=request.ended, \
             left_ms=2379, outcome=Failed(Unclear))",
        ]
    );
    let shown = tool.run(&["explain", "r1", "--logs", &a]).await;
    assert!(
        shown.stdout.contains("2026-10-03T23:07:18.001Z"),
        "{}",
        shown.stdout
    );
}

#[tokio::test]
async fn an_unknown_request_and_a_missing_log_are_errors() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("gateway-a.log");
    fs::write(&path, GATEWAY_LOG).unwrap();
    let path = path.to_str().unwrap();
    let tool = Tool::new(&[]);
    for args in [
        ["explain", "r9", "--logs", path],
        ["explain", "r1", "--logs", "/nowhere.log"],
    ] {
        let failed = tool.run(&args).await;
        assert_ne!(failed.code, 0);
        assert!(failed.stderr.contains("r9") || failed.stderr.contains("/nowhere.log"));
    }
}
