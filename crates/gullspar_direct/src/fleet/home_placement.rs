//! Decides in which data centres a group has homes, and how many.
//!
//! A home costs the same whether its group is busy or idle: it checks the group's targets, and the homes of a group send
//! heartbeats to each other. With many groups, two homes in each data centre would cost more than the callers' statements,
//! so the number of homes also follows from the number of instances for each group. See `docs/design/fleet.md`.

use std::collections::BTreeSet;
use std::rc::Rc;

use gullspar_model::{DataCentre, GroupName};

use crate::Members;
use crate::fleet::homes;
use crate::targets::admission_limit;

/// The smallest share of a target's connections with which every instance opens its own: one for
/// statements and one for a transaction.
const MIN_SHARE: usize = 2;

/// Minimum number of connections to a target that a home should hold.
const MIN_CONNECTIONS_PER_HOME: usize = 5;

/// The number of groups for which an instance is a home, on average, as long as each group has [`MIN_HOMES`].
const GROUPS_PER_INSTANCE: usize = 4;

/// Minimum number of homes of a group, if there are as many data centres. Two of them are a majority when one fails.
const MIN_HOMES: usize = 3;

/// Distinguishes the hash that rounds a group's number of homes from those that rank data centres.
const ROUNDING_KEY: &str = "rounding";

/// The limits of each target of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Connections from all instances together.
    pub connections: u32,
    /// Statements that a target runs at the same time.
    pub slots: u32,
}

/// What the homes of a group depend on, besides the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeInputs {
    pub allowance: Allowance,
    /// Number of groups that the instances serve together.
    pub group_count: usize,
    /// Where the group's targets are.
    pub target_data_centres: Rc<BTreeSet<DataCentre>>,
}

/// Where a group has homes.
#[derive(Debug)]
pub(crate) struct HomePlacement<'a> {
    pub(crate) data_centres: Vec<&'a DataCentre>,
    /// Number of homes in each of them.
    pub(crate) per_data_centre: usize,
}

impl<'a> HomePlacement<'a> {
    /// Places the homes of `group`; `None` if every instance opens its own connections.
    pub(crate) fn new(
        group: &GroupName,
        inputs: &HomeInputs,
        members: &'a Members,
    ) -> Option<HomePlacement<'a>> {
        let all = members.data_centres();
        let most = homes_per_data_centre(inputs.allowance, members.len(), all.len())?;
        let total = homes_to_share(group, inputs.group_count, members.len()).max(MIN_HOMES);
        let per_data_centre = most.min(total / all.len().max(1)).max(1);
        let mut data_centres: Vec<&DataCentre> = all.collect();
        if total < data_centres.len() {
            // Homes next to the targets save round trips between data centres.
            data_centres.sort_by_cached_key(|it| {
                let has_target = inputs.target_data_centres.contains(*it);
                (!has_target, homes::weight(group.as_str(), it.as_str()))
            });
            data_centres.truncate(total);
        }
        Some(HomePlacement { data_centres, per_data_centre })
    }

    pub(crate) fn includes(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(&data_centre)
    }
}

/// The number of homes of `group` with which an instance is a home of [`GROUPS_PER_INSTANCE`] groups on average.
///
/// It is rounded up for some groups and down for others, by hash: one instance more or less then changes it for a few
/// groups and not for all.
fn homes_to_share(group: &GroupName, groups: usize, members: usize) -> usize {
    let groups = groups.max(1);
    let rounding = homes::weight(group.as_str(), ROUNDING_KEY) as usize % groups;
    (members * GROUPS_PER_INSTANCE + rounding) / groups
}

/// The largest useful number of homes of a group in each data centre; `None` if every instance opens its own
/// connections.
///
/// The homes together may use one and a half times the slots, so there are only as many homes as
/// can each run a statement within that limit. More homes would fill the target's own queue, which
/// knows neither priorities nor deadlines.
fn homes_per_data_centre(
    allowance: Allowance,
    members: usize,
    data_centres: usize,
) -> Option<usize> {
    let planned = admission_limit::planned_connections(allowance.connections) as usize;
    if planned / members.max(1) >= MIN_SHARE {
        return None;
    }
    let data_centres = data_centres.max(1);
    let by_connections = planned / MIN_CONNECTIONS_PER_HOME / data_centres;
    let percent = admission_limit::statement_percent(allowance.slots, data_centres);
    let by_slots = percent.div_ceil(100) as usize;
    Some(by_connections.min(by_slots).max(1))
}
