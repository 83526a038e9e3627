//! Rendezvous hashing: a ranking of instances for a key that all who know the same instances share.

use gullspar_model::{DataCentre, InstanceRecord};

/// The weight of `id` for `key`; the highest wins.
///
/// The hash must be the same in all versions of the program that run side by side, so it is a named
/// one and not the standard library's.
pub fn weight(key: &str, id: &str) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_bytes());
    hasher.digest()
}

/// Instances in the order in which they would hold a key.
pub struct RankedInstances;

impl RankedInstances {
    /// Ranks `instances` for `key`: those in `data_centre` first, by weight.
    ///
    /// Instances elsewhere come last, so that a target whose data centre lost all its instances is
    /// still served, over the longer way.
    pub fn rank(
        key: &str,
        data_centre: &DataCentre,
        instances: impl Iterator<Item = InstanceRecord>,
    ) -> Vec<InstanceRecord> {
        let mut ranked: Vec<InstanceRecord> = instances.collect();
        ranked.sort_by_cached_key(|it| {
            let near = &it.data_centre == data_centre;
            std::cmp::Reverse((near, weight(key, it.id.as_str())))
        });
        ranked
    }
}
