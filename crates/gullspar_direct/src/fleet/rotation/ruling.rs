//! By what an instance currently decides whether it is in rotation.

use super::RotationVerdict;

/// What applies to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// There is no reason to leave rotation.
    NotNeeded,
    /// A verdict is expected soon; until then nothing changes.
    Awaited,
    /// There is no valid verdict: the instance decides by what it sees itself.
    Alone,
    Verdict(Box<RotationVerdict>),
}
