//! The outside of the ports: HTTP, disk and clocks.

pub mod disk;
