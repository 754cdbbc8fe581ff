//! Reads and validates the operator's intent.

use std::{collections::HashSet, fmt::Display, path::Path};

use serde_json::Value;

use super::{
    FileError, Problem,
    problem::{Problems, read_json_file},
    schema::{INTENT, METHODS},
    validate::{check_object, is_sha256},
};
use crate::domain::{Intent, Operation, Service, ServiceKind};

/// Reads and validates an intent file.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with all problems of its fields.
pub fn read_intent(file: &Path) -> Result<Intent, FileError> {
    parse_intent(read_json_file(file)?).map_err(|problems| FileError::Invalid {
        file: file.to_owned(),
        problems,
    })
}

/// Validates an intent in JSON.
///
/// # Errors
///
/// Returns all problems of its fields.
pub fn parse_intent(mut value: Value) -> Result<Intent, Vec<Problem>> {
    let mut problems = Problems::default();
    check_object(INTENT, "", &mut value, &mut problems);
    let intent = problems.deserialize(value)?;
    let problems = IntentChecker::run(&intent, problems);
    problems.into_result(intent)
}

/// Checks the references and rules across the fields of an intent.
///
/// # Errors
///
/// Returns all problems found.
pub fn check_intent(intent: &Intent) -> Result<(), Vec<Problem>> {
    IntentChecker::run(intent, Problems::default()).into_result(())
}

struct IntentChecker<'a> {
    intent: &'a Intent,
    problems: Problems,
}

impl<'a> IntentChecker<'a> {
    fn run(intent: &'a Intent, problems: Problems) -> Problems {
        let mut checker = Self { intent, problems };
        checker.check_names();
        checker.check_targets();
        checker.check_accounts();
        checker.check_services();
        checker.check_prices();
        checker.problems
    }

    /// Reports a problem, unless one of this field was reported already.
    fn report(&mut self, field: String, value: impl Display, remedy: impl Into<String>) {
        if self.problems.is_valid(&field) {
            self.problems.add(field, value, remedy);
        }
    }

    /// Returns whether a field is valid in all entries of a list.
    fn is_valid_in_all(&self, list: &str, count: usize, field: &str) -> bool {
        (0..count).all(|i| self.problems.is_valid(&format!("{list}[{i}].{field}")))
    }

    fn check_names(&mut self) {
        let intent = self.intent;
        if intent.zones.is_empty() {
            self.report("zones".to_owned(), "empty", "declare at least one zone");
        }
        self.check_unique(
            "zones",
            "name",
            intent.zones.iter().map(|zone| zone.name.as_str()),
        );
        self.check_unique(
            "tiers",
            "name",
            intent.tiers.iter().map(|tier| tier.name.as_str()),
        );
        let accounts = &intent.accounts;
        self.check_unique(
            "accounts",
            "name",
            accounts.iter().map(|account| account.name.as_str()),
        );
        let hashes = accounts.iter().map(|account| account.token_sha256.as_str());
        self.check_unique("accounts", "token_sha256", hashes);
        self.check_unique(
            "models",
            "name",
            intent.models.iter().map(|model| model.name.as_str()),
        );
        let services = intent.services.iter().map(|service| service.name.as_str());
        self.check_unique("services", "name", services);
    }

    fn check_unique<'b>(&mut self, list: &str, field: &str, values: impl Iterator<Item = &'b str>) {
        let mut seen = HashSet::new();
        for (i, value) in values.enumerate() {
            let field = format!("{list}[{i}].{field}");
            if value.is_empty() {
                self.report(field, "empty", "write a text");
            } else if !seen.insert(value.to_ascii_lowercase()) {
                self.report(field, value, "write one that no other entry has");
            }
        }
    }

    fn check_targets(&mut self) {
        for (i, tier) in self.intent.tiers.iter().enumerate() {
            let targets = [
                ("first_token_ms", tier.first_token),
                ("between_tokens_ms", tier.between_tokens),
            ];
            for (field, target) in targets.into_iter().filter(|(_, target)| target.is_zero()) {
                let value = target.as_millis();
                self.report(
                    format!("tiers[{i}].{field}"),
                    value,
                    "set a target above zero",
                );
            }
        }
    }

    fn check_accounts(&mut self) {
        let intent = self.intent;
        for (i, account) in intent.accounts.iter().enumerate() {
            if !is_sha256(&account.token_sha256) {
                let remedy = "write the 64 hexadecimal digits that `flamingocroft token` prints";
                let field = format!("accounts[{i}].token_sha256");
                self.report(field, &account.token_sha256, remedy);
            }
            if account.weight == 0 {
                self.report(format!("accounts[{i}].weight"), 0, "write 1 or more");
            }
            let known = intent.tiers.iter().map(|tier| tier.name.as_str());
            self.check_reference(
                format!("accounts[{i}].tier"),
                account.tier.as_str(),
                "tiers",
                known,
            );
        }
    }

    fn check_reference<'b>(
        &mut self,
        field: String,
        name: &str,
        list: &str,
        known: impl Iterator<Item = &'b str>,
    ) {
        let known: Vec<&str> = known.collect();
        let are_names_valid = !known.is_empty() && self.is_valid_in_all(list, known.len(), "name");
        if !known.contains(&name) && are_names_valid {
            let remedy = format!("add it to {list}, or write one of {}", known.join(", "));
            self.report(field, name, remedy);
        }
    }

    fn check_services(&mut self) {
        for (i, service) in self.intent.services.iter().enumerate() {
            self.check_service(i, service);
        }
    }

    fn check_service(&mut self, i: usize, service: &Service) {
        let intent = self.intent;
        if service.zones.is_empty() {
            self.report(
                format!("services[{i}].zones"),
                "empty",
                "name at least one zone",
            );
        }
        let zones = service.zones.iter().map(|zone| zone.as_str());
        self.check_unique(&format!("services[{i}].zones"), "name", zones);
        for (j, zone) in service.zones.iter().enumerate() {
            let field = format!("services[{i}].zones[{j}]");
            let known = intent.zones.iter().map(|zone| zone.name.as_str());
            self.check_reference(field.clone(), zone.as_str(), "zones", known);
            let is_priced = intent
                .prices
                .iter()
                .any(|price| price.zone == *zone && price.class == service.class);
            let prices = intent.prices.len();
            let are_prices_valid = self.is_valid_in_all("prices", prices, "zone")
                && self.is_valid_in_all("prices", prices, "class");
            if !is_priced && are_prices_valid {
                let remedy = format!("add a price for class {} in this zone", service.class.0);
                self.report(field, zone, remedy);
            }
        }
        let counts = [
            ("slots_per_instance", service.slots_per_instance),
            ("expected_concurrency", service.expected_concurrency),
        ];
        for (field, _) in counts.into_iter().filter(|(_, count)| *count == 0) {
            self.report(format!("services[{i}].{field}"), 0, "write 1 or more");
        }
        match &service.kind {
            ServiceKind::Engines { models, .. } => {
                for (j, model) in models.iter().enumerate() {
                    let field = format!("services[{i}].kind.engines.models[{j}]");
                    let known = intent.models.iter().map(|model| model.name.as_str());
                    self.check_reference(field, model.as_str(), "models", known);
                }
            }
            ServiceKind::Plain { operations } => self.check_operations(i, operations),
        }
    }

    fn check_operations(&mut self, service: usize, operations: &[Operation]) {
        let mut seen = HashSet::new();
        for (i, operation) in operations.iter().enumerate() {
            let place = format!("services[{service}].kind.plain.operations[{i}]");
            if !METHODS.contains(&operation.method.as_str()) {
                let remedy = format!("write one of {}", METHODS.join(", "));
                self.report(format!("{place}.method"), &operation.method, remedy);
            }
            if !is_path(&operation.path) {
                let remedy = "write a path such as /releases: it starts with a slash, ends \
                              without one, and has no query, dots-only part or blank";
                self.report(format!("{place}.path"), &operation.path, remedy);
            }
            if !seen.insert((&operation.method, &operation.path)) {
                let value = format!("{} {}", operation.method, operation.path);
                self.report(place, value, "declare each call once");
            }
        }
    }

    fn check_prices(&mut self) {
        let intent = self.intent;
        let mut seen = HashSet::new();
        for (i, price) in intent.prices.iter().enumerate() {
            let known = intent.zones.iter().map(|zone| zone.name.as_str());
            self.check_reference(
                format!("prices[{i}].zone"),
                price.zone.as_str(),
                "zones",
                known,
            );
            if !seen.insert((&price.zone, &price.class)) {
                let value = format!("{} {}", price.zone, price.class.0);
                self.report(
                    format!("prices[{i}]"),
                    value,
                    "give each zone and class one price",
                );
            }
            let amounts = [
                ("on_demand_micros_per_hour", price.on_demand_micros_per_hour),
                (
                    "reclaimable_micros_per_hour",
                    price.reclaimable_micros_per_hour,
                ),
            ];
            for (field, amount) in amounts.into_iter().filter(|(_, amount)| amount.0 < 0) {
                self.report(format!("prices[{i}].{field}"), amount.0, "write 0 or more");
            }
        }
    }
}

fn is_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !b"?#\\%".contains(&byte);
    rest.bytes().all(is_plain) && rest.split('/').all(|part| !matches!(part, "" | "." | ".."))
}
