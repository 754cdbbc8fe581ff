//! Installations on loopback and an HTTP client, shared by examples, benches and tests.

#![allow(dead_code, reason = "each example and test uses a part of it")]

pub mod http;
pub mod installation;
pub mod intent;
pub mod operators;
pub mod processes;
pub mod recorder;
pub mod records;
pub mod shape;
pub mod upstreams;
