//! The platform's headers of requests and responses.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{AUTHORIZATION, CONTENT_ENCODING, HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::ports::{
    AcceptedRate, ForwardContext, PromptPart, PromptSizes, ReportedLoad, RequestMetadata,
    ResponseMetadata, StatedBrittleness,
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-flamingocroft-request-id");
/// From a caller: the time for which it waits. To a server: the time that is left for the request.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-flamingocroft-deadline-ms");
/// Identifier of the last event that the caller received; the response continues after it.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Identifier of the request that brought the first event of the stream that the caller takes up.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const MODEL: HeaderName = HeaderName::from_static("x-flamingocroft-model");
/// Two counts, despite the name, separated by a comma: the tokens of the prompt and the maximum tokens of
/// the response.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-flamingocroft-token-count");
/// A list, despite the name: all parts of the prompt in order, each as `hash:tokens` with the hash in
/// hexadecimal.
const PREFIX_HASH: HeaderName = HeaderName::from_static("x-flamingocroft-prefix-hash");
/// The name of the account that the caller's key belongs to.
const TENANT: HeaderName = HeaderName::from_static("x-flamingocroft-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-flamingocroft-expect-instance");
/// The server's signature; a successful response without it is not genuine.
const RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-flamingocroft-response-seal");
/// Present if the server has not executed the request and never will.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-flamingocroft-not-executed");
/// The numbers of running requests, waiting requests and slots, separated by commas; some servers add how long work takes
/// there now, in percent of the usual time.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-flamingocroft-server-load");

/// "1" if the server is leaving and wants no further requests.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The requests per second that the server accepts from all machines together, as a decimal number.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// The requests per second that the server can reject for want of room without falling over.
const SERVER_BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Maximum pause that a server can ask for, in seconds; longer ones are capped to it.
const MAX_PAUSE_S: f64 = 86_400.0;

/// Headers that only gateways may set; they are removed from callers' requests.
const RESERVED_HEADERS: [HeaderName; 11] = [
    TENANT,
    EXPECT_INSTANCE,
    HeaderName::from_static("x-flamingocroft-expect-version"),
    HeaderName::from_static("x-flamingocroft-hold"),
    HeaderName::from_static("x-flamingocroft-pin-ms"),
    HeaderName::from_static("x-flamingocroft-kv-backup"),
    HeaderName::from_static("x-flamingocroft-request-priority"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    HeaderName::from_static("x-flamingocroft-duty-holder"),
    HeaderName::from_static("x-flamingocroft-fencing-token"),
];

/// Returns the caller's identifier of a request.
pub(super) fn request_id(headers: &HeaderMap) -> Option<HeaderValue> {
    headers.get(&REQUEST_ID).cloned()
}

/// Reads the headers of a caller's request.
pub(super) fn read_request(headers: &HeaderMap) -> RequestMetadata {
    let key = header_text(headers, &AUTHORIZATION).and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then(|| key.trim().to_owned())
    });
    RequestMetadata {
        id: header_text(headers, &REQUEST_ID).map(str::to_owned),
        key,
        timeout: header_number(headers, &DEADLINE_MS).map(Duration::from_millis),
        resume_after: header_number(headers, &LAST_EVENT_ID),
        resumes: header_text(headers, &RESUMES).map(|id| id.trim().to_owned()),
        prompt: read_prompt(headers),
    }
}

fn read_prompt(headers: &HeaderMap) -> Option<PromptSizes> {
    headers.get(&MODEL)?;
    let (prompt_tokens, max_output_tokens) = header_text(headers, &TOKEN_COUNT)?.split_once(',')?;
    let parts = header_text(headers, &PREFIX_HASH).unwrap_or_default();
    Some(PromptSizes {
        prompt_tokens: prompt_tokens.trim().parse().ok()?,
        max_output_tokens: max_output_tokens.trim().parse().ok()?,
        parts: parts.split(',').filter_map(read_part).collect(),
    })
}

fn read_part(part: &str) -> Option<PromptPart> {
    let (hash, tokens) = part.trim().split_once(':')?;
    Some(PromptPart {
        hash: u64::from_str_radix(hash, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Turns the headers of a caller's request into those that a server gets.
pub(super) fn forward_request(headers: &mut HeaderMap, forwarding: &ForwardContext<'_>) {
    for name in &RESERVED_HEADERS {
        headers.remove(name);
    }
    headers.remove(AUTHORIZATION);
    set_header(headers, EXPECT_INSTANCE, forwarding.instance.as_str());
    if let Some(account) = forwarding.account {
        set_header(headers, TENANT, account.as_str());
    }
    if let Some(left) = forwarding.time_left {
        set_header(headers, DEADLINE_MS, &left.as_millis().max(1).to_string());
    }
    if let Some(event) = forwarding.resume_after {
        set_header(headers, LAST_EVENT_ID, &event.to_string());
    }
}

/// Reads the headers of a server's response.
pub(super) fn read_answer(status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
    // No content encoding is ever requested, so an encoded body is not the server's own.
    let is_encoded = headers.contains_key(CONTENT_ENCODING);
    ResponseMetadata {
        id: header_text(headers, &REQUEST_ID).map(str::to_owned),
        not_executed: headers.contains_key(&NOT_EXECUTED)
            || status == StatusCode::MISDIRECTED_REQUEST,
        signed: headers.contains_key(&RESPONSE_SEAL) && !is_encoded,
        load: header_text(headers, &SERVER_LOAD).and_then(read_load),
        leaving: header_text(headers, &SERVER_LEAVING).is_some_and(|value| value.trim() == "1"),
        pause: match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                header_text(headers, &RETRY_AFTER).and_then(read_pause)
            }
            _ => None,
        },
        rate: read_rate(headers),
        brittle: read_brittleness(headers),
    }
}

/// Reads the server's limit; if it is stated more than once, the lowest one applies.
fn read_rate(headers: &HeaderMap) -> AcceptedRate {
    let values: Vec<_> = headers.get_all(&SERVER_LIMIT).iter().collect();
    if values.is_empty() {
        return AcceptedRate::Unlimited;
    }
    let rates = values.into_iter().map(|value| {
        let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some(rate)
    });
    let lowest = rates.flatten().reduce(f64::min);
    lowest.map_or(AcceptedRate::Unreadable, AcceptedRate::PerSecond)
}

/// Reads how many rejections a second the server bears; if it is stated more than once, the lowest number applies.
fn read_brittleness(headers: &HeaderMap) -> StatedBrittleness {
    let values: Vec<_> = headers.get_all(&SERVER_BRITTLE).iter().collect();
    if values.is_empty() {
        return StatedBrittleness::No;
    }
    let numbers = values
        .into_iter()
        .map(|value| value.to_str().ok()?.trim().parse().ok());
    let lowest = numbers.flatten().min();
    lowest.map_or(StatedBrittleness::Unreadable, StatedBrittleness::Bears)
}

/// Parses seconds, with or without a fraction; returns `None` for anything else, zero or less.
fn read_pause(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    let is_pause = seconds.is_finite() && seconds > 0.0;
    is_pause.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE_S)))
}

fn read_load(value: &str) -> Option<ReportedLoad> {
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some(ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        pace_percent: value.split(',').nth(3).and_then(read_pace),
    })
}

/// Parses a time in percent of the usual one; returns `None` for anything else, which then says nothing.
fn read_pace(value: &str) -> Option<u32> {
    let percent: f64 = value.trim().parse().ok()?;
    (percent.is_finite() && percent > 0.0).then(|| percent.round() as u32)
}

/// Adds the request's identifier and, if known, the retry delay to an error response.
pub(super) fn mark_refusal(headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
    set_header(headers, REQUEST_ID, id);
    if let Some(after) = retry_after {
        set_header(headers, RETRY_AFTER, &format!("{:.3}", after.as_secs_f64()));
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(_) => log::warn!(
            "platform: omitted header {name}, because its value is not a valid header value."
        ),
    }
}
