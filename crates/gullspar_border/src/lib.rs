//! The borders of an instance: everything outside of it is met through one of these traits.
//!
//! A test or a bench attaches here. Every decision (route, admit, retry, promote, apply) reaches the
//! world through them, and nothing goes round.

mod burn_series;
mod clock;
mod entropy;
mod link;
mod peers;
mod platform;

pub use burn_series::{BurnSeries, MinuteCount, TargetBlame};
pub use clock::{Clock, DeadlinePassed, within};
pub use entropy::{Entropy, jittered};
pub use link::{Dialer, Link};
pub use peers::{
    ConfigEntry, InstanceReport, MemberReport, OutcomeCount, PeerError, PeerHandler, PeerReply,
    PeerRequest, Peers, PrimaryView,
};
pub use platform::{
    ObjectVersion, Platform, PlatformError, PlatformInstance, StoredObject, WatchReply,
};
