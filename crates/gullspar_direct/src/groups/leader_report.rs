//! What homes report to each other about a leader that serves its group badly.

use gullspar_model::{GroupName, InstanceId, MemberName, record};

record! {
    /// One home's report about the leader of a group, for itself and its own callers.
    pub struct LeaderReport {
        pub group: GroupName,
        pub leader: MemberName,
        /// Whether each replica that answers applies commits so late that it can't serve reads.
        pub is_lagging: bool,
        /// Whether the leader is far slower than usual, or refuses or fails much of what it is sent.
        pub is_impaired: bool,
        /// Requests per second that the leader served or should have served.
        pub requests_per_s: u32,
        /// Those of them that were refused, failed or late; late ones count in part.
        pub lost_per_s: u32,
        /// Those of them that only came to the leader because replicas lag.
        pub displaced_per_s: u32,
        /// How long ago the last known transfer of the group was ordered, in milliseconds.
        pub transferred_ms_ago: Option<u32>,
    }
}

record! {
    /// The reports of one home; it replaces none of those about other groups.
    pub struct LeaderReports {
        pub from: InstanceId,
        pub reports: Vec<LeaderReport>,
    }
}
