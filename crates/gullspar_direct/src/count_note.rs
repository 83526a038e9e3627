//! How many instances there are, as instances tell each other.

use gullspar_model::record;

record! {
    /// A count of the instances that were heard, and how old it is.
    ///
    /// An instance that starts behind a cut has heard only those on its side and would take them for all: it called
    /// itself ready, and its callers waited for leaders until their time was over, seen as 290 of 310 callers of
    /// a data centre within two seconds. A neighbour that was there before the cut knows better. The age goes
    /// with the count, so that passing it on makes it no younger.
    #[derive(Copy)]
    pub struct CountNote {
        pub instances: u32,
        pub age_ms: u64,
    }
}
