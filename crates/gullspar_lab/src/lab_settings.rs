//! The settings of a lab, read from a file of JSON with comments.

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
    /// A member of a simulated group.
    #[serde(deny_unknown_fields)]
    pub struct LabMember {
        pub name: MemberName,
        pub data_centre: DataCentre,
    }
}

record! {
    /// A caller's class and password.
    #[serde(deny_unknown_fields)]
    pub struct LabCaller {
        pub class: String,
        pub password: String,
    }
}

record! {
    /// A service and the simulated group that serves it.
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

/// The settings of a whole lab.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabSettings {
    /// One-way delay between two data centres, in microseconds.
    pub one_way_us: u64,
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
    /// Duration of a promotion in milliseconds.
    pub promotion_ms: u64,
    /// Time to set up a connection to a target, in milliseconds.
    pub connection_cost_ms: u64,
    /// Time for which a statement occupies a slot, in microseconds.
    pub statement_us: u64,
    /// Statements that create the schema of every group.
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

    /// Parses `text`, the content of the file `file`; errors name that file.
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

    /// The schema, extended by the table that stores the outcomes of requests with a key.
    pub(crate) fn full_schema(&self) -> String {
        let requests = "CREATE TABLE IF NOT EXISTS gullspar_requests (\
             request_key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, answer TEXT)";
        let mut statements: Vec<&str> = self.schema.iter().map(String::as_str).collect();
        statements.push(requests);
        statements.join(";\n")
    }
}

/// The SCRAM verifier of a password, as a caller's entry in the configuration holds it.
pub fn verifier(password: &str, caller: &CallerName) -> String {
    /// Low, so that labs start fast.
    const ITERATIONS: u16 = 4096;
    let mut salt = format!("gullspar {caller}").into_bytes();
    salt.resize(16, 0);
    let rounds = NonZeroU32::from(NonZeroU32::MIN.saturating_add(u32::from(ITERATIONS) - 1));
    let hash = scram::hash_password(password, rounds, &salt);
    let hex = |bytes: &[u8]| -> String { bytes.iter().map(|it| format!("{it:02x}")).collect() };
    format!("{ITERATIONS}:{}:{}", hex(&salt), hex(&hash))
}
