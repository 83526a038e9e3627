//! Definitions of prepared statements.

use arcstr::ArcStr;
use gullspar_model::Access;

gullspar_model::record! {
    /// A prepared statement without its name.
    ///
    /// Callers use the same names for different statements, so on shared connections a prepared statement is
    /// identified by its definition.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Definition {
        pub access: Access,
        pub shape: ArcStr,
    }
}
