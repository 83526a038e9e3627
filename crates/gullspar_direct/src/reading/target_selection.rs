//! Selection of the target that serves a read.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::BootInstant;
use gullspar_model::{CustomerName, DataCentre, LogPoint, MemberName};

use crate::groups::group::Group;
use crate::targets::target::Target;

/// Cost added to a target in another data centre; about the network round trip.
const REMOTE_COST: Duration = Duration::from_millis(2);

/// Factor on the cost of the leader.
///
/// Only the leader serves writes and reads of the latest data. Its slots are therefore left to them until the replicas
/// are clearly busier.
const LEADER_COST_FACTOR: u32 = 3;

/// Cost added to a replica that is not known to have reached the required point; it may refuse the read.
const UNCERTAIN_COST: Duration = Duration::from_millis(3);

/// Cost added to a replica that has caught up, if a replica that lags can serve the read as well. Reads that need less
/// then leave room on the replica that alone can serve the others.
const CAUGHT_UP_COST: Duration = Duration::from_millis(3);

/// Assumed mean statement time until a target of the group has answered a statement.
const INITIAL_MEAN_ESTIMATE: Duration = Duration::from_millis(20);

/// The properties of a read that determine which target serves it.
pub(crate) struct ReadCriteria<'a> {
    /// The point that a replica must have reached; `None` if only the leader can serve the read.
    pub(crate) at_least: Option<LogPoint>,
    /// Members that were already tried for this statement.
    pub(crate) tried: &'a [MemberName],
    /// The data centre of this instance.
    pub(crate) own_data_centre: &'a DataCentre,
    /// The customer of the read.
    pub(crate) customer: Option<&'a CustomerName>,
    pub(crate) now: Instant,
    pub(crate) boot_now: BootInstant,
}

/// Returns the cheapest target that can serve a read now. Avoided targets are used only if there is no other.
pub(crate) fn select(group: &Group, criteria: &ReadCriteria<'_>) -> Option<Rc<Target>> {
    let targets = group.targets();
    let usual = group.fastest_mean().unwrap_or(INITIAL_MEAN_ESTIMATE);
    let is_lagging = |it: &Target| group.is_lagging(it, criteria.boot_now);
    let prefers_lagging = targets
        .iter()
        .any(|it| !it.is_unresponsive() && is_lagging(it) && has_reached(it, criteria));
    let cheapest = |include_avoided: bool| {
        targets
            .iter()
            .filter(|it| it.is_answering())
            .filter(|it| !criteria.tried.contains(&it.member()))
            .filter(|it| include_avoided || !it.is_avoided(criteria.now))
            .filter(|it| can_serve(group, it, criteria))
            .min_by_key(|it| {
                let is_caught_up = prefers_lagging && !is_lagging(it);
                let extra = if is_caught_up { CAUGHT_UP_COST } else { Duration::ZERO };
                cost(group, it, criteria, usual) + extra
            })
            .cloned()
    };
    cheapest(false).or_else(|| cheapest(true))
}

fn can_serve(group: &Group, target: &Target, criteria: &ReadCriteria<'_>) -> bool {
    if group.is_leader(&target.member()) {
        return !target.is_closed_to_new_work();
    }
    let Some(point) = criteria.at_least else { return false };
    !target.spec().leaving && !target.is_behind(point, criteria.now)
}

fn cost(group: &Group, target: &Target, criteria: &ReadCriteria<'_>, usual: Duration) -> Duration {
    let spec = target.spec();
    let mut cost = target.expected_duration(usual);
    if spec.data_centre != *criteria.own_data_centre {
        cost += REMOTE_COST;
    }
    // Prefers targets with an idle connection of the customer, unless others are clearly less busy.
    cost += criteria.customer.map_or(Duration::ZERO, |it| target.pool.opening_cost(it));
    if group.is_leader(&spec.member) {
        return cost * LEADER_COST_FACTOR;
    }
    if has_reached(target, criteria) { cost } else { cost + UNCERTAIN_COST }
}

fn has_reached(target: &Target, criteria: &ReadCriteria<'_>) -> bool {
    target.point().is_some_and(|it| Some(it) >= criteria.at_least)
}
