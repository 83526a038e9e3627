//! What a session has set and prepared.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use gullspar_statement::Definition;

/// The state of one caller's session that its statements depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionValues {
    pub values: BTreeMap<ArcStr, ArcStr>,
    pub prepared: BTreeMap<ArcStr, Definition>,
}
