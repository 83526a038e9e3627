//! How a primary looks from one instance.

use gullspar_model::record;

record! {
    /// How an instance sees a group's primary.
    #[derive(Copy)]
    pub enum PrimaryView {
        /// It answered lately.
        Answers,
        /// It has not answered for long enough to count as failed.
        Failed,
        /// This instance does not observe that group, or observes another term.
        NoView,
    }
}
