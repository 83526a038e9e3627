//! What a caller asks for.

use arcstr::ArcStr;
use gullspar_model::{RequestId, record};

use crate::Definition;

record! {
    /// What a statement does, as far as routing is concerned.
    pub enum Action {
        Begin { read_only: bool },
        Commit,
        RollBack,
        Read,
        Write,
        /// Sets a value of the session.
        Set { name: ArcStr, value: ArcStr },
        Prepare { name: ArcStr, definition: Definition },
        /// Runs what was prepared under `name`; `arguments` are what follows the name.
        Execute { name: ArcStr, arguments: ArcStr },
        /// Forgets what was prepared under `name`.
        Deallocate { name: ArcStr },
    }
}

record! {
    /// One statement of a caller; targets get `text` as it came.
    pub struct Statement {
        pub id: RequestId,
        pub text: ArcStr,
        pub action: Action,
    }
}
