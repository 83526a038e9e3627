//! Random numbers from a seed.

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number of a log-normal distribution with the given mean, at most `max`.
    pub fn log_normal(&mut self, mean: f64, spread: f64, max: f64) -> f64 {
        let radius = (-2.0 * self.unit().max(1e-12).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(max)
    }
}
