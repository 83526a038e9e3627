//! What instances know of each other.

use std::net::SocketAddr;

use crate::{DataCentre, InstanceId};

crate::value! {
    /// Whether an instance takes part.
    pub enum InstanceState {
        Alive,
        /// Did not answer; declared dead unless it objects in time.
        Suspect,
        /// Finishes what it has and takes nothing new.
        Leaving,
        Dead,
    }
}

crate::record! {
    /// One instance as seen by the others; the higher incarnation wins, then the worse state.
    pub struct InstanceRecord {
        pub id: InstanceId,
        pub data_centre: DataCentre,
        /// Where it answers other instances.
        pub peer: SocketAddr,
        /// Where it accepts lanes, see `docs/design/scarce-connections.md`.
        pub lane: SocketAddr,
        pub incarnation: u64,
        pub state: InstanceState,
    }
}

impl InstanceRecord {
    /// Whether this record says something newer than `other` about the same instance.
    pub fn is_newer_than(&self, other: &InstanceRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether new work may go there.
    pub fn can_accept_work(&self) -> bool {
        matches!(self.state, InstanceState::Alive | InstanceState::Suspect)
    }
}
