//! Groups of targets: who leads, and who is to lead next.

pub(crate) mod candidate;
pub(crate) mod claim_tracker;
pub(crate) mod claims;
pub(crate) mod failover;
pub(crate) mod failover_timing;
pub(crate) mod group;
pub(crate) mod succession;
pub(crate) mod votes;
