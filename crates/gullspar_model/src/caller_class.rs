//! How fresh, how soon and how important: what operators state for each kind of caller.

crate::record! {
    /// What a caller of this class may see in a read.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Consistency {
        /// Every read sees the caller's own earlier writes.
        ReadYourWrites,
        /// A read may be as old as this many milliseconds.
        MaxAgeMs(u64),
        /// Any replica will do.
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
        /// 0 is the strictest; under overload the highest number is shed first.
        pub priority: u8,
        /// Share of requests that must be answered in time, in parts per million.
        #[serde(default = "default_objective_ppm")]
        pub objective_ppm: u64,
    }
}

/// 99.9 %.
fn default_objective_ppm() -> u64 {
    999_000
}

impl CallerClass {
    /// Lower bound of the priority value that may be shed first.
    pub const LOWEST_PRIORITY: u8 = 3;
}
