//! A target as the platform lists it.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, GroupName, MemberName, record};

record! {
    /// One member of a group.
    pub struct TargetSpec {
        pub member: MemberName,
        pub group: GroupName,
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Statements that it runs at once.
        pub slots: u32,
        /// It will go away and gets no new work.
        pub leaving: bool,
    }
}
