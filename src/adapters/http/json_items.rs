//! Reads a JSON list of which some items may be unreadable: each item is decoded by itself, and an item that can't
//! be read hides no other. See docs/DESIGN.md, "Data from outside".

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ports::{RejectedItem, RejectedItems};

/// Bytes that may be read again in search of the items after a damaged one, as a multiple of the document's size.
const MAX_REREAD_FACTOR: usize = 16;
/// Closing brackets that are tried as the end of a list after a damaged item.
const MAX_ENDS_TRIED: usize = 16;
/// Members besides the list that are kept.
const MAX_MEMBERS: usize = 16;

/// The items of a list that could be read.
pub(crate) struct JsonItems<'a, T> {
    pub(crate) items: Vec<T>,
    pub(crate) rejected: RejectedItems,
    /// The other members of the document that holds the list, not decoded.
    pub(crate) members: Vec<(String, &'a [u8])>,
    /// Why the end of the list could not be found; the items and members up to there are sound.
    pub(crate) cut: Option<String>,
}

/// A place where a document breaks the grammar of JSON.
#[derive(Debug, thiserror::Error)]
#[error("expected {expected} at byte {offset}")]
pub(crate) struct JsonFault {
    offset: usize,
    expected: &'static str,
}

/// Reads a document that is an object with a list under the name `list`, or that is a list itself if there is no
/// name. The name of an item is its text member `name_field`.
///
/// # Errors
///
/// Fails if the list can't be found, or if a member before it is damaged.
pub(crate) fn read_json_items<'a, T: DeserializeOwned>(
    document: &'a [u8],
    list: Option<&str>,
    name_field: &str,
) -> Result<JsonItems<'a, T>, JsonFault> {
    let mut reader = ItemReader {
        scanner: Scanner {
            text: document,
            at: 0,
        },
        in_object: list.is_some(),
        name_field,
        reread_budget: document.len().saturating_mul(MAX_REREAD_FACTOR),
        position: 0,
        suspect: None,
        is_damaged: false,
        read: JsonItems {
            items: Vec::new(),
            rejected: RejectedItems::default(),
            members: Vec::new(),
            cut: None,
        },
    };
    match list {
        Some(name) => reader.read_object(name)?,
        None => reader.read_list()?,
    }
    Ok(reader.read)
}

struct ItemReader<'a, 'n, T> {
    scanner: Scanner<'a>,
    /// Whether the list is a member of an object, whose other members follow its end.
    in_object: bool,
    name_field: &'n str,
    reread_budget: usize,
    /// Position of the current item in the list.
    position: usize,
    /// Offset of the item before the current one, if it was rejected. If it was cut off, it may have swallowed the
    /// items after it and the end of the list.
    suspect: Option<usize>,
    is_damaged: bool,
    read: JsonItems<'a, T>,
}

impl<T: DeserializeOwned> ItemReader<'_, '_, T> {
    fn read_object(&mut self, list: &str) -> Result<(), JsonFault> {
        let mut has_list = false;
        self.scanner.expect(b'{', "an object")?;
        loop {
            let key = self.scanner.key()?;
            // A key that can't be decoded is not the list's.
            let key: String = serde_json::from_slice(key).unwrap_or_default();
            if key == list && !has_list {
                has_list = true;
                self.read_list()?;
                if self.read.cut.is_some() {
                    return Ok(());
                }
            } else {
                if key == list || self.read.members.len() == MAX_MEMBERS {
                    return Err(self.scanner.fault("one list and few other members"));
                }
                let value = self.scanner.value()?;
                self.read.members.push((key, value));
            }
            match self.scanner.peek() {
                Some(b',') => self.scanner.at += 1,
                _ => break,
            }
        }
        self.scanner.expect(b'}', "the end of the object")?;
        self.scanner.end()?;
        match has_list {
            true => Ok(()),
            false => Err(self.scanner.fault("a list")),
        }
    }

    /// Reads the list up to its end, or notes why that can't be found.
    fn read_list(&mut self) -> Result<(), JsonFault> {
        self.scanner.expect(b'[', "a list")?;
        if self.is_at_end() {
            self.scanner.at += 1;
            return Ok(());
        }
        loop {
            self.scanner.peek();
            let start = self.scanner.at;
            let fault = match self.scanner.value() {
                Ok(item) => match self.scanner.peek() {
                    Some(b',') => {
                        self.take_item(item, start);
                        self.scanner.at += 1;
                        self.position += 1;
                        continue;
                    }
                    Some(b']') if self.is_at_end() => {
                        self.take_item(item, start);
                        self.scanner.at += 1;
                        return Ok(());
                    }
                    _ => {
                        let fault = self.scanner.fault("a comma or the end of the list");
                        match decode(item) {
                            Ok(item) => {
                                self.suspect = None;
                                self.read.items.push(item);
                                self.find_next_item(self.scanner.at);
                            }
                            Err(_) => self.find_next_item(self.suspect.unwrap_or(start)),
                        }
                        fault
                    }
                },
                Err(fault) => {
                    self.find_next_item(self.suspect.unwrap_or(start));
                    fault
                }
            };
            if self.suspect.take().is_none() {
                self.read.rejected.add(|| RejectedItem {
                    position: self.position,
                    offset: start,
                    name: None,
                    reason: format!("it is damaged: {fault}"),
                });
            }
            self.position += 1;
            match self.scanner.peek() {
                Some(b'{') => {}
                Some(b']') => {
                    self.scanner.at += 1;
                    return Ok(());
                }
                _ => {
                    self.read.cut = Some(format!("the end of the list is missing: {fault}"));
                    return Ok(());
                }
            }
        }
    }

    fn take_item(&mut self, item: &[u8], offset: usize) {
        self.suspect = None;
        match decode::<T>(item) {
            Ok(item) => self.read.items.push(item),
            Err((value, e)) => {
                self.suspect = Some(offset);
                let position = self.position;
                let name = value.as_ref().and_then(|value| value.get(self.name_field));
                self.read.rejected.add(|| RejectedItem {
                    position,
                    offset,
                    name: name.and_then(Value::as_str).map(str::to_owned),
                    reason: e.to_string(),
                });
            }
        }
    }

    /// Moves to the next readable item after a damaged one, or else to the end of the list, or else to the end of the
    /// document. An item that was cut off swallows those after it, so that they are looked for within it.
    fn find_next_item(&mut self, from: usize) {
        self.is_damaged = true;
        let text = self.scanner.text;
        let mut before = text[..from].iter().rev().find(|b| !is_space(**b)).copied();
        for at in from..text.len() {
            let byte = text[at];
            if byte == b'{' && matches!(before, Some(b',' | b'[' | b'}')) {
                let mut ahead = Scanner { text, at };
                let item = ahead.value();
                let Some(left) = self.reread_budget.checked_sub(ahead.at - at) else {
                    // Items that were not looked for must not count as gone.
                    self.scanner.at = text.len();
                    return;
                };
                self.reread_budget = left;
                if item.is_ok_and(|item| decode::<T>(item).is_ok()) {
                    self.scanner.at = at;
                    return;
                }
            }
            if !is_space(byte) {
                before = Some(byte);
            }
        }
        let ends = (from..text.len()).rev().filter(|at| text[*at] == b']');
        for end in ends.take(MAX_ENDS_TRIED) {
            self.scanner.at = end;
            if self.is_at_end() {
                return;
            }
        }
        self.scanner.at = text.len();
    }

    /// Returns whether the list ends here, which is so if the rest of the document is sound. After a damaged item, a
    /// further member of the document must be there too: a document that was cut off within an item may end with
    /// brackets that look like the end of the list.
    fn is_at_end(&self) -> bool {
        let mut ahead = self.scanner;
        let mut has_members = !self.read.members.is_empty();
        let mut read_rest = || {
            ahead.expect(b']', "the end of the list")?;
            if self.in_object {
                while ahead.peek() == Some(b',') {
                    ahead.at += 1;
                    ahead.key()?;
                    ahead.value()?;
                    has_members = true;
                }
                ahead.expect(b'}', "the end of the object")?;
            }
            ahead.end()
        };
        read_rest().is_ok() && (has_members || !self.is_damaged)
    }
}

/// Decodes an item. All of it must be sound JSON, members that are not used included. Returns the item as JSON with
/// the error, if it is sound JSON of another kind.
fn decode<T: DeserializeOwned>(item: &[u8]) -> Result<T, (Option<Value>, serde_json::Error)> {
    let value: Value = serde_json::from_slice(item).map_err(|e| (None, e))?;
    T::deserialize(&value).map_err(|e| (Some(value), e))
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

/// Finds where values end by their brackets, quotes, colons and commas. Whether strings, numbers and words are sound
/// is left to the decoding of the items.
#[derive(Clone, Copy)]
struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    /// Skips white space and returns the next byte.
    fn peek(&mut self) -> Option<u8> {
        let rest = self.text.get(self.at..).unwrap_or_default();
        self.at += rest.iter().take_while(|byte| is_space(**byte)).count();
        self.text.get(self.at).copied()
    }

    fn fault(&self, expected: &'static str) -> JsonFault {
        JsonFault {
            offset: self.at,
            expected,
        }
    }

    fn expect(&mut self, byte: u8, expected: &'static str) -> Result<(), JsonFault> {
        if self.peek() != Some(byte) {
            return Err(self.fault(expected));
        }
        self.at += 1;
        Ok(())
    }

    fn end(&mut self) -> Result<(), JsonFault> {
        match self.peek() {
            None => Ok(()),
            Some(_) => Err(self.fault("the end of the document")),
        }
    }

    /// Skips the key of a member and its colon, and returns the key with its quotes.
    fn key(&mut self) -> Result<&'a [u8], JsonFault> {
        let key = self.string()?;
        self.expect(b':', "a colon")?;
        Ok(key)
    }

    fn string(&mut self) -> Result<&'a [u8], JsonFault> {
        self.expect(b'"', "a string")?;
        let start = self.at - 1;
        loop {
            let rest = self.text.get(self.at..).unwrap_or_default();
            let Some(special) = rest.iter().position(|byte| matches!(byte, b'"' | b'\\')) else {
                self.at = self.text.len();
                return Err(self.fault("the end of a string"));
            };
            self.at += special + 1;
            match rest[special] {
                b'"' => return Ok(&self.text[start..self.at]),
                // Whatever follows a backslash belongs to the string.
                _ => self.at = self.text.len().min(self.at + 1),
            }
        }
    }

    fn number_or_word(&mut self) -> Result<(), JsonFault> {
        let rest = self.text.get(self.at..).unwrap_or_default();
        let is_part =
            |byte: &&u8| byte.is_ascii_alphanumeric() || matches!(byte, b'+' | b'-' | b'.');
        let len = rest.iter().take_while(is_part).count();
        if len == 0 {
            return Err(self.fault("a value"));
        }
        self.at += len;
        Ok(())
    }

    /// Skips a value of any depth and returns its bytes.
    fn value(&mut self) -> Result<&'a [u8], JsonFault> {
        self.peek();
        let start = self.at;
        // The closing brackets that the current place waits for.
        let mut open = Vec::new();
        loop {
            match self.peek() {
                Some(bracket @ (b'{' | b'[')) => {
                    let is_object = bracket == b'{';
                    let closing = if is_object { b'}' } else { b']' };
                    self.at += 1;
                    if self.peek() == Some(closing) {
                        self.at += 1;
                    } else {
                        open.push(closing);
                        if is_object {
                            self.key()?;
                        }
                        continue;
                    }
                }
                Some(b'"') => {
                    self.string()?;
                }
                _ => self.number_or_word()?,
            }
            // A value has ended here; so may those around it.
            loop {
                let Some(closing) = open.last().copied() else {
                    return Ok(&self.text[start..self.at]);
                };
                match self.peek() {
                    Some(b',') => {
                        self.at += 1;
                        if closing == b'}' {
                            self.key()?;
                        }
                        break;
                    }
                    Some(byte) if byte == closing => {
                        self.at += 1;
                        open.pop();
                    }
                    _ => return Err(self.fault("a comma or a closing bracket")),
                }
            }
        }
    }
}
