//! What a lab consists of, read from a file of JSON with comments.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use gullspar_model::{
    CallerClass, CallerName, DataCentre, GroupName, InstanceId, MemberName, ServiceName, record,
};
use gullspar_settings::{Findings, JsoncFile};

record! {
    /// An instance of the lab.
    #[serde(deny_unknown_fields)]
    pub struct LabInstanceSettings {
        pub id: InstanceId,
        pub data_centre: DataCentre,
    }
}

record! {
    /// A member of a stand-in group.
    #[serde(deny_unknown_fields)]
    pub struct LabMember {
        pub name: MemberName,
        pub data_centre: DataCentre,
    }
}

record! {
    /// An account, its class and its password.
    #[serde(deny_unknown_fields)]
    pub struct LabCaller {
        pub class: String,
        pub password: String,
    }
}

record! {
    /// A service and the stand-in group behind it.
    #[serde(deny_unknown_fields)]
    pub struct LabService {
        pub service: ServiceName,
        pub group: GroupName,
        pub members: Vec<LabMember>,
        pub slots: u32,
        pub connections: u32,
        pub classes: BTreeMap<String, CallerClass>,
        pub callers: BTreeMap<CallerName, LabCaller>,
    }
}

/// A whole lab.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabSettings {
    /// Microseconds one way between two data centres.
    pub one_way_us: u64,
    /// Milliseconds that replicas stay behind.
    pub lag_ms: u64,
    /// Milliseconds that a promotion takes.
    pub promotion_ms: u64,
    /// Milliseconds that a new connection to a target costs.
    pub connection_cost_ms: u64,
    /// Microseconds that a statement holds a slot.
    pub statement_us: u64,
    /// Statements that make the schema of every group.
    pub schema: Vec<String>,
    pub instances: Vec<LabInstanceSettings>,
    pub services: Vec<LabService>,
}

impl LabSettings {
    const OPTIONS: [&'static str; 8] = [
        "one_way_us",
        "lag_ms",
        "promotion_ms",
        "connection_cost_ms",
        "statement_us",
        "schema",
        "instances",
        "services",
    ];

    /// Reads `text`, which stands in the file `file`.
    pub fn parse(file: &str, text: &str) -> Result<LabSettings, Findings> {
        let mut file = JsoncFile::parse(file, text)?;
        let one_way_us = file.required("one_way_us");
        let lag_ms = file.required("lag_ms");
        let promotion_ms = file.required("promotion_ms");
        let connection_cost_ms = file.required("connection_cost_ms");
        let statement_us = file.required("statement_us");
        let schema = file.required("schema");
        let instances = file.required("instances");
        let services = file.required("services");
        let settings = (|| {
            Some(LabSettings {
                one_way_us: one_way_us?,
                lag_ms: lag_ms?,
                promotion_ms: promotion_ms?,
                connection_cost_ms: connection_cost_ms?,
                statement_us: statement_us?,
                schema: schema?,
                instances: instances?,
                services: services?,
            })
        })();
        file.finish(&LabSettings::OPTIONS, settings)
    }

    /// The schema with the table that requests with a key need.
    pub(crate) fn full_schema(&self) -> String {
        let requests = "CREATE TABLE IF NOT EXISTS gullspar_requests (\
             request_key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, answer TEXT)";
        let mut statements: Vec<&str> = self.schema.iter().map(String::as_str).collect();
        statements.push(requests);
        statements.join(";\n")
    }
}

/// Salts a password for a caller's entry in the configuration.
pub fn verifier(password: &str, caller: &CallerName) -> String {
    /// Rounds of hashing; few, so that labs start fast.
    const ITERATIONS: u16 = 4096;
    let mut salt = format!("gullspar {caller}").into_bytes();
    salt.resize(16, 0);
    let rounds = NonZeroU32::from(NonZeroU32::MIN.saturating_add(u32::from(ITERATIONS) - 1));
    let hash = scram::hash_password(password, rounds, &salt);
    let hex = |bytes: &[u8]| -> String { bytes.iter().map(|it| format!("{it:02x}")).collect() };
    format!("{ITERATIONS}:{}:{}", hex(&salt), hex(&hash))
}
