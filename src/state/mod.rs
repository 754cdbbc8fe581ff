//! The replicated state machine: configuration, claims, fencing numbers and instances. Applying the
//! same entries in the same order gives the same state on every controller.
