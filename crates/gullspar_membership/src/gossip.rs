//! What a heartbeat tells of the fleet.

use gullspar_model::record;

use crate::{LinkCounts, MemberRecord};

record! {
    /// The part of a heartbeat that tells who is there.
    pub struct Gossip {
        /// The sender.
        pub from: MemberRecord,
        /// Over all instances that the sender takes for alive, to see whether two views agree.
        pub digest: u64,
        /// Instances that count in majorities, as the sender knows.
        pub counted: u32,
        /// Which of its contacts the sender hears.
        pub links: LinkCounts,
        pub updates: Vec<MemberRecord>,
        /// The sender takes the receiver for a contact, or tries an address, and needs to hear from it.
        pub expects_answer: bool,
    }
}
