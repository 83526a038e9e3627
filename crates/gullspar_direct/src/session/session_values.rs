//! A session's values and prepared statements.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use gullspar_model::record;
use gullspar_statement::Definition;

record! {
    /// The state of a caller's session that its statements depend on.
    #[derive(Default)]
    pub struct SessionValues {
        pub values: BTreeMap<ArcStr, ArcStr>,
        pub prepared: BTreeMap<ArcStr, Definition>,
    }
}
