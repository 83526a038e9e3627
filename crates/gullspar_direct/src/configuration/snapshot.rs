//! What one instance hands to another that lacks it.

use gullspar_model::{Revision, record};

use crate::{Catalogue, TargetList};

record! {
    /// Asks for whatever is newer than this.
    #[derive(Copy)]
    pub struct SnapshotRequest {
        pub catalogue_version: u64,
        pub target_revision: Revision,
    }
}

record! {
    /// The parts that are newer than what was asked from.
    pub struct Snapshot {
        pub catalogue: Option<Catalogue>,
        pub targets: Option<TargetList>,
    }
}
