//! The naive baselines, shared with the tests.

#[path = "../../tests/naive/admit.rs"]
pub mod admit;
#[path = "../../tests/naive/place.rs"]
#[allow(dead_code, reason = "the tests use what the experiment does not")]
pub mod place;
#[path = "../../tests/naive/retry.rs"]
pub mod retry;
#[path = "../../tests/naive/route.rs"]
pub mod route;
