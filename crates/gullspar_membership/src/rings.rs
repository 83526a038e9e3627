//! Selection of each instance's contacts.
//!
//! Instances are arranged on a few rings, each in a different order, and are contacts of their
//! neighbours. Instances with the same member list compute the same rings, so contacts are mutual.
//! The number of contacts does not grow with the fleet, and updates reach all instances in a few
//! steps.

use std::collections::BTreeSet;

use gullspar_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;
use crate::member;
use crate::timing::{FAR_RINGS, MAX_FULL_MESH_PEERS, NEAR_RINGS};

/// Keeps the seeds of far rings distinct from those of near rings.
const FAR_SEED: u64 = 1 << 32;

/// The contacts of `own` among `others`.
pub(crate) fn contacts(own: &Member, others: &[&Member]) -> BTreeSet<InstanceId> {
    if others.len() <= MAX_FULL_MESH_PEERS {
        return others.iter().map(|it| it.id.clone()).collect();
    }
    let mut all = others.to_vec();
    all.push(own);
    let near: Vec<&Member> =
        all.iter().copied().filter(|it| it.data_centre == own.data_centre).collect();
    let near_rings = (0..NEAR_RINGS).map(|seed| order_by_hash(&near, seed));
    let far_rings = (0..FAR_RINGS).map(|seed| interleave_data_centres(&all, FAR_SEED + seed));
    near_rings.chain(far_rings).flat_map(|it| neighbours(&it, own)).collect()
}

fn order_by_hash<'a>(members: &[&'a Member], seed: u64) -> Vec<&'a Member> {
    let mut ring = members.to_vec();
    ring.sort_by_cached_key(|it| {
        let member: &'a Member = it;
        (hash(member.id.as_str(), seed), &member.id)
    });
    ring
}

/// All members in ring order. Members of each data centre are spread evenly over the ring, so that
/// most neighbours are in different data centres.
fn interleave_data_centres<'a>(members: &[&'a Member], seed: u64) -> Vec<&'a Member> {
    let mut ring: Vec<(u64, &Member)> = Vec::with_capacity(members.len());
    for (data_centre, near) in member::by_data_centre(members.iter().copied()) {
        let gap = u64::MAX / near.len() as u64;
        let offset = hash(data_centre.as_str(), seed) % gap;
        let ordered = order_by_hash(&near, seed).into_iter().enumerate();
        ring.extend(ordered.map(|(at, it)| (offset + at as u64 * gap, it)));
    }
    ring.sort_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
    ring.into_iter().map(|it| it.1).collect()
}

fn neighbours(ring: &[&Member], own: &Member) -> Vec<InstanceId> {
    let Some(at) = ring.iter().position(|it| it.id == own.id) else { return Vec::new() };
    let count = ring.len();
    let adjacent = [(at + 1) % count, (at + count - 1) % count];
    adjacent.into_iter().map(|it| ring[it].id.clone()).filter(|it| *it != own.id).collect()
}

fn hash(text: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), seed)
}
