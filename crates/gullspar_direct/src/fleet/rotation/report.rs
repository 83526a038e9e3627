//! What an instance tells a coordinator.

use std::net::SocketAddr;

use gullspar_border::BootInstant;
use gullspar_model::{InstanceId, record};

use super::{GroupStatus, GroupUse};

record! {
    /// The view of one instance of a data centre that may have to leave rotation.
    pub struct RotationReport {
        pub from: InstanceId,
        pub reply_to: SocketAddr,
        /// By the sender's clock; the answer repeats it.
        pub sent_at: BootInstant,
        /// Whether the sender lacks contact with most other instances, or has had none outside its data centre since its
        /// start.
        pub is_isolated: bool,
        /// Whether the sender has left rotation.
        pub is_out: bool,
        /// `None` if the receiver knows them already; they don't change during an isolation.
        pub uses: Option<Vec<GroupUse>>,
        pub statuses: Vec<GroupStatus>,
    }
}
