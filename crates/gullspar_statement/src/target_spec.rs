//! The platform's entry for a target.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, GroupName, MemberName, record};

impl TargetSpec {
    /// Whether the target's process was restarted between this entry and `newer`.
    pub fn is_restarted_in(&self, newer: &TargetSpec) -> bool {
        newer.started_ms > self.started_ms
    }

    /// Whether this entry of the target is more recent than `other`.
    ///
    /// Entries are ordered by `beat` only if both have a start time, because `beat` restarts with the process.
    pub fn is_newer_than(&self, other: &TargetSpec) -> bool {
        match (self.started_ms, other.started_ms) {
            (Some(own), Some(theirs)) => (own, self.beat) > (theirs, other.beat),
            (own, theirs) => own > theirs,
        }
    }
}

record! {
    /// One member of a group.
    pub struct TargetSpec {
        pub member: MemberName,
        pub group: GroupName,
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// The number of statements that the target runs at once.
        pub slots: u32,
        /// Whether the target has announced that it will shut down. A replica then gets no new reads, and a leader gets
        /// new work only for a limited time.
        pub leaving: bool,
        /// When its process started, in milliseconds since 1970 by its own clock; `None` if it does not report this.
        ///
        /// A process with a later start under the same name is a different target without the state of the earlier one.
        pub started_ms: Option<u64>,
        /// Counts the target's updates of this entry; restarts with each start of its process.
        pub beat: u64,
    }
}
