//! Request counts by outcome.

use gullspar_model::record;

record! {
    /// Number of requests of one service and class since the instance started, by outcome.
    pub struct OutcomeCount {
        pub service: String,
        pub class: String,
        /// Share of requests that must be answered in time, in parts per million.
        pub objective_ppm: u64,
        pub done: u64,
        pub late: u64,
        pub not_run: u64,
        pub unknown: u64,
        pub replica_reads: u64,
        pub primary_reads: u64,
        pub writes: u64,
    }
}

impl OutcomeCount {
    /// Creates a count of zero requests.
    pub fn empty(service: &str, class: &str) -> OutcomeCount {
        OutcomeCount {
            service: service.to_owned(),
            class: class.to_owned(),
            objective_ppm: 0,
            done: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            replica_reads: 0,
            primary_reads: 0,
            writes: 0,
        }
    }
}
