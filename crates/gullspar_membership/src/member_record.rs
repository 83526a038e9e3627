//! The record of an instance that other instances exchange.

use gullspar_model::record;

use crate::Member;

gullspar_model::value! {
    /// The liveness of an instance.
    pub enum MemberState {
        Alive,
        /// A contact received nothing from it; it is declared dead unless it refutes this in time.
        Suspect,
        Dead,
    }
}

record! {
    /// The state of an instance as known to others. The higher incarnation has precedence, then the
    /// worse state.
    pub struct MemberRecord {
        pub member: Member,
        /// Raised by the instance itself to refute a suspicion or to announce a change.
        pub incarnation: u32,
        /// It finishes its current work and accepts no new work.
        pub leaving: bool,
        pub state: MemberState,
        /// Age of the state in milliseconds, so that forwarding a record does not make a death
        /// younger.
        pub state_age_ms: u32,
        /// How often the suspect's time to refute was renewed, because a contact received something
        /// from it.
        ///
        /// Renewals are compared by this count, not by age: a record that waits at a busy instance
        /// looks younger than it is, and the time of a dead instance could be extended forever.
        pub renewals: u32,
    }
}

impl MemberRecord {
    /// Whether this record replaces `other` about the same instance.
    pub(crate) fn has_precedence_over(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// A hash of what instances must agree on: the member, its incarnation and whether it is
    /// leaving, but not its liveness state.
    pub(crate) fn digest(&self) -> u64 {
        let seed = u64::from(self.incarnation) << 1 | u64::from(self.leaving);
        xxhash_rust::xxh3::xxh3_64_with_seed(self.member.id.as_str().as_bytes(), seed)
    }
}
