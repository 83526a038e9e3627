//! Where a session stands.

gullspar_model::record! {
    /// Whether a transaction is open on a session.
    #[derive(Copy)]
    pub enum TransactionStatus {
        Idle,
        Open,
        /// The transaction failed; only its end is accepted, and rolls it back.
        Failed,
    }
}
