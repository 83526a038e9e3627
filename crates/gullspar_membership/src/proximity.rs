//! Near and far instances.

gullspar_model::value! {
    /// Where another instance is, seen from this one.
    pub enum Proximity {
        /// In the same data centre.
        Near,
        /// In another data centre.
        Far,
    }
}
