//! Tests that settings files report all errors at once, each with its field, value and remedy.

use std::{fs, path::PathBuf};

use flamingocroft::settings::{FileError, Role, Settings};
use proptest::prelude::*;
use serde_json::{Value, json};
use tempfile::TempDir;

const HASH: &str = "9f6428a511a39f7a55af6eac9e0719efd5672a15e2d6c344e728457ebc9d3a7d";

fn controller(name: &str, zone: &str, host: u8) -> Value {
    json!({
        "name": name,
        "zone": zone,
        "peer_address": format!("10.0.0.{host}:7000"),
        "http_address": format!("10.0.0.{host}:8000"),
    })
}

/// A valid settings file of a controller.
fn valid(folder: &TempDir) -> Value {
    let key = folder.path().join("peer.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    json!({
        "name": "c1",
        "role": "controller",
        "zone": "a",
        "http_address": "10.0.0.1:8000",
        "peer_address": "10.0.0.1:7000",
        "peer_key_file": key,
        "controllers": [
            controller("c1", "a", 1),
            controller("c2", "b", 2),
            controller("c3", "c", 3),
        ],
        "data_folder": folder.path().join("data"),
        "operator_token_sha256": HASH,
    })
}

fn read(folder: &TempDir, text: &str) -> Result<Settings, FileError> {
    let file = folder.path().join("settings.jsonc");
    fs::write(&file, text).unwrap();
    Settings::read(&file)
}

/// Reads a file and returns its problems, one line each.
fn problems(folder: &TempDir, value: &Value) -> Vec<String> {
    match read(folder, &value.to_string()) {
        Ok(_) => Vec::new(),
        Err(FileError::Invalid { problems, .. }) => {
            problems.iter().map(ToString::to_string).collect()
        }
        Err(e) => panic!("{e}"),
    }
}

#[test]
fn comments_and_defaults_are_read() {
    let folder = TempDir::new().unwrap();
    let mut value = valid(&folder);
    value["timing"] = json!({ "view_lease_ms": 1500 });
    value["advertised_address"] = Value::Null;
    let text = format!("// The first controller.\n{value}\n/* the end */");
    let settings = read(&folder, &text).unwrap();
    assert_eq!(settings.role, Role::Controller);
    assert_eq!(settings.timing.view_lease.as_millis(), 1500);
    assert_eq!(settings.timing.gateway_heartbeat.as_millis(), 400);
    assert_eq!(settings.limits, Default::default());
    assert!(
        !folder.path().join("data").exists(),
        "checking makes no folder"
    );
    let written = serde_json::to_string(&settings).unwrap();
    assert_eq!(read(&folder, &written).unwrap(), settings);
}

#[test]
fn a_file_with_many_errors_reports_all_of_them() {
    let folder = TempDir::new().unwrap();
    let mut value = valid(&folder);
    value["name"] = json!("c9");
    value["zone"] = json!("");
    value["http_address"] = json!("localhost");
    value["rolle"] = json!("gateway");
    value["peer_key_file"] = json!("/nowhere/peer.key");
    value["timing"] = json!({ "view_lease_ms": "2s", "view_lease": 2000 });
    value["controllers"][1]["peer_address"] = json!(7000);
    value.as_object_mut().unwrap().remove("role");
    let file = folder.path().join("settings.jsonc");
    fs::write(&file, value.to_string()).unwrap();
    let e = Settings::read(&file).unwrap_err().to_string();
    insta::assert_snapshot!(e.replace(&file.display().to_string(), "settings.jsonc"));
}

#[test]
fn rules_across_fields_are_reported_with_the_other_errors() {
    let folder = TempDir::new().unwrap();
    let mut value = valid(&folder);
    value["name"] = json!("c9");
    value["extra"] = json!(1);
    value["peer_key_file"] = json!("/nowhere/peer.key");
    value["limits"] = json!({ "max_tokens": 0, "prompt_bytes": 4096, "body_bytes": 2048 });
    value["timing"] = json!({
        "view_lease_ms": 800,
        "election_timeout_ms": 200,
        "claim_retention_ms": 1000,
        "request_timeout_ms": 5000,
        "first_byte_timeout_ms": 6000,
        "connect_timeout_ms": 7000,
    });
    value["controllers"][1] = controller("c1", "a", 1);
    value.as_object_mut().unwrap().remove("data_folder");
    value
        .as_object_mut()
        .unwrap()
        .remove("operator_token_sha256");
    insta::assert_snapshot!(problems(&folder, &value).join("\n"));
}

#[test]
fn each_rule_has_its_own_message() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 12] = [
        (
            |v| v["operator_token_sha256"] = json!("abc"),
            "operator_token_sha256 is \"abc\": write the 64 hexadecimal digits",
        ),
        (
            |v| v["name"] = json!("c9"),
            "name is c9: add an entry of this name to controllers",
        ),
        (
            |v| v["zone"] = json!("b"),
            "zone is b: write a, as the entry",
        ),
        (
            |v| v["controllers"][2]["zone"] = json!("a"),
            "controllers is 2 of 3 in zone a: spread them",
        ),
        (
            |v| v["controllers"][2]["name"] = json!("c2"),
            "controllers[2].name is c2: give each its own name",
        ),
        (
            |v| v["controllers"][2]["http_address"] = json!("10.0.0.1:7000"),
            "controllers[2].http_address is 10.0.0.1:7000: choose another address than controllers[0].peer_address",
        ),
        (
            |v| v["controllers"][2]["peer_address"] = json!("10.0.0.9:0"),
            "controllers[2] is port 0: write the ports",
        ),
        (
            |v| v["advertised_address"] = json!("0.0.0.0:8000"),
            "advertised_address is 0.0.0.0:8000: write an address that others can connect to",
        ),
        (
            |v| v["peer_address"] = json!("10.0.0.1:7009"),
            "peer_address is 10.0.0.1:7009: write 10.0.0.1:7000",
        ),
        (
            |v| v["http_address"] = json!("10.0.0.1:8009"),
            "http_address is 10.0.0.1:8009: write 10.0.0.1:8000",
        ),
        (|v| v["timing"] = json!([]), "timing is []: write an object"),
        (
            |v| v["data_folder"] = json!("/dev/null/data"),
            "data_folder is /dev/null/data: name a folder",
        ),
    ];
    for (change, expected) in cases {
        let folder = TempDir::new().unwrap();
        let mut value = valid(&folder);
        change(&mut value);
        let found = problems(&folder, &value);
        assert_eq!(found.len(), 1, "{expected}: {found:?}");
        assert!(found[0].starts_with(expected), "{}", found[0]);
    }
}

#[test]
fn a_gateway_needs_a_unique_name_but_no_folder_or_operator_token() {
    let folder = TempDir::new().unwrap();
    let mut value = valid(&folder);
    value["role"] = json!("gateway");
    value["http_address"] = json!("10.0.0.9:80");
    value["peer_address"] = json!("10.0.0.9:0");
    value.as_object_mut().unwrap().remove("data_folder");
    value
        .as_object_mut()
        .unwrap()
        .remove("operator_token_sha256");
    let expected = "name is c1: choose a name that no controller has";
    assert_eq!(problems(&folder, &value), [expected]);
    value["name"] = json!("g1");
    assert_eq!(problems(&folder, &value), [""; 0]);
}

#[test]
fn unreadable_and_malformed_files_give_different_errors() {
    let folder = TempDir::new().unwrap();
    let missing = Settings::read(&PathBuf::from("/nowhere.jsonc")).unwrap_err();
    assert!(matches!(missing, FileError::Unreadable { .. }), "{missing}");
    let malformed = read(&folder, "{ name: ").unwrap_err();
    assert!(matches!(malformed, FileError::Syntax { .. }), "{malformed}");
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            prop::collection::hash_map("[a-z]{1,4}", inner, 0..3)
                .prop_map(|map| map.into_iter().collect()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// With any value in a field, the file is either read or refused with problems of that field only.
    #[test]
    fn a_wrong_value_is_reported_for_its_field(
        field in prop::sample::select(vec![
            "name", "role", "zone", "http_address", "peer_address", "advertised_address",
            "controllers", "operator_token_sha256", "cloud_address", "limits", "timing", "x",
        ]),
        wrong in any_json(),
    ) {
        let folder = TempDir::new().unwrap();
        let mut value = valid(&folder);
        value[field] = wrong;
        for line in problems(&folder, &value) {
            prop_assert!(line.starts_with(field), "{line}");
        }
    }
}
