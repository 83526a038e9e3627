//! A member in an instance's report.

use gullspar_model::{GroupName, MemberName, MemberStatus, record};

record! {
    /// One member as an instance observes it.
    pub struct MemberReport {
        pub group: GroupName,
        pub member: MemberName,
        /// The last status received.
        pub status: Option<MemberStatus>,
        /// Milliseconds since the last answer.
        pub silent_ms: Option<u64>,
        /// Upper bound of the age of its data in milliseconds, if known.
        pub age_ms: Option<u64>,
        pub connections: u32,
        pub busy_slots: u32,
        pub queued: u32,
        /// Whether the reporting instance holds the member's connections.
        pub home: bool,
    }
}
