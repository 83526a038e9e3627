//! The randomness of the machine.

use gullspar_border::Entropy;

/// Draws from the thread's generator, which the operating system seeds.
pub struct SystemEntropy;

impl Entropy for SystemEntropy {
    fn next_u64(&self) -> u64 {
        rand::random()
    }
}
