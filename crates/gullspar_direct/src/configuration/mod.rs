//! The configuration and the list of targets in force, and where they come from.

pub(crate) mod catalogue;
pub(crate) mod directory;
pub(crate) mod group_targets;
pub(crate) mod snapshot;
pub(crate) mod store_contact;
pub(crate) mod update_source;
