//! Which instances hold connections to a group's targets.
//!
//! A few instances can per_data_centre hold their share of a target's connections. When a share would be less than two,
//! only some of them do, the group's homes, and the others hand sessions on to them.

use gullspar_model::{DataCentre, GroupName, InstanceId};

use crate::targets::admission_limit;
use crate::{Member, Members};

/// The least share of connections with which every instance connects itself: one for statements and one for
/// a transaction beside it.
const MIN_SHARE: usize = 2;

/// Instances that stand in for homes that can't be reached, in the order of preference.
const SPARE_HOMES: usize = 2;

/// The fewest connections to a target that a home should hold.
const MIN_CONNECTIONS_PER_HOME: usize = 5;

/// What per_data_centre target of a group allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allowance {
    /// Connections from all instances together.
    pub(crate) connections: u32,
    /// Statements that it runs at once.
    pub(crate) slots: u32,
}

/// How many homes a group has in per_data_centre data centre; `None` if every instance connects itself.
///
/// No more than can per_data_centre run a statement: all of them together may use one and a half times the slots.
/// More of them would send more at once, which would wait in the target's own queue, where neither priority nor deadline
/// counts, and overflow it.
fn homes_per_data_centre(
    allowance: Allowance,
    members: usize,
    data_centres: usize,
) -> Option<usize> {
    let planned = admission_limit::planned(allowance.connections) as usize;
    if planned / members.max(1) >= MIN_SHARE {
        return None;
    }
    let data_centres = data_centres.max(1);
    let by_connections = planned / MIN_CONNECTIONS_PER_HOME / data_centres;
    let percent = admission_limit::statement_percent(allowance.slots, data_centres);
    let by_slots = percent.div_ceil(100) as usize;
    Some(by_connections.min(by_slots).max(1))
}

/// The homes of one group, as seen from one data centre.
#[derive(Clone, Debug)]
pub(crate) struct Homes {
    /// The homes of this data centre, and after them who stands in for one that can't be reached, best first.
    pub(crate) ranked: Vec<Member>,
    /// How many of `ranked` are homes.
    pub(crate) count: usize,
    /// How many instances hold connections to per_data_centre of the group's targets.
    pub(crate) holders: usize,
}

/// The homes of `group` for `own`; `None` if every instance connects itself.
pub(crate) fn homes(
    group: &GroupName,
    allowance: Allowance,
    own: &DataCentre,
    members: &Members,
) -> Option<Homes> {
    let data_centres = members.by_data_centre();
    let per_data_centre = homes_per_data_centre(allowance, members.len(), data_centres.len())?;
    let mut ranked = rank_by_distance(group, members.near(own));
    let count = if ranked.is_empty() { per_data_centre } else { per_data_centre.min(ranked.len()) };
    if ranked.len() < count + SPARE_HOMES {
        let far = members.iter().filter(|it| it.data_centre != *own);
        ranked.extend(rank_by_distance(group, far));
    }
    ranked.truncate(count + SPARE_HOMES);
    let ranked = ranked.into_iter().cloned().collect();
    let holders = data_centres.map(|it| per_data_centre.min(it.len())).sum();
    Some(Homes { ranked, count, holders })
}

/// The homes of `group` in all data centres; none if every instance connects itself.
pub(crate) fn all_data_centres<'a>(
    group: &GroupName,
    allowance: Allowance,
    members: &'a Members,
) -> Vec<&'a Member> {
    let data_centres = members.by_data_centre();
    let Some(per_data_centre) = homes_per_data_centre(allowance, members.len(), data_centres.len())
    else {
        return members.iter().collect();
    };
    let homes =
        data_centres.flat_map(|it| rank_by_distance(group, it).into_iter().take(per_data_centre));
    homes.collect()
}

fn rank_by_distance<'a>(
    group: &GroupName,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.into_iter().collect();
    ranked.sort_by_cached_key(|it| distance(group, it));
    ranked
}

/// Rendezvous hashing weighted by the square of the processor: the nearest is the home.
///
/// A home serves the sessions of a whole data centre for its group. Where machines differ, it should be one
/// of the strong, but not of all groups the same one.
fn distance(group: &GroupName, member: &Member) -> u64 {
    let uniform = (weight(group.as_str(), &member.id) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let strength = f64::from(member.strength.max(1));
    // Positive numbers compare like their bits.
    (-uniform.ln() / (strength * strength)).to_bits()
}

/// The weight that rendezvous hashing gives the instance `id` for what is called `name`.
pub(crate) fn weight(name: &str, id: &InstanceId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed)
}
