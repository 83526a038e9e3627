//! The pace of heartbeats, and how long silence takes to mean something.

use std::time::Duration;

/// Between two heartbeats to each contact.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two heartbeats to one contact, however much happens.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);

/// Silence of a contact after which it is out of this instance's reach: three heartbeats in a row may be late or lost.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// How long a suspect may object before it is dead.
///
/// Its objection takes a heartbeat to it, one from it, and the way through the fleet.
pub(crate) const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Least time between two renewals of a suspect's time to object that are passed on.
pub(crate) const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a dead instance still counts when majorities are formed.
///
/// A cut-off data centre must not become its own majority within the seconds that cuts usually last;
/// an instance that was removed for good must not count for ever.
pub const DEAD_COUNTED_PERIOD: Duration = Duration::from_secs(15);

/// How long a dead instance is remembered and tried now and then, so that regions that lost each other for an hour find
/// together again.
pub(crate) const FORGET_DEAD_AFTER: Duration = Duration::from_secs(2 * 3600);

/// Time between two looks at the links after which this instance itself stood still.
///
/// One that was suspended or starved of its processor would otherwise take everybody else for silent.
pub(crate) const STALLED_AFTER: Duration = Duration::from_millis(300);

/// Other instances up to which all are contacts.
pub(crate) const MAX_FULL_MESH_PEERS: usize = 10;

/// Rings of the instances of one data centre; each gives an instance two contacts.
pub(crate) const NEAR_RINGS: u64 = 2;

/// Rings of all instances, in which data centres alternate.
pub(crate) const FAR_RINGS: u64 = 2;

/// Rounds of heartbeats that pass a record on: each instance hears it from all its contacts, twice.
pub(crate) const UPDATE_ROUNDS: u32 = 2;

/// Records that a heartbeat passes on at most, so that it fits a datagram.
pub(crate) const MAX_UPDATE_RECORDS: usize = 20;

/// Records that are added for a contact whose view differs, others each time.
pub(crate) const MAX_SYNC_RECORDS: usize = 12;

/// Records for an instance that is no contact: most often one that has just started and knows nobody.
pub(crate) const MAX_ANSWER_RECORDS: usize = 24;

/// Addresses where an instance may be that are tried in one round while nobody was heard.
pub(crate) const JOIN_FANOUT: usize = 10;

/// Such addresses that are tried in one round later on.
pub(crate) const PROBE_FANOUT: usize = 2;

/// Tries after which an address that nobody answers at is dropped.
pub(crate) const MAX_PROBE_TRIES: u32 = 5;

/// One round in this many tries an instance that is dead, or an address of the settings.
pub(crate) const REVIVE_ROUND_INTERVAL: u64 = 10;
