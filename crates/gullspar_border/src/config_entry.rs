//! Configuration objects exchanged between instances.

use gullspar_model::record;

use crate::ObjectVersion;

record! {
    /// A configuration object as instances send it to each other.
    pub struct ConfigEntry {
        pub key: String,
        pub version: ObjectVersion,
        /// The object as JSON text.
        pub value: String,
    }
}
