//! Groups of targets: the current leader, claims and failover.

pub(crate) mod acknowledged_commits;
pub(crate) mod candidate;
pub(crate) mod candidate_selection;
pub(crate) mod claim_reading;
pub(crate) mod claim_spread;
pub(crate) mod claim_tracker;
pub(crate) mod claims;
pub(crate) mod commit_report;
pub(crate) mod decaying_rate;
pub(crate) mod failover;
pub(crate) mod failover_timing;
pub(crate) mod group;
pub(crate) mod leader_load;
pub(crate) mod leader_performance;
pub(crate) mod leader_report;
pub(crate) mod leader_transfer;
pub(crate) mod received_reports;
pub(crate) mod recent_runs;
pub(crate) mod replacement;
pub(crate) mod settlement;
pub(crate) mod successor_selection;
pub(crate) mod successors;
pub(crate) mod synchronous_group;
pub(crate) mod transfer_decision;
pub(crate) mod usual_durations;
pub(crate) mod votes;
