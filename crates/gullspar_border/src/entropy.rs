//! The source of randomness of an instance.

use std::time::Duration;

/// A source of random numbers; tests use a seeded one.
pub trait Entropy {
    /// Returns the next 64 random bits.
    fn next_u64(&self) -> u64;
}

/// Returns a random duration between half of `base` and one and a half times `base`.
///
/// With equal waiting times, all instances that saw the same failure would act at the same moment.
pub fn jittered(entropy: &dyn Entropy, base: Duration) -> Duration {
    let millis = base.as_millis() as u64;
    let spread = entropy.next_u64() % (millis + 1);
    Duration::from_millis(millis / 2 + spread)
}
