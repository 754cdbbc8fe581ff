//! Explains a request from the daemons' logs: the lines of the request, and the lines shortly before it
//! that report changes of the gateway's state. docs/OPERATIONS.md lists the fields.

use std::{collections::BTreeSet, path::Path};

use chrono::DateTime;
use serde_json::{Map, Value};

use super::CmdError;
use crate::operator::{ExplainedEvent, Explanation};

/// Time before a request's first line from which state changes are shown. It is the longest time that
/// the users' rules allow until a change must take effect.
const CONTEXT_BEFORE_MS: u64 = 5000;
/// Common fields, which are shown separately from the other fields of a line.
const OMITTED_FIELDS: [&str; 4] = ["time", "level", "message", "request"];

/// A parsed line of a log.
struct Line {
    at_unix_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
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

    fn describe(&self, file: &str) -> String {
        let fields = self
            .fields
            .iter()
            .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
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
        let lines: Vec<_> = text.lines().filter_map(Line::parse).collect();
        events.extend(related_lines(request, &lines).map(|line| ExplainedEvent {
            at_unix_ms: line.at_unix_ms,
            what: line.describe(&name),
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

/// Returns the lines of one process that are about a request, and the state changes from shortly before
/// its first line to its last one that concern its upstreams or no upstream.
fn related_lines<'a>(request: &'a str, lines: &'a [Line]) -> impl Iterator<Item = &'a Line> {
    let is_own = |line: &&Line| line.text("request") == Some(request);
    let times: Vec<_> = lines
        .iter()
        .filter(is_own)
        .map(|line| line.at_unix_ms)
        .collect();
    let upstreams: BTreeSet<_> = lines
        .iter()
        .filter(is_own)
        .filter_map(|line| line.text("upstream"))
        .collect();
    let begin = times
        .iter()
        .min()
        .map(|at| at.saturating_sub(CONTEXT_BEFORE_MS));
    let end = times.iter().max().copied();
    lines.iter().filter(move |line| {
        if is_own(line) {
            return true;
        }
        let is_state_change = line.text("event").is_some() && line.text("request").is_none();
        let is_in_window = begin <= Some(line.at_unix_ms) && Some(line.at_unix_ms) <= end;
        let is_other_upstream = |name| !upstreams.contains(name);
        is_state_change && is_in_window && !line.text("upstream").is_some_and(is_other_upstream)
    })
}
