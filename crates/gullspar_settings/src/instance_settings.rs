//! The settings of an instance.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId};

use crate::options::options;

options! {
    /// The settings of one instance. It learns everything else from the platform and from other instances.
    pub struct InstanceSettings {
        /// Name of the instance, unique among all. A restart keeps the name.
        pub id: InstanceId,
        /// Data centre that the instance runs in. It holds the connections of targets there.
        pub data_centre: DataCentre,
        /// Address on which callers connect, by PostgreSQL's protocol.
        pub caller_address: SocketAddr,
        /// Address on which other instances call, by tarpc.
        pub peer_address: SocketAddr,
        /// Address on which other instances open lanes to targets held here.
        pub lane_address: SocketAddr,
        /// Address of the operators' HTTP API and of `/metrics`.
        pub operator_address: SocketAddr,
        /// Address of the platform's object API.
        pub platform_address: SocketAddr,
        /// Peer addresses of a few instances to ask for the others at start.
        pub seeds: Vec<SocketAddr> = "[]",
        /// Secret with which instances authenticate to each other on lanes. The same everywhere.
        pub lane_secret: String,
        /// Secret that session tokens are signed with. The same everywhere; a token signed with
        /// another one is refused.
        pub token_secret: String,
        /// Callers connected at once; more are refused with SQLSTATE 53300.
        pub caller_limit: u64 = "20000",
        /// Milliseconds between two exchanges of membership updates.
        pub gossip_ms: u64 = "200",
        /// Milliseconds for which a target delays the answer to a status call while nothing changes.
        pub status_wait_ms: u64 = "100",
        /// Milliseconds of silence after which a primary counts as failed.
        pub failed_after_ms: u64 = "400",
        /// Milliseconds that a shutdown waits for requests in flight.
        pub drain_ms: u64 = "10000",
    }
}
