//! Serves statements over connections that each instance opens to the targets itself.
//!
//! This crate implements routing, freshness, queueing, retries, failover, configuration and shutdown. The protocols of
//! callers, targets and the platform are behind the traits in [`Borders`]. See `docs/design/platform.md`.

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
pub use fleet::home_health::{HomeEvent, HomeHealth};
pub use fleet::home_placement::{Allowance, HomeInputs};
pub use fleet::home_probe::{HomeProbe, HomeProbeAnswer};
pub use fleet::home_state::UnansweredKey;
pub use fleet::homes;
pub use fleet::members::Members;
pub use fleet::peer_message::PeerMessage;
pub use fleet::peer_table::PeerTable;
pub use fleet::registry::{Registry, RegistryError};
pub use fleet::rotation;
pub use groups::claim_tracker::{ClaimReport, ClaimTracker, Settlement};
pub use groups::claims::{
    Claim, ClaimError, Claims, CurrentClaim, FencingToken, PromoteError, Promoter,
};
pub use groups::commit_report::{CommitReport, CommitReports};
pub use groups::group::{Group, Leader};
pub use groups::leader_report::{LeaderReport, LeaderReports};
pub use groups::successors::{LogEnd, MemberLog, NewestAcknowledged, choose_successor};
pub use groups::transfer_decision::{
    TransferCause, TransferInputs, TransferJudge, TransferVerdict,
};
pub use groups::votes::{Verdict, VoteTally};
pub use gullspar_membership::Member;
pub use proxy::{Identity, Proxy, ROTATION_DELAY};
pub use reading::freshness::Freshness;
pub use reading::position_samples::{PositionSample, PositionSamples};
pub use session::caller_opening::{serve_caller, serve_relayed_caller};
pub use session::forwarded_session::ForwardedSession;
pub use session::home_link::{HomeLink, RelayedLink};
pub use session::relay_message::{RelayMessage, RelayReply};
pub use session::restored_session::RestoredSession;
pub use session::session_values::SessionValues;
pub use session::shutdown::{PartitionState, Phase, Shutdown};
pub use stats::Stats;
pub use targets::pacing::{Share, cooldown_after};
