//! The platform's HTTP bodies.

use gullspar_model::record;

record! {
    /// An object as the platform writes it.
    pub struct WireObject {
        pub key: String,
        pub version: u64,
        pub value: serde_json::Value,
    }
}

record! {
    /// The answer to a watch.
    pub struct ObjectList {
        pub revision: u64,
        pub objects: Vec<WireObject>,
    }
}

record! {
    /// A conditional update: `expected` 0 creates.
    pub struct PutBody {
        pub expected: u64,
        pub value: serde_json::Value,
    }
}

record! {
    /// The answer to an update: the new version, or with status 409 the present one.
    pub struct PutReply {
        pub version: u64,
    }
}

record! {
    /// One entry of the list of instances.
    pub struct StoredInstance {
        pub id: String,
        pub peer: std::net::SocketAddr,
        pub leaving: bool,
    }
}

record! {
    /// The list of instances.
    pub struct InstanceList {
        pub instances: Vec<StoredInstance>,
    }
}
