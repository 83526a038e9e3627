//! A member as the operators describe it.

use std::net::SocketAddr;

use crate::{DataCentre, MemberName};

crate::record! {
    /// Where a group member is and how much it bears.
    #[serde(deny_unknown_fields)]
    pub struct MemberSpec {
        pub name: MemberName,
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Statements that it runs at once.
        pub slots: u32,
        /// Connections that it accepts at most.
        pub connections: u32,
        /// A leaving member gets no new work.
        #[serde(default)]
        pub leaving: bool,
    }
}
