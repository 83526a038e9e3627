//! Reads: required freshness and target selection.

pub(crate) mod freshness;
pub(crate) mod position_samples;
pub(crate) mod read_path;
pub(crate) mod target_selection;
