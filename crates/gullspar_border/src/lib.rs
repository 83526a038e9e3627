//! Interfaces between an instance and its environment: time, randomness, connections, other instances and the
//! platform.
//!
//! All input and output of an instance goes through these traits, so that tests and benchmarks can replace its
//! environment.

mod boot_instant;
mod burn_series;
mod clock;
mod config_entry;
mod entropy;
mod instance_report;
mod link;
mod member_report;
mod outcome_count;
mod peers;
mod platform;
mod primary_view;
mod watch_backoff;

pub use boot_instant::BootInstant;
pub use burn_series::{BurnSeries, MinuteCount, TargetFailureCount};
pub use clock::{Clock, DeadlinePassed, within};
pub use config_entry::ConfigEntry;
pub use entropy::{Entropy, jittered};
pub use instance_report::InstanceReport;
pub use link::{Dialer, Link};
pub use member_report::MemberReport;
pub use outcome_count::OutcomeCount;
pub use peers::{PeerError, PeerHandler, PeerReply, PeerRequest, Peers};
pub use platform::{
    ObjectVersion, Platform, PlatformError, PlatformInstance, StoredObject, WatchReply,
};
pub use primary_view::PrimaryView;
pub use watch_backoff::WatchBackoff;
