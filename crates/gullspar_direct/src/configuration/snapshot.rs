//! Messages by which instances exchange the configuration and the list of targets.

use gullspar_model::{Revision, record};

use crate::{Catalogue, TargetList};

record! {
    /// Requests everything that is newer than these versions.
    #[derive(Copy)]
    pub struct SnapshotRequest {
        pub catalogue_version: u64,
        pub target_revision: Revision,
    }
}

record! {
    /// The parts that are newer than the requested versions.
    pub struct Snapshot {
        pub catalogue: Option<Catalogue>,
        pub targets: Option<TargetList>,
    }
}
