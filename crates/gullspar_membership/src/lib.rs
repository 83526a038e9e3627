//! Membership of the fleet: which instances there are and which of them this one can reach.
//!
//! The traffic of an instance and the time to detect a death or a partition do not depend on the
//! size of the fleet; see `docs/design/membership.md`. This crate does no input or output; its user
//! sends and receives the messages.

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
mod reach;
mod rings;
mod timing;

pub use gossip::Gossip;
pub use link_counts::{LinkCounts, Tally};
pub use member::{Member, by_data_centre};
pub use member_record::{MemberRecord, MemberState};
pub use membership::{GossipOutcome, Membership};
pub use proximity::Proximity;
pub use reach::Reach;
pub use timing::{DEAD_COUNTED_PERIOD, HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL};
