//! A group member as configured by operators.

use std::net::SocketAddr;

use crate::{DataCentre, MemberName};

crate::record! {
    /// Address, location and capacity of a group member.
    #[serde(deny_unknown_fields)]
    pub struct MemberSpec {
        pub name: MemberName,
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Number of statements that it runs at the same time.
        pub slots: u32,
        /// Maximum number of connections that it accepts.
        pub connections: u32,
        /// A leaving member gets no new work.
        #[serde(default)]
        pub leaving: bool,
    }
}
