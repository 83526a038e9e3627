//! Limits on connections and statements of all instances together at a target, and one instance's share of them.

/// Percentage of a target's connections that is distributed; the rest is left for instances that start and for health
/// checks that reconnect.
const PLANNED_PERCENT: u32 = 90;

/// Statements of all instances together, in percent of the target's slots.
///
/// Callers are spread unevenly over instances, so each may use more than its even share. Together they fill the slots
/// and a short queue at the target; all other requests wait in the instances, ordered by priority and objective.
const OVERCOMMIT_PERCENT: u32 = 150;

/// How many of the `connections` that a target accepts are distributed over instances.
pub(crate) fn planned_connections(connections: u32) -> u32 {
    connections * PLANNED_PERCENT / 100
}

/// Connections that each of `instances` may keep to a target that accepts `connections`; at least one.
pub(crate) fn connection_share(connections: u32, instances: usize) -> u32 {
    (planned_connections(connections) / instances.max(1) as u32).max(1)
}

/// Concurrent statements, in percent of one, for each of `parts` equal shares of a target with `slots` slots.
pub(crate) fn statement_percent(slots: u32, parts: usize) -> u32 {
    (OVERCOMMIT_PERCENT * slots).div_ceil(parts.max(1) as u32)
}
