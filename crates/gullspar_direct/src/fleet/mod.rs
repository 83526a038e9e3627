//! Cooperation between instances: membership, heartbeats, and which instance serves which group.

pub(crate) mod alternate_route;
pub(crate) mod commit_reports;
pub(crate) mod discovery;
pub(crate) mod heartbeat;
pub(crate) mod heartbeats;
pub(crate) mod home_groups;
pub(crate) mod home_health;
pub(crate) mod home_monitor;
pub(crate) mod home_placement;
pub(crate) mod home_plan;
pub(crate) mod home_probe;
pub(crate) mod home_state;
pub mod homes;
pub(crate) mod last_known;
pub(crate) mod leader_reports;
pub(crate) mod limits;
pub(crate) mod members;
pub(crate) mod partition;
pub(crate) mod peer_message;
pub(crate) mod peer_table;
pub(crate) mod registry;
pub mod rotation;
pub(crate) mod rotation_exchange;
pub(crate) mod rotation_state;
pub(crate) mod usual_time;
pub(crate) mod views;
