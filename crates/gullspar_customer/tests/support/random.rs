//! Deterministic random numbers from a seed.

use super::S;

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Time until the next event of a Poisson process with the rate `per_s`.
    pub fn time_to_next(&mut self, per_s: f64) -> u64 {
        (-(1.0 - self.uniform()).ln() / per_s * S as f64) as u64
    }

    pub fn between(&mut self, (min, max): (u64, u64)) -> u64 {
        min + (self.uniform() * (max - min) as f64) as u64
    }

    /// An index, with a probability proportional to its weight.
    pub fn choose(&mut self, weights: &[f64]) -> usize {
        let mut at = self.uniform() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            at -= weight;
            if at < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }
}
