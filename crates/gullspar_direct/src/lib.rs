//! Serving statements over connections that each instance opens to the targets itself.
//!
//! Routing, freshness, queueing, retries, failover, configuration and shutdown live here; what callers,
//! targets and the platform speak is behind borders. See `docs/design/platform.md`.

mod admission_limit;
mod attempt;
mod beacon;
mod borders;
mod caller_opening;
mod caller_session;
mod catalogue;
mod census;
mod claim_book;
mod claims;
mod confirmation;
mod connection_pool;
mod cut_off;
mod detour;
mod directory;
mod failover;
mod failover_timing;
mod freshness;
mod group;
mod home_groups;
mod homes;
mod member;
mod membership;
mod peer_table;
mod placing;
mod pooled_connection;
mod proxy;
mod read_path;
mod readings;
mod refusal;
mod registry;
mod relay;
mod request;
mod session_values;
mod shutdown;
mod snapshot;
mod stats;
mod target;
mod target_watch;
mod trace;
mod transaction;
mod votes;
mod write_path;

pub use beacon::{Beacon, GroupView, Sighting};
pub use borders::{Borders, PeerChannel};
pub use caller_opening::{serve_caller, serve_relayed_caller};
pub use catalogue::{Catalogue, GroupLimits, Route, TargetList};
pub use claim_book::{ClaimBook, ClaimNote};
pub use claims::{Claim, ClaimError, Claims, FencingToken, PromoteError, Promoter, StandingClaim};
pub use directory::Directory;
pub use freshness::Freshness;
pub use group::{Group, Leader};
pub use member::Member;
pub use peer_table::PeerTable;
pub use proxy::{Identity, Proxy, ROTATION};
pub use readings::{Reading, Readings};
pub use registry::{Registry, RegistryError};
pub use relay::{HomeLink, RelayMessage, RelayReply};
pub use session_values::SessionValues;
pub use shutdown::{CutOff, Phase, Shutdown};
pub use snapshot::{Snapshot, SnapshotRequest};
pub use stats::Stats;
pub use votes::{Ballot, Verdict};
