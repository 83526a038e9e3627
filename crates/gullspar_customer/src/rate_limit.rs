//! Rate limit of a customer.

gullspar_model::value! {
    /// The rate of operations that a customer may run, over all instances together, and the permitted burst.
    pub struct RateLimit {
        /// Sustained rate, in thousandths of an operation per second.
        pub thousandths_per_s: u64,
        /// Operations that may run at once in excess of the rate.
        pub burst: u64,
    }
}

impl RateLimit {
    /// The rate in operations per second.
    pub fn per_s(self) -> f64 {
        self.thousandths_per_s as f64 / 1000.0
    }
}
