//! Which instances hold connections to a group's targets.
//!
//! A few instances can each hold their share of a target's connections. When a share would be less than two,
//! only some of them do, the group's homes, and the others hand sessions on to them.

use gullspar_model::{DataCentre, GroupName, InstanceId};

use crate::{GroupLimits, Member};

/// The least share of connections with which every instance connects itself: one for statements and one for
/// a transaction beside it.
const LEAST_SHARE: usize = 2;

/// Connections to a target that each home may hold.
const PER_HOME: usize = 5;

/// Part of the connections that is planned for, in percent.
const PLANNED_PERCENT: usize = 90;

/// The homes of `group` in `own`, best first; `None` if every instance connects itself.
pub(crate) fn homes(
    group: &GroupName,
    limits: GroupLimits,
    own: &DataCentre,
    members: &[Member],
) -> Option<Vec<Member>> {
    let planned = limits.connections as usize * PLANNED_PERCENT / 100;
    if planned / members.len().max(1) >= LEAST_SHARE {
        return None;
    }
    let mut data_centres: Vec<&DataCentre> = members.iter().map(|it| &it.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    let each = (planned / PER_HOME / data_centres.len().max(1)).max(1);
    let mut ranked: Vec<Member> = members.to_vec();
    ranked.sort_by_key(|it| (it.data_centre != *own, weight(group, &it.id)));
    let near = ranked.iter().take_while(|it| it.data_centre == *own).count();
    ranked.truncate(if near == 0 { each } else { each.min(near) });
    Some(ranked)
}

/// How many instances hold connections to each of the group's targets.
pub(crate) fn holders(group: &GroupName, limits: GroupLimits, members: &[Member]) -> usize {
    let mut data_centres: Vec<DataCentre> =
        members.iter().map(|it| it.data_centre.clone()).collect();
    data_centres.sort();
    data_centres.dedup();
    let homes_of = |it| homes(group, limits, it, members).map(|it| it.len());
    let counts: Option<Vec<usize>> = data_centres.iter().map(homes_of).collect();
    counts.map_or(members.len(), |it| it.iter().sum())
}

pub(crate) fn weight(group: &GroupName, id: &InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{group}/{id}").as_bytes())
}
