//! The deploy file and the settings templates, which must render to valid settings of both roles.

use std::{fs, path::Path};

use bytes::Bytes;
use flamingocroft::{
    domain::{RequestClass, RouteIndex, RoutedService},
    platform::Api,
    ports::Platform,
    settings::{Role, Settings, Timing},
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Reads a file of the repository.
fn read_file(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Sections for fields that a platform may leave out.
const OPTIONAL_SECTIONS: [&str; 1] = ["Bounds.ExposureShare"];

const USERS: [&str; 2] = ["sabkha", "woolstead"];

/// Reads an example of the fields that the platform provides to the templates, for one of the users.
fn platform_fields(user: &str) -> Value {
    serde_json::from_str(&read_file(&format!("examples/{user}/platform-fields.json"))).unwrap()
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the value of a dotted name.
fn find<'a>(fields: &'a Value, name: &str) -> &'a Value {
    name.split('.')
        .fold(fields, |value, name| match name.parse::<usize>() {
            Ok(index) => &value[index],
            Err(_) => &value[name],
        })
}

/// Renders a template's values, list sections and sections of a single value, which are all that the templates use of the
/// syntax.
fn render(template: &str, fields: &Value) -> String {
    let mut out = template.to_owned();
    while let Some(begin) = out.find("{{#") {
        let name_end = begin + out[begin..].find("}}").unwrap();
        let name = out[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = out.find(&close).unwrap();
        let body = out[name_end + 2..end].to_owned();
        let rendered = match find(fields, &name) {
            Value::Null if OPTIONAL_SECTIONS.contains(&&*name) => String::new(),
            Value::Null => panic!("no value for the section {name}"),
            Value::Array(entries) => {
                let entries = entries.iter();
                let rendered: Vec<_> = entries
                    .map(|entry| body.replace("{{.}}", &text(entry)).replace("{{,}}", ""))
                    .collect();
                rendered.join(",")
            }
            _ => body.to_owned(),
        };
        out.replace_range(begin..end + close.len(), &rendered);
    }
    while let Some(begin) = out.find("{{") {
        let end = begin + out[begin..].find("}}").unwrap();
        let value = find(fields, &out[begin + 2..end]);
        assert!(!value.is_null(), "no value for {}", &out[begin..end + 2]);
        let value = text(value);
        out.replace_range(begin..end + 2, &value);
    }
    out
}

fn settings(template: &str, fields: &Value) -> Settings {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("settings.jsonc");
    fs::write(&file, render(&read_file(template), fields)).unwrap();
    Settings::read_without_file_checks(&file).unwrap()
}

#[test]
fn roll_outs_are_set_up_where_the_platform_states_their_bounds() {
    let mut fields = platform_fields(USERS[0]);
    fields["Limits"] = json!({"MemoryMb": 160, "CpuShare": 0.12, "MaxFds": 4100, "LinkMbps": 10});
    for template in ["deploy/gateway.jsonc", "deploy/controller.jsonc"] {
        assert_eq!(settings(template, &fields).ingress.unwrap().rollout, None);
    }
    fields["Bounds"]["ExposureShare"] = json!(0.2);
    fields["Bounds"]["ExposureSlack"] = json!(30);
    fields["Bounds"]["RollbackMs"] = json!(4000);
    for template in ["deploy/gateway.jsonc", "deploy/controller.jsonc"] {
        let rollout = settings(template, &fields).ingress.unwrap().rollout;
        let bounds = rollout.unwrap().bounds();
        assert_eq!((bounds.share, bounds.slack), (0.2, 30.0));
        assert_eq!(bounds.rollback.as_millis(), 4000);
    }
}

#[test]
fn both_templates_render_to_valid_settings() {
    for user in USERS {
        let mut fields = platform_fields(user);
        let gateway = settings("deploy/gateway.jsonc", &fields);
        assert_eq!(gateway.role, Role::Gateway);
        assert_eq!(gateway.controllers.len(), 3);
        let ingress = gateway.ingress.unwrap();
        assert_eq!(ingress.quota_rule().window.unwrap().as_secs(), 8);
        assert_eq!(ingress.usage_window.unwrap().as_secs(), 5);
        fields["Bootstrap"] = json!(false);
        fields["FaultTolerance"]["Machines"] = json!(2);
        let controller = settings("deploy/controller.jsonc", &fields);
        assert_eq!(controller.role, Role::Controller);
        assert_eq!(
            (controller.bootstrap, controller.tolerated_losses),
            (false, 2)
        );
        assert_eq!(
            controller.controllers.len(),
            4,
            "three seeds and this controller itself"
        );
        assert!(controller.ingress.unwrap().usage_window.is_some());
    }
}

/// Guards against numbers of one deployment in a template: what differs between deployments must come from the
/// platform's fields, tables or measurements.
#[test]
fn templates_contain_no_deployment_specific_numbers() {
    // Ports, timings of this system's own processes, and zeros that turn seconds into milliseconds;
    // the line with the hash of a token is skipped.
    let allowed = ["9464", "1000", "000"];
    for template in ["deploy/gateway.jsonc", "deploy/controller.jsonc"] {
        let text = read_file(template);
        for line in text.lines().filter(|line| !line.contains("sha256")) {
            let figures = line.split(|c: char| !c.is_ascii_digit());
            let other = figures
                .filter(|figure| figure.len() > 1 && !allowed.contains(figure))
                .collect::<Vec<_>>();
            assert!(other.is_empty(), "{template}: {other:?} in {line}");
        }
    }
}

#[test]
fn the_example_tables_are_valid_and_have_every_class() {
    for user in USERS {
        let table = read_file(&format!("examples/{user}/table.json"));
        let api = Api::new("127.0.0.1:1".parse().unwrap(), &Timing::default());
        let table = RouteIndex::new(api.read_table(&Bytes::from(table)).unwrap());
        let classes: Vec<_> = table.table.routes.iter().map(|route| route.class).collect();
        for class in [
            RequestClass::Idempotent,
            RequestClass::NonIdempotent,
            RequestClass::Stream,
            RequestClass::ResumableStream,
        ] {
            assert!(classes.contains(&class), "{user}: {class:?}");
        }
        let scaled = |service: &&RoutedService| service.scaling.is_some();
        assert_eq!(table.table.services.iter().filter(scaled).count(), 1);
        assert_eq!(table.table.accounts.len(), 5);
    }
}

/// Under load the least urgent requests for a service are refused first; an account's priority takes
/// precedence over its route's.
#[test]
fn urgency_follows_the_account_priority_before_the_route_priority() {
    let mut table: Value = serde_json::from_str(&read_file("examples/sabkha/table.json")).unwrap();
    table["Tenants"][4]["Priority"] = json!(2);
    let api = Api::new("127.0.0.1:1".parse().unwrap(), &Timing::default());
    let table = api.read_table(&Bytes::from(table.to_string())).unwrap();
    let table = RouteIndex::new(table);
    let urgency = |route: &str, account: &str| {
        let found = table.table.routes.iter().find(|held| &*held.name == route);
        let account = account.into();
        table.urgency(&"assistant-llm".into(), found.unwrap(), Some(&account))
    };
    let order = [
        urgency("pile-query", "account-1"),
        urgency("manifest-draft", "account-2"),
        urgency("shift-brief", "account-1"),
        urgency("pile-query", "account-5"),
        urgency("manifest-draft", "account-5"),
        urgency("shift-brief", "account-5"),
    ];
    assert_eq!(order, [0.0, 0.2, 0.4, 0.6, 0.8, 1.0]);
}

#[test]
fn the_deploy_file_names_existing_templates() {
    let deploy = read_file("deploy/system.toml");
    let templates: Vec<_> = deploy
        .lines()
        .filter_map(|line| line.strip_prefix("template = "))
        .map(|path| path.trim_matches('"'))
        .collect();
    assert_eq!(
        templates,
        ["deploy/gateway.jsonc", "deploy/controller.jsonc"]
    );
    assert!(templates.iter().all(|path| !read_file(path).is_empty()));
}

/// Controllers run on a share of the core machines of each zone, rounded up. The result must have enough voters
/// for the losses, with at most one controller to spare.
#[test]
fn the_deploy_file_runs_enough_controllers_to_tolerate_the_losses() {
    let deploy = read_file("deploy/system.toml");
    let controllers = deploy.split("[roles.controller]").nth(1).unwrap();
    let line = controllers
        .lines()
        .find_map(|line| line.strip_prefix("share = "));
    let share: f64 = line
        .expect("the deploy file has no share of the machines for controllers")
        .parse()
        .unwrap();
    // Core machines by zone, and the number of them that may be lost at once.
    let layouts: [(&[u32], usize); 4] = [
        (&[2, 2, 1], 1),
        (&[3, 3, 3], 2),
        (&[3, 2, 2, 2], 2),
        (&[2, 2, 2, 2, 1], 2),
    ];
    for (zones, losses) in layouts {
        let controllers_in = |machines: &u32| (f64::from(*machines) * share).ceil() as usize;
        let all: usize = zones.iter().map(controllers_in).sum();
        let voters = losses * 2 + 1;
        assert!(
            all >= voters,
            "{all} controllers in {zones:?}, {voters} are needed"
        );
        assert!(
            all <= voters + 1,
            "{all} controllers in {zones:?}, more than {voters} and one spare"
        );
    }
}
