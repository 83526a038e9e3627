//! Rendezvous hashing: ranks instances for a key, equally on all instances with the same member table.

/// The weight of `id` for `key`, by which instances are ranked.
///
/// The hash must be the same in all program versions that run at the same time. The standard library does not guarantee
/// that for its own.
pub fn weight(key: &str, id: &str) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_bytes());
    hasher.digest()
}
