//! The settings of an instance that connects to its targets directly.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId};

use crate::options::options;
use crate::{Cores, Seconds};

options! {
    /// Everything that an instance must be told that opens its own connections to all targets; the rest
    /// it learns from the platform and from other instances.
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
        /// Addresses of a few instances to begin with; their port is taken to be that of
        /// `peer_address`.
        pub seeds: Vec<SocketAddr> = "[]",
        /// Address of the platform's store.
        pub store_address: SocketAddr,
        /// Address on which the platform takes promotions.
        pub promotion_address: SocketAddr,
        /// Address of `/metrics`.
        pub metrics_address: SocketAddr,
        /// Milliseconds for which the instance that promoted last in a group is alone in promoting there,
        /// while it lives.
        pub claim_lease_ms: u64 = "3000",
        /// Milliseconds after its announcement for which a target that leaves may be given new work.
        pub leaving_target_ms: u64 = "7000",
        /// Seconds between being told to end and being killed.
        pub grace_s: Seconds = "6",
    }
}
