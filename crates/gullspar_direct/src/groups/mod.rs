//! Groups of targets: the current leader, claims and failover.

pub(crate) mod candidate;
pub(crate) mod candidate_selection;
pub(crate) mod claim_tracker;
pub(crate) mod claims;
pub(crate) mod failover;
pub(crate) mod failover_timing;
pub(crate) mod group;
pub(crate) mod leader_report;
pub(crate) mod transfer_decision;
pub(crate) mod votes;
