//! Tables of the fields of settings and intent files.

use super::shape::{Field, Shape, optional, required};

const DAY_MS: u64 = 24 * 3600 * 1000;
const MIB: u64 = 1024 * 1024;

const DURATION: Shape = Shape::Integer {
    min: 1,
    max: 7 * DAY_MS,
};

const CONTROLLER: &[Field] = &[
    required("name", Shape::Text),
    required("zone", Shape::Text),
    required("peer_address", Shape::Address),
    required("http_address", Shape::Address),
];

const LIMITS: &[Field] = &[
    optional(
        "body_bytes",
        Shape::Integer {
            min: 1024,
            max: 64 * MIB,
        },
    ),
    optional(
        "prompt_bytes",
        Shape::Integer {
            min: 256,
            max: 64 * MIB,
        },
    ),
    optional(
        "max_tokens",
        Shape::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional(
        "requests",
        Shape::Integer {
            min: 1,
            max: 1 << 20,
        },
    ),
    optional("outcome_bytes", Shape::Integer { min: 1, max: MIB }),
];

const TIMING: &[Field] = &[
    optional("replica_heartbeat_ms", DURATION),
    optional("election_timeout_ms", DURATION),
    optional("gateway_heartbeat_ms", DURATION),
    optional("view_lease_ms", DURATION),
    optional("cloud_poll_ms", DURATION),
    optional("load_poll_ms", DURATION),
    optional("connect_timeout_ms", DURATION),
    optional("first_byte_timeout_ms", DURATION),
    optional("token_timeout_ms", DURATION),
    optional("caller_timeout_ms", DURATION),
    optional("request_timeout_ms", DURATION),
    optional("address_ttl_ms", DURATION),
    optional("shutdown_ms", DURATION),
    optional("claim_retention_ms", DURATION),
];

const INGRESS: &[Field] = &[
    required("address", Shape::Address),
    optional("ready_address", Shape::Address),
    optional("directory_address", Shape::Address),
    optional("metrics_address", Shape::Address),
    required("platform_address", Shape::Address),
    optional("list_interval_ms", DURATION),
    optional(
        "list_calls_per_second",
        Shape::Decimal {
            min: 1e-3,
            max: 1e6,
        },
    ),
    optional("usage_window_ms", DURATION),
    optional("duty_lease_ms", DURATION),
    optional("quota_window_ms", DURATION),
    optional("quota_overage", Shape::Decimal { min: 0.0, max: 1.0 }),
    optional(
        "quota_slack",
        Shape::Decimal {
            min: 0.0,
            max: 1e12,
        },
    ),
    optional("retry_ratio", Shape::Decimal { min: 0.0, max: 1.0 }),
    optional("retry_slack", Shape::Decimal { min: 0.0, max: 1e6 }),
    optional("retry_window_ms", DURATION),
];

/// The settings file of a daemon.
pub(super) const SETTINGS: &[Field] = &[
    required("name", Shape::Text),
    required("role", Shape::OneOf(&["controller", "gateway"])),
    required("zone", Shape::Text),
    required("http_address", Shape::Address),
    required("peer_address", Shape::Address),
    optional("advertised_address", Shape::Address),
    required("peer_key_file", Shape::Text),
    optional(
        "controllers",
        Shape::List {
            of: &Shape::Object(CONTROLLER),
            min: 1,
        },
    ),
    optional(
        "seeds",
        Shape::List {
            of: &Shape::Address,
            min: 0,
        },
    ),
    optional("bootstrap", Shape::Bool),
    optional("tolerated_losses", Shape::Integer { min: 1, max: 8 }),
    optional("ingress", Shape::Object(INGRESS)),
    optional("data_folder", Shape::Text),
    optional("operator_token_sha256", Shape::Sha256),
    optional("cloud_address", Shape::Address),
    optional("limits", Shape::Object(LIMITS)),
    optional("timing", Shape::Object(TIMING)),
];

const HOUR_MS: u64 = 3600 * 1000;
const COUNT: Shape = Shape::Integer {
    min: 1,
    max: 1 << 20,
};
const TARGET_MS: Shape = Shape::Integer {
    min: 1,
    max: HOUR_MS,
};
const PRICE: Shape = Shape::Integer {
    min: 0,
    max: 1 << 50,
};
const WEIGHT_MS: Shape = Shape::Decimal { min: 0.0, max: 1e6 };

/// The HTTP methods that plain services may offer.
pub(super) const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

const ZONE: &[Field] = &[
    required("name", Shape::Text),
    required("region", Shape::Text),
];

const TIER: &[Field] = &[
    required("name", Shape::Text),
    required("paying", Shape::Bool),
    required("first_token_ms", TARGET_MS),
    required("between_tokens_ms", TARGET_MS),
];

const ACCOUNT: &[Field] = &[
    required("name", Shape::Text),
    required("tier", Shape::Text),
    required("token_sha256", Shape::Sha256),
    optional("weight", COUNT),
];

const MODEL: &[Field] = &[
    required("name", Shape::Text),
    required("version", Shape::Text),
    required(
        "weights_mib",
        Shape::Integer {
            min: 1,
            max: 1 << 30,
        },
    ),
];

const OPERATION: &[Field] = &[
    required("method", Shape::OneOf(METHODS)),
    required("path", Shape::Text),
    required("idempotent", Shape::Bool),
];

const ENGINES: &[Field] = &[
    required(
        "models",
        Shape::List {
            of: &Shape::Text,
            min: 1,
        },
    ),
    required("fencing", Shape::OneOf(&["checked", "ignored"])),
];

const PLAIN: &[Field] = &[required(
    "operations",
    Shape::List {
        of: &Shape::Object(OPERATION),
        min: 1,
    },
)];

const KIND: &[Field] = &[
    required("engines", Shape::Object(ENGINES)),
    required("plain", Shape::Object(PLAIN)),
];

const SERVICE: &[Field] = &[
    required("name", Shape::Text),
    required("kind", Shape::Choice(KIND)),
    required(
        "zones",
        Shape::List {
            of: &Shape::Text,
            min: 1,
        },
    ),
    required("class", Shape::Text),
    required("slots_per_instance", COUNT),
    required("expected_concurrency", COUNT),
];

const PRICES: &[Field] = &[
    required("zone", Shape::Text),
    required("class", Shape::Text),
    required("on_demand_micros_per_hour", PRICE),
    required("reclaimable_micros_per_hour", PRICE),
    required(
        "reclaims_per_day",
        Shape::Decimal {
            min: 0.0,
            max: 86400.0,
        },
    ),
];

const ROUTING: &[Field] = &[
    optional("ms_per_thousand_uncached_tokens", WEIGHT_MS),
    optional("ms_per_zone_crossing", WEIGHT_MS),
    optional("ms_per_queued_request", WEIGHT_MS),
    optional("ms_of_equal_cost", WEIGHT_MS),
];

const CHANGE_LIMITS: &[Field] = &[
    optional("max_instances", COUNT),
    optional("max_micros_per_hour", PRICE),
];

/// The operator's intent.
pub(super) const INTENT: &[Field] = &[
    required(
        "zones",
        Shape::List {
            of: &Shape::Object(ZONE),
            min: 1,
        },
    ),
    required(
        "tiers",
        Shape::List {
            of: &Shape::Object(TIER),
            min: 1,
        },
    ),
    required(
        "accounts",
        Shape::List {
            of: &Shape::Object(ACCOUNT),
            min: 1,
        },
    ),
    required(
        "models",
        Shape::List {
            of: &Shape::Object(MODEL),
            min: 0,
        },
    ),
    required(
        "services",
        Shape::List {
            of: &Shape::Object(SERVICE),
            min: 1,
        },
    ),
    required(
        "prices",
        Shape::List {
            of: &Shape::Object(PRICES),
            min: 0,
        },
    ),
    optional("routing", Shape::Object(ROUTING)),
    optional("limits", Shape::Object(CHANGE_LIMITS)),
];
