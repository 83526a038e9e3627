//! What a coordinator decided.

gullspar_model::value! {
    /// Whether a data centre's instances stay in rotation.
    pub enum Decision {
        /// The coordinator does not know enough, or is not entitled to decide.
        Undecided,
        Stay,
        Leave,
    }
}

impl Decision {
    /// The word for log lines.
    pub fn text(self) -> &'static str {
        match self {
            Decision::Undecided => "undecided",
            Decision::Stay => "stay",
            Decision::Leave => "leave",
        }
    }
}
