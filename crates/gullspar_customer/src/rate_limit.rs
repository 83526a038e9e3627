//! How many operations a customer may have run.

gullspar_model::value! {
    /// A rate over all instances together, and what may come at once beyond it.
    pub struct RateLimit {
        /// Thousandths of an operation a second.
        pub thousandths_per_s: u64,
        /// Operations.
        pub burst: u64,
    }
}

impl RateLimit {
    /// Operations a second.
    pub fn per_s(self) -> f64 {
        self.thousandths_per_s as f64 / 1000.0
    }
}
