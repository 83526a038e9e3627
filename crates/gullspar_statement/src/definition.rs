//! What a prepared statement does.

use arcstr::ArcStr;
use gullspar_model::Access;

gullspar_model::record! {
    /// A prepared statement without its name.
    ///
    /// Callers give the same names to different statements, so on shared connections it is known by
    /// what it does.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Definition {
        pub access: Access,
        pub shape: ArcStr,
    }
}
