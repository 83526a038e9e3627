//! Which instances there are, and which of them this one reaches.
//!
//! What an instance sends, and how soon it notices a death or a cut, does not depend on how many instances there
//! are; see `docs/design/membership.md`. Nothing here does input or output: the caller sends and receives.

mod gossip;
mod link;
mod link_counts;
mod links;
mod member;
mod member_record;
mod member_table;
mod membership;
mod population;
mod proximity;
mod rings;
mod timing;

pub use gossip::Gossip;
pub use link_counts::{LinkCounts, Tally};
pub use member::{Member, by_data_centre};
pub use member_record::{MemberRecord, MemberState};
pub use membership::{GossipOutcome, Membership};
pub use proximity::Proximity;
pub use timing::{DEAD_COUNTED_PERIOD, HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL};
