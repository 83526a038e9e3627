//! The state of a primary as one instance observes it.

use gullspar_model::record;

record! {
    /// How an instance observes a group's primary.
    #[derive(Copy)]
    pub enum PrimaryView {
        /// It has answered recently.
        Answers,
        /// It has been silent for long enough to count as failed.
        Failed,
        /// This instance does not observe that group, or observes another term.
        NoView,
    }
}
