//! The transaction status of a session.

gullspar_model::record! {
    /// Whether a transaction is open on a session.
    #[derive(Copy)]
    pub enum TransactionStatus {
        Idle,
        Open,
        /// The transaction failed; only commit and rollback are accepted, and both roll it back.
        Failed,
    }
}
