//! The deploy file and the templates of settings: what they render to is valid settings of both roles.

use std::{fs, path::Path};

use flamingocroft::settings::{Role, Settings};
use serde_json::{Value, json};
use tempfile::TempDir;

fn root(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

fn fields(bootstrap: bool) -> Value {
    json!({
        "Ip": "10.1.0.14", "Zone": "zarzis", "DataDir": "/data/controller", "Bootstrap": bootstrap,
        "Listen": {
            "Front": "10.1.0.14:8221", "Ready": "10.1.0.14:8224",
            "Directory": "10.1.0.14:8220", "Control": "10.1.0.14:8229",
        },
        "PortRange": [7600, 7615],
        "Seeds": ["10.1.0.17:8229", "10.2.0.7:8229", "10.3.0.36:8229"],
        "FaultTolerance": { "Machines": 2 },
        "CloudApi": { "Address": "10.200.0.35:8225" },
        "Bounds": {
            "GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetSlack": 56, "BudgetWindowS": 10,
            "QuotaWindowS": 8, "QuotaOverage": 0.1, "QuotaSlack": 110_000, "UsageWindowS": 5,
            "LeaseMs": 3000,
        },
    })
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Renders values and one kind of section, which is all that the templates use.
fn render(template: &str, fields: &Value) -> String {
    let mut out = template.to_owned();
    while let Some(begin) = out.find("{{#") {
        let name_end = begin + out[begin..].find("}}").unwrap();
        let name = out[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = out.find(&close).unwrap();
        let body = out[name_end + 2..end].to_owned();
        let entries = fields[&name].as_array().unwrap();
        let rendered: Vec<_> = entries
            .iter()
            .map(|entry| body.replace("{{.}}", &text(entry)).replace("{{,}}", ""))
            .collect();
        out.replace_range(begin..end + close.len(), &rendered.join(","));
    }
    while let Some(begin) = out.find("{{") {
        let end = begin + out[begin..].find("}}").unwrap();
        let value = out[begin + 2..end].split('.').fold(fields, |value, name| {
            match name.parse::<usize>() {
                Ok(index) => &value[index],
                Err(_) => &value[name],
            }
        });
        assert!(!value.is_null(), "no value for {}", &out[begin..end + 2]);
        let value = text(value);
        out.replace_range(begin..end + 2, &value);
    }
    out
}

fn settings(template: &str, bootstrap: bool) -> Settings {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("settings.jsonc");
    fs::write(&file, render(&root(template), &fields(bootstrap))).unwrap();
    Settings::read_without_files(&file).unwrap()
}

#[test]
fn both_templates_render_to_valid_settings() {
    let gateway = settings("deploy/gateway.jsonc", true);
    assert_eq!(gateway.role, Role::Gateway);
    assert_eq!(gateway.controllers.len(), 3);
    let ingress = gateway.ingress.unwrap();
    assert_eq!(ingress.quota_rule().window.unwrap().as_secs(), 8);
    assert_eq!(ingress.usage_window.unwrap().as_secs(), 5);
    let controller = settings("deploy/controller.jsonc", false);
    assert_eq!(controller.role, Role::Controller);
    assert_eq!(
        (controller.bootstrap, controller.tolerated_losses),
        (false, 2)
    );
    assert_eq!(controller.controllers.len(), 4, "this one is no seed");
    assert!(controller.ingress.unwrap().engine_tokens_per_ms.is_some());
}

#[test]
fn the_deploy_file_names_templates_that_are_there() {
    let deploy = root("deploy/system.toml");
    let templates: Vec<_> = deploy
        .lines()
        .filter_map(|line| line.strip_prefix("template = "))
        .map(|path| path.trim_matches('"'))
        .collect();
    assert_eq!(
        templates,
        ["deploy/gateway.jsonc", "deploy/controller.jsonc"]
    );
    assert!(templates.iter().all(|path| !root(path).is_empty()));
}
