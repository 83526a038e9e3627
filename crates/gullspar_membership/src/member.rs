//! Another instance, as far as placing work needs to know it.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId, record};

record! {
    /// An instance that takes work.
    pub struct Member {
        pub id: InstanceId,
        /// Where other instances reach it.
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Its processor, in thousandths of a core.
        pub strength: u32,
    }
}
