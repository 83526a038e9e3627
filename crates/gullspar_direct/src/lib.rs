//! Serving statements over connections that each instance opens to the targets itself.
//!
//! Routing, freshness, queueing, retries, failover, configuration and shutdown live here; what callers,
//! targets and the platform speak is behind borders. See `docs/design/platform.md`.

mod borders;
mod configuration;
mod fleet;
mod groups;
mod proxy;
mod reading;
mod session;
mod stats;
mod targets;
mod writing;

pub use borders::{Borders, PeerChannel};
pub use configuration::catalogue::{Catalogue, GroupLimits, Route, TargetList};
pub use configuration::directory::Directory;
pub use configuration::snapshot::{Snapshot, SnapshotRequest};
pub use fleet::heartbeat::{GroupView, Heartbeat, LeaderHealth};
pub use fleet::members::Members;
pub use fleet::peer_message::PeerMessage;
pub use fleet::peer_table::PeerTable;
pub use fleet::registry::{Registry, RegistryError};
pub use groups::claim_book::{ClaimBook, ClaimNote};
pub use groups::claims::{
    Claim, ClaimError, Claims, FencingToken, PromoteError, Promoter, StandingClaim,
};
pub use groups::group::{Group, Leader};
pub use groups::votes::{Ballot, Verdict};
pub use gullspar_membership::Member;
pub use proxy::{Identity, Proxy, ROTATION};
pub use reading::freshness::Freshness;
pub use reading::position_samples::{PositionSample, PositionSamples};
pub use session::caller_opening::{serve_caller, serve_relayed_caller};
pub use session::handed_on::HandedOn;
pub use session::relay::{HomeLink, RelayMessage, RelayReply};
pub use session::session_values::SessionValues;
pub use session::shutdown::{CutOff, Phase, Shutdown};
pub use stats::Stats;
pub use targets::pacing::{Share, cooldown_after};
