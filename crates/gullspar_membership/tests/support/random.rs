//! Seeded random numbers.

/// A generator whose numbers follow from its seed (splitmix64).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Whether an event with a probability of `permille` per thousand happens.
    pub fn happens(&mut self, permille: u64) -> bool {
        self.below(1000) < permille
    }
}
