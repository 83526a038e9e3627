//! Configuration between instances.

use gullspar_model::record;

use crate::ObjectVersion;

record! {
    /// A configuration object on its way between instances.
    pub struct ConfigEntry {
        pub key: String,
        pub version: ObjectVersion,
        pub value: String,
    }
}
