//! A target as the platform lists it.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, GroupName, MemberName, record};

impl TargetSpec {
    /// Whether `newer` tells of a later start of the process.
    pub fn is_restarted_in(&self, newer: &TargetSpec) -> bool {
        newer.started_ms > self.started_ms
    }

    /// Whether this says more recent things of the target than `other` does.
    ///
    /// Only entries that tell their start can be ordered: without it a count that began anew looks old.
    pub fn is_newer_than(&self, other: &TargetSpec) -> bool {
        match (self.started_ms, other.started_ms) {
            (Some(own), Some(others)) => (own, self.beat) > (others, other.beat),
            (own, others) => own > others,
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
        /// Statements that it runs at once.
        pub slots: u32,
        /// It will go away and gets no new work.
        pub leaving: bool,
        /// When its process started, in milliseconds since 1970 by its own clock; `None` if it does not tell.
        ///
        /// A later start under the same name is another target: it holds nothing of what the earlier one
        /// did.
        pub started_ms: Option<u64>,
        /// Counts what it says of itself, anew with each start.
        pub beat: u64,
    }
}
