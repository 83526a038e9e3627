//! What instances tell each other of one instance.

use gullspar_model::record;

use crate::Member;

gullspar_model::value! {
    /// Whether an instance answers.
    pub enum MemberState {
        Alive,
        /// A contact did not hear it; it is dead unless it objects in time.
        Suspect,
        Dead,
    }
}

record! {
    /// One instance as others believe it to be; the higher incarnation wins, then the worse state.
    pub struct MemberRecord {
        pub member: Member,
        /// Raised by the instance itself, to object or to tell of a change.
        pub incarnation: u32,
        /// It finishes what it has and takes nothing new.
        pub leaving: bool,
        pub state: MemberState,
        /// How long it has been in this state, so that passing a record on makes a death no younger.
        pub state_age_ms: u32,
        /// How often a contact heard the suspect again, each time giving it anew the time to object.
        ///
        /// Counted, since the age of a record that waits before a busy instance looks younger than it is: by ages, an
        /// instance that is dead could be given more time for ever.
        pub renewals: u32,
    }
}

impl MemberRecord {
    /// Whether this record says something newer than `other` about the same instance.
    pub(crate) fn has_precedence_over(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// What two instances must agree on: who is there, not how sure they are.
    pub(crate) fn digest(&self) -> u64 {
        let seed = u64::from(self.incarnation) << 1 | u64::from(self.leaving);
        xxhash_rust::xxh3::xxh3_64_with_seed(self.member.id.as_str().as_bytes(), seed)
    }
}
