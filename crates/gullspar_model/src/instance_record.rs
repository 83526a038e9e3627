//! Membership records that instances exchange about each other.

use std::net::SocketAddr;

use crate::{DataCentre, InstanceId};

crate::value! {
    /// The state of an instance in the membership.
    pub enum InstanceState {
        Alive,
        /// It did not answer; it is declared dead unless it refutes this in time.
        Suspect,
        /// It completes its current work and accepts no new work.
        Leaving,
        Dead,
    }
}

crate::record! {
    /// One instance as seen by the others. The higher incarnation wins; at equal incarnations, the later state in
    /// the order of [`InstanceState`] wins.
    pub struct InstanceRecord {
        pub id: InstanceId,
        pub data_centre: DataCentre,
        /// The address on which it accepts calls of other instances.
        pub peer: SocketAddr,
        /// The address on which it accepts lanes, see `docs/design/scarce-connections.md`.
        pub lane: SocketAddr,
        pub incarnation: u64,
        pub state: InstanceState,
    }
}

impl InstanceRecord {
    /// Whether this record replaces `other`, a record of the same instance.
    pub fn is_newer_than(&self, other: &InstanceRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the instance may be given new work.
    pub fn can_accept_work(&self) -> bool {
        matches!(self.state, InstanceState::Alive | InstanceState::Suspect)
    }
}
