//! JSON bodies of the platform's HTTP API.

use gullspar_model::record;

record! {
    /// An object in the platform's representation.
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
    /// A conditional update of the version `expected`; 0 creates the object.
    pub struct PutBody {
        pub expected: u64,
        pub value: serde_json::Value,
    }
}

record! {
    /// The answer to an update: the new version, or the current one with status 409 (conflict).
    pub struct PutReply {
        pub version: u64,
    }
}

record! {
    /// An entry in the list of instances.
    pub struct StoredInstance {
        pub id: String,
        pub peer: std::net::SocketAddr,
        pub leaving: bool,
    }
}

record! {
    /// The answer to a request for the instances.
    pub struct InstanceList {
        pub instances: Vec<StoredInstance>,
    }
}
