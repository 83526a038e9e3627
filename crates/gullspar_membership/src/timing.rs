//! Intervals, timeouts and limits of the membership protocol.

use std::time::Duration;

/// Time between two heartbeats to each contact.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two heartbeats to the same contact.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Silence after which a contact is unreachable; three late or lost heartbeats in a row are
/// tolerated.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// How long a suspect may refute before it is declared dead.
///
/// This covers a heartbeat to the suspect, one from it, and the spread of the refutation through
/// the fleet.
pub(crate) const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time between two renewals of a suspect's time to refute that are sent to others.
pub(crate) const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a dead instance is still counted in majorities.
///
/// It must be longer than usual partitions, so that a partitioned data centre does not become its
/// own majority, and limited, so that instances that were removed permanently are not counted
/// forever.
pub const DEAD_COUNTED_PERIOD: Duration = Duration::from_secs(15);

/// How long a dead instance is remembered and occasionally probed, so that the sides of a long
/// partition merge again.
pub(crate) const FORGET_DEAD_AFTER: Duration = Duration::from_secs(2 * 3600);

/// Time between two checks after which this instance itself is considered to have been paused.
///
/// Otherwise, after being suspended or starved of processor time, it would consider all others
/// silent.
pub(crate) const PAUSE_DETECTED_AFTER: Duration = Duration::from_millis(300);

/// Number of other instances up to which all of them are contacts.
pub(crate) const MAX_FULL_MESH_PEERS: usize = 10;

/// Number of rings per data centre; each ring gives an instance two contacts.
pub(crate) const NEAR_RINGS: u64 = 2;

/// Number of rings of all instances, on which data centres alternate.
pub(crate) const FAR_RINGS: u64 = 2;

/// Number of heartbeat rounds that send a record, so that each contact receives it twice.
pub(crate) const UPDATE_ROUNDS: u32 = 2;

/// Maximum number of updates in a heartbeat, so that it fits a datagram.
pub(crate) const MAX_UPDATE_RECORDS: usize = 20;

/// Maximum number of records added for a contact whose view differs.
pub(crate) const MAX_SYNC_RECORDS: usize = 12;

/// Maximum number of records in an answer to an instance that is not a contact, usually one that
/// has just started.
pub(crate) const MAX_ANSWER_RECORDS: usize = 24;

/// Number of addresses probed per round while no other instance is known.
pub(crate) const JOIN_FANOUT: usize = 10;

/// Number of addresses probed per round once other instances are known.
pub(crate) const PROBE_FANOUT: usize = 2;

/// Number of unanswered probes after which an address is dropped.
pub(crate) const MAX_PROBE_TRIES: u32 = 5;

/// Number of rounds between two probes of a dead instance or a seed.
pub(crate) const REVIVE_ROUND_INTERVAL: u64 = 10;
