//! Which target a read goes to.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_model::{CustomerName, DataCentre, LogPoint, MemberName};

use crate::groups::group::Group;
use crate::targets::target::Target;

/// What a target outside the own data centre is charged; about what the way there and back takes.
const REMOTE_COST: Duration = Duration::from_millis(2);

/// What the leader is charged for a read that a replica can serve, as a multiple of its expected time.
///
/// Writes and reads of the latest data have nowhere else to go, so its slots are kept for them until the
/// replicas are clearly busier.
const LEADER_FACTOR: u32 = 3;

/// What a replica is charged that is not known to have reached the wanted point: asking it may cost a
/// round trip in vain.
const UNCERTAIN_COST: Duration = Duration::from_millis(3);

/// Time that a statement is expected to take where no target has answered one yet.
const UNKNOWN_MEAN: Duration = Duration::from_millis(20);

/// Where a read may go and what it needs there.
pub(crate) struct ReadCriteria<'a> {
    /// The point that a replica must have reached; `None` when only the leader will do.
    pub(crate) at_least: Option<LogPoint>,
    /// Members tried already for this statement.
    pub(crate) tried: &'a [MemberName],
    pub(crate) own: &'a DataCentre,
    /// Whose read it is.
    pub(crate) customer: Option<&'a CustomerName>,
    pub(crate) now: Instant,
}

/// The best target for a read, if any can serve it now.
pub(crate) fn select(group: &Group, wanted: &ReadCriteria<'_>) -> Option<Rc<Target>> {
    let targets = group.targets();
    let usual = group.usual_mean().unwrap_or(UNKNOWN_MEAN);
    let able = |avoided: bool| {
        targets
            .iter()
            .filter(|it| !it.is_unresponsive() && it.has_responded())
            .filter(|it| !wanted.tried.contains(&it.member()))
            .filter(|it| avoided || !it.is_avoided(wanted.now))
            .filter(|it| is_able(group, it, wanted))
            .min_by_key(|it| cost(group, it, wanted, usual))
            .cloned()
    };
    able(false).or_else(|| able(true))
}

fn is_able(group: &Group, target: &Target, wanted: &ReadCriteria<'_>) -> bool {
    if group.is_leader(&target.member()) {
        return !target.is_closed_to_new_work();
    }
    let Some(point) = wanted.at_least else { return false };
    !target.spec().leaving && !target.is_behind(point, wanted.now)
}

fn cost(group: &Group, target: &Target, wanted: &ReadCriteria<'_>, usual: Duration) -> Duration {
    let spec = target.spec();
    let mut cost = target.expected_duration(usual);
    if spec.data_centre != *wanted.own {
        cost += REMOTE_COST;
    }
    // Reads of a customer so stay where its connections are, unless the others are clearly less busy.
    cost += wanted.customer.map_or(Duration::ZERO, |it| target.pool.opening_cost(it));
    if group.is_leader(&spec.member) {
        return cost * LEADER_FACTOR;
    }
    let reached = target.point().is_some_and(|it| Some(it) >= wanted.at_least);
    if reached { cost } else { cost + UNCERTAIN_COST }
}
