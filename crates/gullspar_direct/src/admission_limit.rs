//! What share of a target each instance uses.

/// Part of the connections that is planned for, in percent; the rest absorbs instances that come and
/// checks that reconnect.
const PLANNED_PERCENT: u32 = 90;

/// Statements that one instance runs at once on a target with `slots` slots.
///
/// Callers are spread unevenly over instances, so each may use one and a half times its even share; all
/// together then fill the slots and a short queue at the target. The queue proper stays with the
/// instances, where priorities and objectives order it.
pub(crate) fn statements_at_once(slots: u32, instances: usize) -> u32 {
    let instances = instances.max(1) as u32;
    (3 * slots).div_ceil(2 * instances).clamp(1, slots.max(1))
}

/// Connections that one instance may keep to a target.
pub(crate) fn connection_share(connections: u32, instances: usize) -> u32 {
    let instances = instances.max(1) as u32;
    (connections * PLANNED_PERCENT / 100 / instances).max(1)
}
