//! Reads generation requests in the shape that callers' existing client libraries send. Fields that
//! this system does not use are ignored; a wrong one is named in the error.

use serde_json::{Map, Value};

use crate::{
    domain::{ModelName, Refusal, RefusalKind},
    settings::Limits,
};

/// Tokens to generate if the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The role of the caller's own messages.
const USER_ROLE: &str = "user";

/// A checked generation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Generation {
    /// The model.
    pub(super) model: ModelName,
    /// The rendered prompt.
    pub(super) prompt: Prompt,
    /// Most tokens to generate.
    pub(super) max_tokens: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Fixes the sampling, if the caller wants to.
    pub(super) seed: Option<u64>,
}

/// A rendered prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Prompt {
    /// Its text.
    pub(super) text: String,
    /// Bytes of it that stay the same over the turns of its conversation: all up to the end of the
    /// caller's first message.
    pub(super) opening_bytes: usize,
}

/// Reads a request.
pub(super) fn generation(body: &[u8], chat: bool, limits: &Limits) -> Result<Generation, Refusal> {
    let body: Value = serde_json::from_slice(body).map_err(|e| {
        bad(format!(
            "the body is not valid JSON: {e}; send a JSON object"
        ))
    })?;
    let Value::Object(fields) = body else {
        return Err(bad("the body is not a JSON object; send one"));
    };
    let prompt = match chat {
        true => messages(&fields)?,
        false => prompt(&fields)?,
    };
    if prompt.text.len() as u64 > limits.prompt_bytes {
        return Err(Refusal::not_run(
            RefusalKind::TooLarge,
            format!(
                "the prompt is over {} bytes; send a shorter one",
                limits.prompt_bytes
            ),
        ));
    }
    check_single(&fields)?;
    Ok(Generation {
        model: model(&fields)?,
        prompt,
        max_tokens: max_tokens(&fields, limits)?,
        stream: stream(&fields)?,
        seed: seed(&fields)?,
    })
}

fn model(fields: &Map<String, Value>) -> Result<ModelName, Refusal> {
    match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.as_str().into()),
        _ => Err(field("model", "the name of a model")),
    }
}

fn prompt(fields: &Map<String, Value>) -> Result<Prompt, Refusal> {
    let text = prompt_text(fields)?;
    Ok(Prompt {
        opening_bytes: text.len(),
        text,
    })
}

fn prompt_text(fields: &Map<String, Value>) -> Result<String, Refusal> {
    let wrong = || field("prompt", "a text, or a list of one text");
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(Value::Array(prompts)) => match prompts.as_slice() {
            [Value::String(prompt)] => Ok(prompt.clone()),
            _ => Err(wrong()),
        },
        _ => Err(wrong()),
    }
}

fn messages(fields: &Map<String, Value>) -> Result<Prompt, Refusal> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(field("messages", "a list of messages that is not empty")),
    };
    let mut prompt = String::new();
    let mut opening_bytes = None;
    for (at, message) in messages.iter().enumerate() {
        let role = match message.get("role") {
            Some(Value::String(role)) => role,
            _ => return Err(field(&format!("messages[{at}].role"), "a text")),
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        content(message.get("content"), at, &mut prompt)?;
        prompt.push('\n');
        if role == USER_ROLE {
            opening_bytes.get_or_insert(prompt.len());
        }
    }
    prompt.push_str("assistant:");
    Ok(Prompt {
        opening_bytes: opening_bytes.unwrap_or(prompt.len()),
        text: prompt,
    })
}

fn content(content: Option<&Value>, at: usize, prompt: &mut String) -> Result<(), Refusal> {
    let wrong = || {
        field(
            &format!("messages[{at}].content"),
            "a text, or a list of texts",
        )
    };
    match content {
        Some(Value::String(text)) => prompt.push_str(text),
        Some(Value::Array(parts)) => {
            for part in parts {
                let text = part.get("text").and_then(Value::as_str).ok_or_else(wrong)?;
                prompt.push_str(text);
            }
        }
        _ => return Err(wrong()),
    }
    Ok(())
}

fn max_tokens(fields: &Map<String, Value>, limits: &Limits) -> Result<u32, Refusal> {
    let given = ["max_tokens", "max_completion_tokens"]
        .into_iter()
        .filter_map(|name| fields.get(name).map(|value| (name, value)))
        .find(|(_, value)| !value.is_null());
    let Some((name, value)) = given else {
        return Ok(DEFAULT_MAX_TOKENS.min(limits.max_tokens));
    };
    let range = 1..=u64::from(limits.max_tokens);
    let tokens = value.as_u64().filter(|tokens| range.contains(tokens));
    tokens
        .and_then(|tokens| u32::try_from(tokens).ok())
        .ok_or_else(|| {
            field(
                name,
                &format!("a whole number from 1 to {}", limits.max_tokens),
            )
        })
}

fn stream(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(field("stream", "true or false")),
    }
}

fn seed(fields: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
    match fields.get("seed") {
        None | Some(Value::Null) => Ok(None),
        Some(seed) => seed
            .as_u64()
            .or_else(|| seed.as_i64().map(i64::cast_unsigned))
            .map(Some)
            .ok_or_else(|| field("seed", "a whole number")),
    }
}

fn check_single(fields: &Map<String, Value>) -> Result<(), Refusal> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(n) if n.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(field("n", "1, since each request has one answer")),
    }
}

fn field(name: &str, expected: &str) -> Refusal {
    bad(format!(
        "the field {name} is missing or wrong; it must be {expected}"
    ))
}

fn bad(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}
