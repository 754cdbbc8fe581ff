//! What the daemons' logs say of a request: its own lines, and those that changed what the gateway
//! believed shortly before. docs/OPERATIONS.md lists the fields.

use std::{collections::BTreeSet, path::Path};

use chrono::DateTime;
use serde_json::{Map, Value};

use super::CmdError;
use crate::operator::{ExplainedEvent, Explanation};

/// Time before a request's first line whose changes of belief are shown; the longest of the users' rules
/// on how soon a change must be obeyed.
const BEFORE_MS: u64 = 5000;
/// Fields that every line has and that are shown apart from the others.
const COMMON_FIELDS: [&str; 4] = ["time", "level", "message", "request"];

/// One line.
struct Line {
    at_unix_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn read(text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let time = DateTime::parse_from_rfc3339(fields.get("time")?.as_str()?).ok()?;
        Some(Self {
            at_unix_ms: u64::try_from(time.timestamp_millis()).ok()?,
            fields,
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn what(&self, file: &str) -> String {
        let fields = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let fields: Vec<_> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let message = self.text("message").unwrap_or_default();
        format!("{file}: {message} ({})", fields.join(", "))
    }
}

/// Explains a request from logs, each of one process.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line is about the request.
pub(super) fn explain(request: &str, files: &[impl AsRef<Path>]) -> Result<Explanation, CmdError> {
    let mut events = Vec::new();
    for file in files {
        let file = file.as_ref();
        let text = std::fs::read_to_string(file)
            .map_err(|e| CmdError::Usage(format!("{} cannot be read: {e}", file.display())))?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let lines: Vec<_> = text.lines().filter_map(Line::read).collect();
        events.extend(related(request, &lines).map(|line| ExplainedEvent {
            at_unix_ms: line.at_unix_ms,
            what: line.what(&name),
        }));
    }
    if events.is_empty() {
        let message = format!(
            "no line is about request {request}; name the logs of all gateways of that time"
        );
        return Err(CmdError::Usage(message));
    }
    events.sort_by_key(|event| event.at_unix_ms);
    Ok(Explanation {
        subject: format!("request {request}"),
        events,
    })
}

/// Returns the lines of one process that are about a request, or about what it met.
fn related<'a>(request: &'a str, lines: &'a [Line]) -> impl Iterator<Item = &'a Line> {
    let own = |line: &&Line| line.text("request") == Some(request);
    let times: Vec<_> = lines
        .iter()
        .filter(own)
        .map(|line| line.at_unix_ms)
        .collect();
    let upstreams: BTreeSet<_> = lines
        .iter()
        .filter(own)
        .filter_map(|line| line.text("upstream"))
        .collect();
    let begin = times.iter().min().map(|at| at.saturating_sub(BEFORE_MS));
    let end = times.iter().max().copied();
    lines.iter().filter(move |line| {
        if own(line) {
            return true;
        }
        let is_belief = line.text("event").is_some() && line.text("request").is_none();
        let is_near = begin <= Some(line.at_unix_ms) && Some(line.at_unix_ms) <= end;
        let is_of_others = |name| !upstreams.contains(name);
        is_belief && is_near && !line.text("upstream").is_some_and(is_of_others)
    })
}
