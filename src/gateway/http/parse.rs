//! Parses generation requests in the format of callers' existing client libraries. Fields that this
//! system does not use are ignored; an error names the invalid field.

use serde_json::{Map, Value};

use crate::{
    domain::{ModelName, Refusal, RefusalKind},
    settings::Limits,
};

/// Tokens to generate if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The role of the caller's own messages.
const USER_ROLE: &str = "user";

/// A validated generation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GenerationRequest {
    /// The model.
    pub(super) model: ModelName,
    /// The rendered prompt.
    pub(super) prompt: RenderedPrompt,
    /// Maximum number of tokens to generate.
    pub(super) max_tokens: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// The seed of the sampling, if the caller sets one.
    pub(super) seed: Option<u64>,
}

/// A prompt as the engines receive it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RenderedPrompt {
    /// Its text.
    pub(super) text: String,
    /// Length of its part that is the same in all turns of its conversation: everything up to the end
    /// of the caller's first message.
    pub(super) opening_bytes: usize,
}

/// Parses and validates a request body.
pub(super) fn parse_request(
    body: &[u8],
    chat: bool,
    limits: &Limits,
) -> Result<GenerationRequest, Refusal> {
    let body: Value = serde_json::from_slice(body).map_err(|e| {
        bad_request(format!(
            "the body is not valid JSON: {e}; send a JSON object"
        ))
    })?;
    let Value::Object(fields) = body else {
        return Err(bad_request("the body is not a JSON object; send one"));
    };
    let prompt = match chat {
        true => chat_prompt(&fields)?,
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
    check_single_answer(&fields)?;
    Ok(GenerationRequest {
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
        _ => Err(field_error("model", "the name of a model")),
    }
}

fn prompt(fields: &Map<String, Value>) -> Result<RenderedPrompt, Refusal> {
    let text = prompt_text(fields)?;
    Ok(RenderedPrompt {
        opening_bytes: text.len(),
        text,
    })
}

fn prompt_text(fields: &Map<String, Value>) -> Result<String, Refusal> {
    let wrong_type = || field_error("prompt", "a text, or a list of one text");
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(Value::Array(prompts)) => match prompts.as_slice() {
            [Value::String(prompt)] => Ok(prompt.clone()),
            _ => Err(wrong_type()),
        },
        _ => Err(wrong_type()),
    }
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<RenderedPrompt, Refusal> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => {
            return Err(field_error(
                "messages",
                "a list of messages that is not empty",
            ));
        }
    };
    let mut prompt = String::new();
    let mut opening_bytes = None;
    for (index, message) in messages.iter().enumerate() {
        let role = match message.get("role") {
            Some(Value::String(role)) => role,
            _ => return Err(field_error(&format!("messages[{index}].role"), "a text")),
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        append_content(message.get("content"), index, &mut prompt)?;
        prompt.push('\n');
        if role == USER_ROLE {
            opening_bytes.get_or_insert(prompt.len());
        }
    }
    prompt.push_str("assistant:");
    Ok(RenderedPrompt {
        opening_bytes: opening_bytes.unwrap_or(prompt.len()),
        text: prompt,
    })
}

fn append_content(
    content: Option<&Value>,
    index: usize,
    prompt: &mut String,
) -> Result<(), Refusal> {
    let wrong_type = || {
        field_error(
            &format!("messages[{index}].content"),
            "a text, or a list of texts",
        )
    };
    match content {
        Some(Value::String(text)) => prompt.push_str(text),
        Some(Value::Array(parts)) => {
            for part in parts {
                let text = part
                    .get("text")
                    .and_then(Value::as_str)
                    .ok_or_else(wrong_type)?;
                prompt.push_str(text);
            }
        }
        _ => return Err(wrong_type()),
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
            field_error(
                name,
                &format!("a whole number from 1 to {}", limits.max_tokens),
            )
        })
}

fn stream(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(field_error("stream", "true or false")),
    }
}

fn seed(fields: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
    match fields.get("seed") {
        None | Some(Value::Null) => Ok(None),
        Some(seed) => seed
            .as_u64()
            .or_else(|| seed.as_i64().map(i64::cast_unsigned))
            .map(Some)
            .ok_or_else(|| field_error("seed", "a whole number")),
    }
}

fn check_single_answer(fields: &Map<String, Value>) -> Result<(), Refusal> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(n) if n.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(field_error("n", "1, since each request has one answer")),
    }
}

fn field_error(name: &str, expected: &str) -> Refusal {
    bad_request(format!(
        "the field {name} is missing or wrong; it must be {expected}"
    ))
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, message)
}
