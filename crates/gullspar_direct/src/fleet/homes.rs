//! Selects the instances that hold connections to a group's targets: the group's homes.
//!
//! In a small fleet every instance opens connections itself. When an instance's share of a target's
//! connections would be less than two, only the homes connect, and the other instances forward
//! sessions to them.

use gullspar_model::{DataCentre, GroupName};

use crate::fleet::home_placement::{HomeInputs, HomePlacement};
use crate::{Member, Members};

/// Number of spare homes, which are ranked after the homes and replace those that can't be reached.
const SPARE_HOMES: usize = 2;

/// The homes of one group, as seen from one data centre.
#[derive(Clone, Debug)]
pub struct Homes {
    /// The homes in this data centre, best first, followed by spare homes.
    pub ranked: Vec<Member>,
    /// How many of `ranked` are homes.
    pub count: usize,
    /// Number of instances that hold connections to each of the group's targets.
    pub holders: usize,
}

/// The homes of `group` for instances in `own`; `None` if every instance opens its own connections.
pub fn homes(
    group: &GroupName,
    inputs: &HomeInputs,
    own: &DataCentre,
    members: &Members,
) -> Option<Homes> {
    let placement = HomePlacement::new(group, inputs, members)?;
    let near_count = if placement.includes(own) { placement.per_data_centre } else { 0 };
    let near = nearest(group, members.near(own), near_count + SPARE_HOMES);
    let (near, spares) = near.split_at(near_count.min(near.len()));
    let far = placement.data_centres.iter().filter(|it| **it != own);
    let far: Vec<&Member> =
        far.flat_map(|it| nearest(group, members.near(it), placement.per_data_centre)).collect();
    let holders = near.len() + far.len();
    let count = if near.is_empty() { far.len() } else { near.len() };
    let is_everywhere = placement.data_centres.len() == members.data_centres().len();
    // A spare home has no connections to the group's targets, but saves the way to another data centre.
    let ranked = if is_everywhere { [near, spares, &far] } else { [near, &far, spares] };
    let ranked = ranked.concat().into_iter().take(count + SPARE_HOMES).cloned().collect();
    Some(Homes { ranked, count, holders })
}

/// The homes of `group` in all data centres; all members if every instance opens its own
/// connections.
pub fn all_data_centres<'a>(
    group: &GroupName,
    inputs: &HomeInputs,
    members: &'a Members,
) -> Vec<&'a Member> {
    let Some(placement) = HomePlacement::new(group, inputs, members) else {
        return members.iter().collect();
    };
    let near = |it| nearest(group, members.near(it), placement.per_data_centre);
    placement.data_centres.iter().copied().flat_map(near).collect()
}

/// Whether `own` is a home of `group`.
///
/// The same as looking it up among [`homes`], but most instances know after a few comparisons that they are none.
pub fn is_home(group: &GroupName, inputs: &HomeInputs, own: &Member, members: &Members) -> bool {
    let Some(placement) = HomePlacement::new(group, inputs, members) else { return true };
    if !placement.includes(&own.data_centre) {
        return false;
    }
    let seed = name_hash(group.as_str());
    let own_rank = (distance(seed, own), &own.id);
    let nearer = members.near(&own.data_centre).iter();
    let nearer = nearer.filter(|it| (distance(seed, it), &it.id) < own_rank);
    nearer.take(placement.per_data_centre).count() < placement.per_data_centre
}

/// The `count` members nearest to `group`, nearest first.
fn nearest<'a>(group: &GroupName, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let seed = name_hash(group.as_str());
    let mut ranked: Vec<(u64, &Member)> =
        members.iter().map(|it| (distance(seed, it), it)).collect();
    let rank = |it: &(u64, &'a Member)| (it.0, &it.1.id);
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| rank(a).cmp(&rank(b)));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| rank(a).cmp(&rank(b)));
    ranked.into_iter().map(|it| it.1).collect()
}

/// Distance of an instance from the group with the hash `seed`, by rendezvous hashing, weighted by the square of its
/// processor strength.
///
/// The nearest instances become homes. A home serves the group's sessions of a whole data centre,
/// so strong machines are preferred, while the hash spreads the groups among them.
fn distance(seed: u64, member: &Member) -> u64 {
    let uniform = (hash_with(seed, member.id.as_str()) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let strength = f64::from(member.strength.max(1));
    // The bits of positive floats have the same order as their values.
    (-uniform.ln() / (strength * strength)).to_bits()
}

/// Rendezvous hash of `candidate` for the key `name`.
pub(crate) fn weight(name: &str, candidate: &str) -> u64 {
    hash_with(name_hash(name), candidate)
}

fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn hash_with(seed: u64, candidate: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}
