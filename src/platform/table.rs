//! Parser of the operators' configuration document.

use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;

use crate::domain::{
    CallerLimits, EngineSpec, InvalidTable, KeyedAccount, Quota, QuotaUnit, RequestClass, Route,
    RouteTable, RoutedService, ScalingSpec, ServiceName, ZoneName,
};

/// Longest duration that a document can state, in place of longer ones. Times and multiples of it can be added.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 60 * 60);

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Document {
    version: u64,
    routes: Vec<RouteBody>,
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Option<LimitsBody>,
    #[serde(default)]
    tenants: Vec<TenantBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteBody {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    target_gap_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    /// The only service of the route; a route with several has `traffic_split` instead.
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitBody>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    /// Whether a stream may be resumed at another server.
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteKind {
    Idempotent,
    NonIdempotent,
    Stream,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SplitBody {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceBody {
    name: String,
    #[serde(default)]
    health_path: String,
    #[serde(default)]
    max_conns: u32,
    #[serde(default)]
    engine: Option<EngineBody>,
    #[serde(default)]
    scaling: Option<ScalingBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EngineBody {
    slots: u32,
    /// Capacity of one server's key-value cache, in tokens.
    kv_capacity: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ScalingBody {
    min: u32,
    max: u32,
    boot_s: f64,
    /// The price of a reclaimable server as a fraction of an ordinary one's, not an amount.
    #[serde(default)]
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LimitsBody {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantBody {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    /// The unit of `rate_per_s` and `burst`: `tokens`, or requests if it is omitted.
    #[serde(default)]
    unit: Option<String>,
    /// Tokens that are charged for a request without a token count.
    #[serde(default)]
    plain_tokens: f64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

fn one() -> u32 {
    1
}

/// Parses a configuration document.
pub(super) fn parse(document: &[u8]) -> Result<RouteTable, InvalidTable> {
    let document: Document =
        serde_json::from_slice(document).map_err(|e| InvalidTable::Unreadable(e.to_string()))?;
    let routes = document.routes.into_iter().map(to_route);
    Ok(RouteTable {
        version: document.version,
        routes: routes.collect::<Result<_, _>>()?,
        services: document.services.into_iter().map(to_service).collect(),
        limits: document.limits.map(to_limits).unwrap_or_default(),
        accounts: document.tenants.into_iter().map(to_account).collect(),
    })
}

fn to_route(body: RouteBody) -> Result<Route, InvalidTable> {
    let services = match body.service {
        Some(service) => vec![(ServiceName::from(service), 1)],
        None => body
            .traffic_split
            .into_iter()
            .map(|split| (ServiceName::from(split.service), split.weight))
            .collect(),
    };
    let is_prefix = body.path_prefix.starts_with('/') && body.path_prefix.ends_with('/');
    if !is_prefix {
        let message = format!("route {} has a prefix without slashes around it", body.name);
        return Err(InvalidTable::Unreadable(message));
    }
    Ok(Route {
        class: match (body.kind, body.stream_resume) {
            (RouteKind::Idempotent, _) => RequestClass::Idempotent,
            (RouteKind::NonIdempotent, _) => RequestClass::NonIdempotent,
            (RouteKind::Stream, false) => RequestClass::Stream,
            (RouteKind::Stream, true) => RequestClass::ResumableStream,
        },
        name: body.name.into(),
        host: body.host.to_ascii_lowercase().into(),
        prefix: body.path_prefix.into(),
        timeout: millis(body.timeout_ms),
        target: millis(body.target_latency_ms),
        gap: millis(body.target_gap_ms.unwrap_or(body.target_latency_ms)),
        priority: body.priority,
        services,
        max_attempts: body.max_attempts.max(1),
        public: body.public,
    })
}

fn to_service(body: ServiceBody) -> RoutedService {
    RoutedService {
        name: body.name.into(),
        health_path: body.health_path.into(),
        max_connections: body.max_conns,
        engine: body.engine.map(|engine| EngineSpec {
            slots: engine.slots,
            kv_cache_tokens: engine.kv_capacity,
        }),
        scaling: body.scaling.map(|scaling| ScalingSpec {
            min: scaling.min,
            max: scaling.max,
            boot: millis(scaling.boot_s * 1000.0),
            reclaimable_price_ratio: scaling.spot_price,
            zone_prices: scaling
                .zone_prices
                .into_iter()
                .map(|(zone, price)| (ZoneName::from(zone), price))
                .collect(),
        }),
    }
}

fn to_limits(body: LimitsBody) -> CallerLimits {
    CallerLimits {
        head_bytes: body.max_header_bytes,
        body_bytes: body.max_body_bytes,
        head_timeout: millis(body.header_timeout_ms),
        idle_timeout: millis(body.idle_timeout_ms),
    }
}

fn to_account(body: TenantBody) -> KeyedAccount {
    let unit = match body.unit.as_deref() {
        Some("tokens") => QuotaUnit::Tokens {
            plain: body.plain_tokens,
        },
        _ => QuotaUnit::Requests,
    };
    KeyedAccount {
        name: body.name.into(),
        keys: body.api_keys.into_iter().map(Into::into).collect(),
        priority: body.priority,
        quota: (body.rate_per_s > 0.0).then_some(Quota {
            per_second: body.rate_per_s,
            burst: body.burst,
            unit,
        }),
    }
}

/// Returns a duration between zero and [`MAX_DURATION`].
fn millis(ms: f64) -> Duration {
    let seconds = (ms / 1000.0).clamp(0.0, MAX_DURATION.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
