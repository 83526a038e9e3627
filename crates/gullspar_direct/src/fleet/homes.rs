//! Selects the instances that hold connections to a group's targets: the group's homes.
//!
//! In a small fleet every instance opens connections itself. When an instance's share of a target's
//! connections would be less than two, only the homes connect, and the other instances forward
//! sessions to them.

use gullspar_model::{DataCentre, GroupName, InstanceId};

use crate::targets::admission_limit;
use crate::{Member, Members};

/// The smallest share of a target's connections with which every instance opens its own: one for
/// statements and one for a transaction.
const MIN_SHARE: usize = 2;

/// Number of spare homes, which are ranked after the homes and replace those that can't be reached.
const SPARE_HOMES: usize = 2;

/// Minimum number of connections to a target that a home should hold.
const MIN_CONNECTIONS_PER_HOME: usize = 5;

/// The limits of each target of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allowance {
    /// Connections from all instances together.
    pub(crate) connections: u32,
    /// Statements that a target runs at the same time.
    pub(crate) slots: u32,
}

/// Number of homes of a group in each data centre; `None` if every instance opens its own
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

/// The homes of one group, as seen from one data centre.
#[derive(Clone, Debug)]
pub(crate) struct Homes {
    /// The homes in this data centre, best first, followed by spare homes.
    pub(crate) ranked: Vec<Member>,
    /// How many of `ranked` are homes.
    pub(crate) count: usize,
    /// Number of instances that hold connections to each of the group's targets.
    pub(crate) holders: usize,
}

/// The homes of `group` for instances in `own`; `None` if every instance opens its own connections.
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

/// The homes of `group` in all data centres; all members if every instance opens its own
/// connections.
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

/// Distance of an instance from a group by rendezvous hashing, weighted by the square of its
/// processor strength.
///
/// The nearest instances become homes. A home serves the group's sessions of a whole data centre,
/// so strong machines are preferred, while the hash spreads the groups among them.
fn distance(group: &GroupName, member: &Member) -> u64 {
    let uniform = (weight(group.as_str(), &member.id) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let strength = f64::from(member.strength.max(1));
    // The bits of positive floats have the same order as their values.
    (-uniform.ln() / (strength * strength)).to_bits()
}

/// Rendezvous hash of instance `id` for the key `name`.
pub(crate) fn weight(name: &str, id: &InstanceId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed)
}
