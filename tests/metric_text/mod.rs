//! The text format of metrics.

/// Returns the value of a line of the text format.
pub fn value(text: &str, line: &str) -> f64 {
    let found = text
        .lines()
        .find_map(|l| l.strip_prefix(line)?.strip_prefix(' '));
    let found = found.unwrap_or_else(|| panic!("no line {line} in\n{text}"));
    found.parse().unwrap()
}
