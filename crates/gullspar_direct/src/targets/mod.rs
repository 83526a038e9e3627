//! Targets as this instance uses them: connections, places, checks, single attempts.

pub(crate) mod admission_limit;
pub(crate) mod attempt;
pub(crate) mod connection_pool;
pub(crate) mod dial_throttle;
pub(crate) mod idle_connections;
pub(crate) mod pacing;
pub(crate) mod pooled_connection;
pub(crate) mod target;
pub(crate) mod target_watch;
