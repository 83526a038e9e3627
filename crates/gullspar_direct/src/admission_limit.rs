//! How many connections to a target each instance keeps.

/// Part of the connections that is planned for, in percent; the rest absorbs instances that come and
/// checks that reconnect.
const PLANNED_PERCENT: u32 = 90;

/// Connections that one instance may keep to a target.
pub(crate) fn connection_share(connections: u32, instances: usize) -> u32 {
    let instances = instances.max(1) as u32;
    (connections * PLANNED_PERCENT / 100 / instances).max(1)
}
