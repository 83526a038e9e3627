//! Which instances there are, which of them holds which target, and the configuration they share.
//!
//! Membership spreads by gossip, see `docs/design/membership.md`; configuration goes from the
//! platform through a few relays to all, see `docs/design/configuration.md`.

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
