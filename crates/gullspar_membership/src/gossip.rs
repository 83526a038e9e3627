//! The membership part of a heartbeat.

use gullspar_model::record;

use crate::{LinkCounts, MemberRecord};

record! {
    /// Membership state and updates that a heartbeat carries.
    pub struct Gossip {
        /// The sender.
        pub from: MemberRecord,
        /// Digest of all instances that the sender considers alive; it differs if the views differ.
        pub digest: u64,
        /// Number of instances that the sender counts in majorities.
        pub counted: u32,
        /// How many of its contacts are responsive.
        pub links: LinkCounts,
        pub updates: Vec<MemberRecord>,
        /// Whether the sender needs an answer, since the receiver is its contact or is probed.
        pub expects_answer: bool,
    }
}
