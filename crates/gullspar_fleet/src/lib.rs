//! The member table of a fleet, the homes of targets, and the shared configuration.
//!
//! Instances exchange member records by gossip, see `docs/design/membership.md`. A few relays forward the configuration
//! from the platform to all instances, see `docs/design/configuration.md`.

mod config_store;
mod config_sync;
mod fleet;
mod gossip;
mod member_table;
mod rank;
mod timing;

pub use config_store::{ConfigStore, VersionedGroup, VersionedService};
pub use fleet::{Borders, Fleet};
pub use rank::weight;
pub use timing::FleetTiming;
