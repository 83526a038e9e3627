//! Read and write access of statements.

crate::value! {
    /// Whether a statement only reads or may also write.
    ///
    /// A statement that can't be classified counts as a write, see `docs/design/sessions.md`.
    pub enum Access {
        Read,
        Write,
    }
}
