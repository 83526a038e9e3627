//! What all instances together may ask of a target, and the part of it that one has.

/// Part of the connections that is planned for, in percent; the rest absorbs instances that come and
/// checks that reconnect.
const PLANNED_PERCENT: u32 = 90;

/// How many times the slots all instances together use, in percent: callers are spread unevenly over instances,
/// so each may use one and a half times its even part, and all together fill the slots and a short queue.
///
/// The queue proper stays with the instances, where priorities and objectives order it.
const OVERCOMMIT_PERCENT: u32 = 150;

/// Of `connections` that a target takes, those that are planned for.
pub(crate) fn planned_connections(connections: u32) -> u32 {
    connections * PLANNED_PERCENT / 100
}

/// Connections that one of `instances` may keep to a target that takes `connections`.
pub(crate) fn connection_share(connections: u32, instances: usize) -> u32 {
    (planned_connections(connections) / instances.max(1) as u32).max(1)
}

/// Statements, in percent of one, that each of `parts` equal parts may run at once on a target with `slots`.
pub(crate) fn statement_percent(slots: u32, parts: usize) -> u32 {
    (OVERCOMMIT_PERCENT * slots).div_ceil(parts.max(1) as u32)
}
