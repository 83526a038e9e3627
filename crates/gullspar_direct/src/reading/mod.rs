//! Reads: how fresh they must be, and which target serves them.

pub(crate) mod freshness;
pub(crate) mod position_samples;
pub(crate) mod read_path;
pub(crate) mod target_selection;
