//! Shared by examples and tests: an installation on loopback and a small HTTP client.

#![allow(dead_code, reason = "each example and test uses a part of it")]

pub mod http;
pub mod installation;
pub mod processes;
