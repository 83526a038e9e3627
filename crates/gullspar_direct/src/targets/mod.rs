//! Access to targets from this instance: connections, permits, health checks and single attempts of statements.

pub(crate) mod admission_limit;
pub(crate) mod attempt;
pub(crate) mod connection_pool;
pub(crate) mod dial_throttle;
pub(crate) mod idle_connections;
pub(crate) mod pacing;
pub(crate) mod pooled_connection;
pub(crate) mod received_point;
pub(crate) mod target;
pub(crate) mod target_watch;
