//! Decisions as pure functions of a view and a time. No code here opens a socket, reads a clock or
//! logs; tests compare each decision with a naive implementation. See docs/DECISIONS.md.

pub mod admit;
pub mod allocate;
pub mod availability;
pub mod backlog;
pub mod blocks;
pub mod brittle;
pub mod capacity;
pub mod compact;
pub mod connections;
mod fit;
mod max_min;
pub mod members;
pub mod memory_budget;
pub mod origins;
pub mod overload;
pub mod pace;
pub mod place;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod quota_window;
pub mod rate_limit;
pub mod reachability;
pub mod retry;
pub mod rollout;
pub mod room;
pub mod route;
pub mod scale;
pub mod shutdown;
pub mod silence;
pub mod speed;
mod spread;
pub mod transfer_window;
