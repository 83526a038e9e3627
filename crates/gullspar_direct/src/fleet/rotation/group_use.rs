//! How much callers use a group.

use gullspar_model::{GroupName, record};

record! {
    /// Recent use of a group by callers that are connected to the sender of a report.
    pub struct GroupUse {
        pub group: GroupName,
        /// Maximum age of the data that these callers accept; `None` if they need the leader.
        pub max_age_ms: Option<u32>,
        /// Number of recent openings and statements, older ones counted less.
        pub count: u32,
    }
}
