//! Datagrams that tell an unresponsive home from a busy one.

use std::net::SocketAddr;

use gullspar_model::record;

record! {
    /// Asks a home to answer at once.
    pub struct HomeProbe {
        /// Identifies the probe at its sender.
        pub number: u64,
        /// Where to send the answer.
        pub reply_to: SocketAddr,
    }
}

record! {
    /// The answer to a [`HomeProbe`].
    pub struct HomeProbeAnswer {
        /// The number of the probe.
        pub number: u64,
    }
}
