//! Decides whether the instances of a partitioned data centre leave rotation, all of them or none.
//!
//! Isolated instances report to a coordinator, which answers with a verdict. The load that this handles: the callers of
//! a data centre, or of a side of it, that lost contact with the other instances. Nothing here does input or output; the
//! caller sends the messages and passes the current time. See `docs/design/rotation.md`.

mod contact;
mod coordinator;
mod decision;
mod group_status;
mod group_use;
mod participant;
mod recent_use;
mod report;
mod ruling;
mod tally;
pub mod timing;
mod verdict;

pub use coordinator::Coordinator;
pub use decision::Decision;
pub use group_status::GroupStatus;
pub use group_use::GroupUse;
pub use participant::Participant;
pub(crate) use recent_use::{RecentUse, UseCounter};
pub use report::RotationReport;
pub use ruling::Ruling;
pub use tally::Tally;
pub use verdict::RotationVerdict;

use gullspar_model::InstanceId;

use crate::fleet::homes;

/// Key by which the coordinators of a data centre are ranked.
const COORDINATOR_RANK_KEY: &str = "gullspar rotation";

/// The rank of an instance as a coordinator; the highest is the first.
fn rank(id: &InstanceId) -> u64 {
    homes::weight(COORDINATOR_RANK_KEY, id.as_str())
}
