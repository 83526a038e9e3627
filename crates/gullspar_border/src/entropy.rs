//! Randomness, as instances see it.

use std::time::Duration;

/// A source of random numbers; a test gives a seeded one.
pub trait Entropy {
    /// The next 64 random bits.
    fn next_u64(&self) -> u64;
}

/// A random time between half of `base` and one and a half times `base`.
///
/// Equal waiting times would make all instances that saw the same failure act at the same moment.
pub fn jittered(entropy: &dyn Entropy, base: Duration) -> Duration {
    let millis = base.as_millis() as u64;
    let spread = entropy.next_u64() % (millis + 1);
    Duration::from_millis(millis / 2 + spread)
}
