//! Consistency, deadline and priority of a class of callers, as configured by operators.

crate::record! {
    /// How current the data in a caller's reads must be.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Consistency {
        /// A read sees all earlier writes of the caller itself.
        ReadYourWrites,
        /// A read may return data up to this many milliseconds old.
        MaxAgeMs(u64),
        /// A read may return data of any age.
        AnyAge,
    }
}

crate::record! {
    /// A class of callers within a service.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct CallerClass {
        pub consistency: Consistency,
        /// Time within which a request must be answered, in milliseconds.
        pub deadline_ms: u64,
        /// 0 is the highest priority; under overload, requests with the highest number are rejected first.
        pub priority: u8,
        /// Share of requests that must be answered in time, in parts per million.
        #[serde(default = "default_objective_ppm")]
        pub objective_ppm: u64,
    }
}

/// 99.9 %, in parts per million.
fn default_objective_ppm() -> u64 {
    999_000
}

impl CallerClass {
    /// The largest value of `priority`, which is the lowest priority.
    pub const LOWEST_PRIORITY: u8 = 3;
}
