//! Rendezvous hashing: a ranking of instances for a key that all who know the same instances share.

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
