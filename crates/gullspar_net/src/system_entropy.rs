//! The system's source of randomness.

use gullspar_border::Entropy;

/// Uses the thread's random number generator, which is seeded by the operating system.
pub struct SystemEntropy;

impl Entropy for SystemEntropy {
    fn next_u64(&self) -> u64 {
        rand::random()
    }
}
