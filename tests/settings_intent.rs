//! Tests the validation of intent files: field types, references and rules.

use flamingocroft::{
    domain::Intent,
    settings::intent::{check_intent, parse_intent},
};
use serde_json::{Value, json};

fn valid() -> Value {
    let hash = |digit: &str| digit.repeat(64);
    json!({
        "zones": [{ "name": "a", "region": "south" }, { "name": "b", "region": "south" }],
        "tiers": [
            { "name": "paying", "paying": true, "first_token_ms": 640, "between_tokens_ms": 26 },
            { "name": "free", "paying": false, "first_token_ms": 5000, "between_tokens_ms": 100 },
        ],
        "accounts": [
            { "name": "depot", "tier": "paying", "token_sha256": hash("a"), "weight": 3 },
            { "name": "guest", "tier": "free", "token_sha256": hash("b") },
        ],
        "models": [{ "name": "assistant", "version": "v1", "weights_mib": 16384 }],
        "services": [
            {
                "name": "assistants",
                "kind": { "engines": { "models": ["assistant"], "fencing": "checked" } },
                "zones": ["a", "b"],
                "class": "gpu",
                "slots_per_instance": 8,
                "expected_concurrency": 100,
            },
            {
                "name": "yard",
                "kind": { "plain": { "operations": [
                    { "method": "GET", "path": "/piles", "idempotent": true },
                    { "method": "POST", "path": "/releases", "idempotent": false },
                ] } },
                "zones": ["a"],
                "class": "gpu",
                "slots_per_instance": 64,
                "expected_concurrency": 100,
            },
        ],
        "prices": [price("a"), price("b")],
    })
}

fn price(zone: &str) -> Value {
    json!({
        "zone": zone,
        "class": "gpu",
        "on_demand_micros_per_hour": 3_000_000,
        "reclaimable_micros_per_hour": 1_000_000,
        "reclaims_per_day": 1.5,
    })
}

fn problems(value: Value) -> Vec<String> {
    parse_intent(value)
        .err()
        .into_iter()
        .flatten()
        .map(|problem| problem.to_string())
        .collect()
}

#[test]
fn a_valid_intent_survives_a_json_round_trip() {
    let intent = parse_intent(valid()).unwrap();
    assert_eq!(intent.accounts[1].weight, 1);
    let again = parse_intent(serde_json::to_value(&intent).unwrap()).unwrap();
    assert_eq!(again, intent);
}

#[test]
fn each_rule_has_its_own_message() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 21] = [
        (
            |v| v["zones"] = json!([]),
            "zones is []: write a list of at least 1",
        ),
        (
            |v| v["zone"] = json!([]),
            "zone is []: remove it, or use one of zones, tiers",
        ),
        (
            |v| v["zones"][1]["name"] = json!("A"),
            "zones[1].name is A: write one that no other entry has",
        ),
        (
            |v| v["tiers"][0]["first_token_ms"] = json!(0),
            "tiers[0].first_token_ms is 0: write a whole number from 1",
        ),
        (
            |v| v["tiers"][0]["between_tokens_ms"] = json!(2.5),
            "tiers[0].between_tokens_ms is 2.5: write a whole number",
        ),
        (
            |v| v["accounts"][0]["tier"] = json!("gold"),
            "accounts[0].tier is gold: add it to tiers, or write one of paying, free",
        ),
        (
            |v| v["accounts"][0]["token_sha256"] = json!("secret"),
            "accounts[0].token_sha256 is \"secret\": write the 64 hexadecimal digits",
        ),
        (
            |v| v["accounts"][1]["token_sha256"] = json!("A".repeat(64)),
            "accounts[1].token_sha256 is AAAA",
        ),
        (
            |v| v["accounts"][1]["weight"] = json!(0),
            "accounts[1].weight is 0: write a whole number from 1",
        ),
        (
            |v| v["services"][0]["kind"]["engines"]["models"][0] = json!("huge"),
            "services[0].kind.engines.models[0] is huge: add it to models",
        ),
        (
            |v| v["services"][0]["kind"]["engines"]["fencing"] = json!(true),
            "services[0].kind.engines.fencing is true: write one of \"checked\", \"ignored\"",
        ),
        (
            |v| v["services"][0]["kind"]["plain"] = json!({ "operations": [] }),
            "services[0].kind is 2 of them: write exactly one of engines, plain",
        ),
        (
            |v| v["services"][0]["kind"] = json!("engines"),
            "services[0].kind is \"engines\": write an object with one of the fields engines, plain",
        ),
        (
            |v| v["services"][1]["kind"]["plain"]["operations"][1]["method"] = json!("post"),
            "services[1].kind.plain.operations[1].method is \"post\": write one of \"GET\"",
        ),
        (
            |v| v["services"][1]["kind"]["plain"]["operations"][1]["path"] = json!("/releases/"),
            "services[1].kind.plain.operations[1].path is /releases/: write a path such as",
        ),
        (
            |v| {
                v["services"][1]["kind"]["plain"]["operations"][1] =
                    v["services"][1]["kind"]["plain"]["operations"][0].clone()
            },
            "services[1].kind.plain.operations[1] is GET /piles: declare each call once",
        ),
        (
            |v| v["services"][1]["name"] = json!("assistants"),
            "services[1].name is assistants: write one that no other entry has",
        ),
        (
            |v| v["services"][1]["zones"] = json!(["b", "b"]),
            "services[1].zones[1].name is b: write one that no other entry has",
        ),
        (
            |v| v["services"][1]["class"] = json!("cpu"),
            "services[1].zones[0] is a: add a price for class cpu in this zone",
        ),
        (
            |v| v["prices"] = json!([price("a"), price("b"), price("a")]),
            "prices[2] is a gpu: give each zone and class one price",
        ),
        (
            |v| v["limits"] = json!({ "max_instances": 0 }),
            "limits.max_instances is 0: write a whole number from 1",
        ),
    ];
    for (change, expected) in cases {
        let mut value = valid();
        change(&mut value);
        let found = problems(value);
        assert_eq!(found.len(), 1, "{expected}: {found:#?}");
        assert!(found[0].starts_with(expected), "{}", found[0]);
    }
}

#[test]
fn a_file_with_many_errors_reports_all_of_them() {
    let mut value = valid();
    value["zones"][1]["nam"] = json!("c");
    value["tiers"][1]["paying"] = json!("no");
    value["accounts"][0]["tier"] = json!("gold");
    value["accounts"][1]["token_sha256"] = json!("b");
    value["models"][0]
        .as_object_mut()
        .unwrap()
        .remove("version");
    value["services"][0]["zones"] = json!(["a", "z"]);
    value["services"][1]["expected_concurrency"] = json!(-1);
    value["prices"][1]["zone"] = json!("y");
    value["routing"] = json!({ "ms_per_zone_crossing": "twelve" });
    insta::assert_snapshot!(problems(value).join("\n"));
}

#[test]
fn every_routing_cost_can_be_set() {
    let mut value = valid();
    value["routing"] = json!({
        "ms_per_thousand_uncached_tokens": 1, "ms_per_zone_crossing": 2,
        "ms_per_queued_request": 3, "ms_of_equal_cost": 4,
    });
    let routing = parse_intent(value).unwrap().routing;
    assert_eq!(routing.ms_of_equal_cost, Some(4.0));
    assert_eq!(routing.ms_per_queued_request, 3.0);
}

#[test]
fn an_intent_not_read_from_a_file_is_checked_by_the_same_rules() {
    let mut intent: Intent = parse_intent(valid()).unwrap();
    assert_eq!(check_intent(&intent), Ok(()));
    intent.zones.clear();
    intent.accounts[0].token_sha256 = "secret".to_owned();
    intent.accounts[0].weight = 0;
    intent.tiers[0].first_token = Default::default();
    intent.services[0].slots_per_instance = 0;
    intent.prices[0].on_demand_micros_per_hour.0 = -1;
    let fields: Vec<String> = check_intent(&intent)
        .unwrap_err()
        .into_iter()
        .map(|problem| problem.field)
        .collect();
    let expected = [
        "zones",
        "tiers[0].first_token_ms",
        "accounts[0].token_sha256",
        "accounts[0].weight",
        "services[0].slots_per_instance",
        "prices[0].on_demand_micros_per_hour",
    ];
    assert_eq!(fields, expected);
}
