//! Schemas of settings and intent files.

use super::validate::{Field, FieldType, optional, required};

const DAY_MS: u64 = 24 * 3600 * 1000;
const MIB: u64 = 1024 * 1024;

const DURATION_MS: FieldType = FieldType::Integer {
    min: 1,
    max: 7 * DAY_MS,
};

const CONTROLLER: &[Field] = &[
    required("name", FieldType::Text),
    required("zone", FieldType::Text),
    required("peer_address", FieldType::Address),
    required("http_address", FieldType::Address),
];

const LIMITS: &[Field] = &[
    optional(
        "body_bytes",
        FieldType::Integer {
            min: 1024,
            max: 64 * MIB,
        },
    ),
    optional(
        "prompt_bytes",
        FieldType::Integer {
            min: 256,
            max: 64 * MIB,
        },
    ),
    optional(
        "max_tokens",
        FieldType::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional(
        "requests",
        FieldType::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional("outcome_bytes", FieldType::Integer { min: 1, max: MIB }),
];

const MACHINE: &[Field] = &[
    optional(
        "memory_mb",
        FieldType::Integer {
            min: 16,
            max: 1 << 30,
        },
    ),
    optional(
        "cores",
        FieldType::Decimal {
            min: 1e-3,
            max: 1e5,
        },
    ),
    optional(
        "descriptors",
        FieldType::Integer {
            min: 64,
            max: 1 << 30,
        },
    ),
    optional(
        "link_mbps",
        FieldType::Decimal {
            min: 1e-3,
            max: 1e9,
        },
    ),
];

const TIMING: &[Field] = &[
    optional("replica_heartbeat_ms", DURATION_MS),
    optional("election_timeout_ms", DURATION_MS),
    optional("gateway_heartbeat_ms", DURATION_MS),
    optional("view_lease_ms", DURATION_MS),
    optional("cloud_poll_ms", DURATION_MS),
    optional("load_poll_ms", DURATION_MS),
    optional("connect_timeout_ms", DURATION_MS),
    optional("first_byte_timeout_ms", DURATION_MS),
    optional("token_timeout_ms", DURATION_MS),
    optional("caller_timeout_ms", DURATION_MS),
    optional("request_timeout_ms", DURATION_MS),
    optional("address_ttl_ms", DURATION_MS),
    optional("shutdown_ms", DURATION_MS),
    optional("claim_retention_ms", DURATION_MS),
];

const ROLLOUT: &[Field] = &[
    required(
        "exposure_share",
        FieldType::Decimal {
            min: 1e-3,
            max: 1.0,
        },
    ),
    required("exposure_slack", FieldType::Decimal { min: 0.0, max: 1e6 }),
    required("rollback_ms", DURATION_MS),
];

const INGRESS: &[Field] = &[
    required("address", FieldType::Address),
    optional("ready_address", FieldType::Address),
    optional("directory_address", FieldType::Address),
    optional("metrics_address", FieldType::Address),
    required("platform_address", FieldType::Address),
    optional("list_interval_ms", DURATION_MS),
    optional(
        "list_calls_per_second",
        FieldType::Decimal {
            min: 1e-3,
            max: 1e6,
        },
    ),
    optional("usage_window_ms", DURATION_MS),
    optional("duty_lease_ms", DURATION_MS),
    optional("quota_window_ms", DURATION_MS),
    optional("quota_overage", FieldType::Decimal { min: 0.0, max: 1.0 }),
    optional(
        "quota_slack",
        FieldType::Decimal {
            min: 0.0,
            max: 1e12,
        },
    ),
    optional("retry_ratio", FieldType::Decimal { min: 0.0, max: 1.0 }),
    optional("retry_slack", FieldType::Decimal { min: 0.0, max: 1e6 }),
    optional("retry_window_ms", DURATION_MS),
    optional("learn_paces", FieldType::Bool),
    optional("rollout", FieldType::Object(ROLLOUT)),
    optional("share_room", FieldType::Bool),
    optional("share_callers", FieldType::Bool),
];

/// Schema of the settings file of a daemon.
pub(super) const SETTINGS: &[Field] = &[
    required("name", FieldType::Text),
    required("role", FieldType::OneOf(&["controller", "gateway"])),
    required("zone", FieldType::Text),
    required("http_address", FieldType::Address),
    required("peer_address", FieldType::Address),
    optional("advertised_address", FieldType::Address),
    required("peer_key_file", FieldType::Text),
    optional(
        "controllers",
        FieldType::List {
            element: &FieldType::Object(CONTROLLER),
            min: 1,
        },
    ),
    optional(
        "seeds",
        FieldType::List {
            element: &FieldType::Address,
            min: 0,
        },
    ),
    optional("bootstrap", FieldType::Bool),
    optional("tolerated_losses", FieldType::Integer { min: 1, max: 8 }),
    optional("ingress", FieldType::Object(INGRESS)),
    optional("data_folder", FieldType::Text),
    optional("operator_token_sha256", FieldType::Sha256),
    optional("cloud_address", FieldType::Address),
    optional("machine", FieldType::Object(MACHINE)),
    optional("limits", FieldType::Object(LIMITS)),
    optional("timing", FieldType::Object(TIMING)),
];

const HOUR_MS: u64 = 3600 * 1000;
const POSITIVE_COUNT: FieldType = FieldType::Integer {
    min: 1,
    max: 1 << 20,
};
const LATENCY_TARGET_MS: FieldType = FieldType::Integer {
    min: 1,
    max: HOUR_MS,
};
const PRICE_MICROS: FieldType = FieldType::Integer {
    min: 0,
    max: 1 << 50,
};
const ROUTING_COST_MS: FieldType = FieldType::Decimal { min: 0.0, max: 1e6 };

/// HTTP methods that operations of plain services may use.
pub(super) const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

const ZONE: &[Field] = &[
    required("name", FieldType::Text),
    required("region", FieldType::Text),
];

const TIER: &[Field] = &[
    required("name", FieldType::Text),
    required("paying", FieldType::Bool),
    required("first_token_ms", LATENCY_TARGET_MS),
    required("between_tokens_ms", LATENCY_TARGET_MS),
];

const ACCOUNT: &[Field] = &[
    required("name", FieldType::Text),
    required("tier", FieldType::Text),
    required("token_sha256", FieldType::Sha256),
    optional("weight", POSITIVE_COUNT),
];

const MODEL: &[Field] = &[
    required("name", FieldType::Text),
    required("version", FieldType::Text),
    required(
        "weights_mib",
        FieldType::Integer {
            min: 1,
            max: 1 << 30,
        },
    ),
];

const OPERATION: &[Field] = &[
    required("method", FieldType::OneOf(METHODS)),
    required("path", FieldType::Text),
    required("idempotent", FieldType::Bool),
];

const ENGINES: &[Field] = &[
    required(
        "models",
        FieldType::List {
            element: &FieldType::Text,
            min: 1,
        },
    ),
    required("fencing", FieldType::OneOf(&["checked", "ignored"])),
];

const PLAIN: &[Field] = &[required(
    "operations",
    FieldType::List {
        element: &FieldType::Object(OPERATION),
        min: 1,
    },
)];

const SERVICE_KIND: &[Field] = &[
    required("engines", FieldType::Object(ENGINES)),
    required("plain", FieldType::Object(PLAIN)),
];

const SERVICE: &[Field] = &[
    required("name", FieldType::Text),
    required("kind", FieldType::Choice(SERVICE_KIND)),
    required(
        "zones",
        FieldType::List {
            element: &FieldType::Text,
            min: 1,
        },
    ),
    required("class", FieldType::Text),
    required("slots_per_instance", POSITIVE_COUNT),
    required("expected_concurrency", POSITIVE_COUNT),
];

const PRICE: &[Field] = &[
    required("zone", FieldType::Text),
    required("class", FieldType::Text),
    required("on_demand_micros_per_hour", PRICE_MICROS),
    required("reclaimable_micros_per_hour", PRICE_MICROS),
    required(
        "reclaims_per_day",
        FieldType::Decimal {
            min: 0.0,
            max: 86400.0,
        },
    ),
];

const ROUTING: &[Field] = &[
    optional("ms_per_thousand_uncached_tokens", ROUTING_COST_MS),
    optional("ms_per_zone_crossing", ROUTING_COST_MS),
    optional("ms_per_queued_request", ROUTING_COST_MS),
    optional("ms_of_equal_cost", ROUTING_COST_MS),
];

const CHANGE_LIMITS: &[Field] = &[
    optional("max_instances", POSITIVE_COUNT),
    optional("max_micros_per_hour", PRICE_MICROS),
];

/// Schema of the operator's intent.
pub(super) const INTENT: &[Field] = &[
    required(
        "zones",
        FieldType::List {
            element: &FieldType::Object(ZONE),
            min: 1,
        },
    ),
    required(
        "tiers",
        FieldType::List {
            element: &FieldType::Object(TIER),
            min: 1,
        },
    ),
    required(
        "accounts",
        FieldType::List {
            element: &FieldType::Object(ACCOUNT),
            min: 1,
        },
    ),
    required(
        "models",
        FieldType::List {
            element: &FieldType::Object(MODEL),
            min: 0,
        },
    ),
    required(
        "services",
        FieldType::List {
            element: &FieldType::Object(SERVICE),
            min: 1,
        },
    ),
    required(
        "prices",
        FieldType::List {
            element: &FieldType::Object(PRICE),
            min: 0,
        },
    ),
    optional("routing", FieldType::Object(ROUTING)),
    optional("limits", FieldType::Object(CHANGE_LIMITS)),
];
