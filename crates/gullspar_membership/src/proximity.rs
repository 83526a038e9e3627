//! Distinction between near and far instances.

gullspar_model::value! {
    /// Location of another instance relative to this one.
    pub enum Proximity {
        /// In the same data centre.
        Near,
        /// In another data centre.
        Far,
    }
}
