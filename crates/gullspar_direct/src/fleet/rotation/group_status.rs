//! The state of a group as one of its homes sees it.

use gullspar_model::{GroupName, record};

record! {
    /// Whether the sender of a report can serve a group.
    pub struct GroupStatus {
        pub group: GroupName,
        /// Whether the sender reaches the group's leader.
        pub has_leader: bool,
        /// Age of the sender's newest position sample.
        pub sample_age_ms: Option<u32>,
    }
}
