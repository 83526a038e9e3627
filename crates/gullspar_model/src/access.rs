//! Whether a statement only reads.

crate::value! {
    /// What a statement may do to its target.
    ///
    /// Whatever is not understood counts as a write, see `docs/design/sessions.md`.
    pub enum Access {
        Read,
        Write,
    }
}
