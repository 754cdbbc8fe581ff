//! Reads the text format of metrics.

/// Returns the value of the metric with the name and labels in `line`; panics if there is none.
pub fn value(text: &str, line: &str) -> f64 {
    let found = text
        .lines()
        .find_map(|l| l.strip_prefix(line)?.strip_prefix(' '));
    let found = found.unwrap_or_else(|| panic!("no line {line} in\n{text}"));
    found.parse().unwrap()
}
