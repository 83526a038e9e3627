//! The settings of an instance that connects to its targets directly.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId};

use crate::options::options;
use crate::{Cores, Seconds};

options! {
    /// The settings of an instance that connects to all targets itself. It learns everything else from the
    /// platform and from other instances.
    pub struct DirectSettings {
        /// Name of the instance, unique among all. A restart keeps the name.
        pub id: InstanceId,
        /// Data centre that the instance runs in. Its targets there are preferred.
        pub data_centre: DataCentre,
        /// Processor cores that the instance may use. Where connections to targets are too few for all
        /// instances, the stronger ones hold them.
        pub processor_cores: Cores = "1.0",
        /// Address on which callers connect.
        pub caller_address: SocketAddr,
        /// Address on which the balancer asks whether callers may be sent here.
        pub health_address: SocketAddr,
        /// Address on which other instances send heartbeats and ask for configuration, the same port
        /// everywhere.
        pub peer_address: SocketAddr,
        /// Addresses of a few instances to contact at the start. Their ports are ignored: the port of
        /// `peer_address` is used.
        pub seeds: Vec<SocketAddr> = "[]",
        /// Address of the platform's store.
        pub store_address: SocketAddr,
        /// Address on which the platform takes promotions.
        pub promotion_address: SocketAddr,
        /// Address of `/metrics`.
        pub metrics_address: SocketAddr,
        /// Milliseconds for which only the instance that last promoted in a group may promote there again,
        /// as long as it is alive.
        pub claim_lease_ms: u64 = "3000",
        /// Milliseconds for which a target may still get new work after it has announced that it is leaving.
        pub leaving_target_ms: u64 = "7000",
        /// Seconds between the signal to shut down and being killed.
        pub grace_s: Seconds = "6",
    }
}
