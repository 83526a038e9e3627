//! The two reference deployments, as labs.

use std::time::{Duration, Instant};

use gullspar_lab::{Lab, LabSettings};

/// A deployment with its lab file.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    text: &'static str,
}

impl Deployment {
    /// Midshire Open Doors.
    pub const MIDSHIRE: Deployment =
        Deployment { name: "midshire", text: include_str!("../../../labs/midshire.jsonc") };

    /// Kahurangi Hose & Fitting.
    pub const KAHURANGI: Deployment =
        Deployment { name: "kahurangi", text: include_str!("../../../labs/kahurangi.jsonc") };

    /// The settings of the lab, with a table `ledger` for writes added to the tables of the deployment.
    ///
    /// # Panics
    /// Panics if the lab file is invalid, which a test of the lab rules out.
    pub fn settings(&self) -> LabSettings {
        #[allow(clippy::expect_used)]
        let mut settings = LabSettings::parse(self.name, self.text).expect("valid lab file");
        settings.schema.push("CREATE TABLE ledger (id TEXT NOT NULL)".to_owned());
        settings
    }

    /// Starts a lab and waits until every group has a primary, and then for another 500 ms.
    ///
    /// # Panics
    /// Panics if the lab cannot start or a group has no primary after 20 s.
    pub fn start(settings: LabSettings) -> Lab {
        #[allow(clippy::expect_used)]
        let lab = Lab::start(settings).expect("loopback addresses are free");
        let deadline = Instant::now() + Duration::from_secs(20);
        while !lab.has_all_primaries() {
            assert!(Instant::now() < deadline, "not every group has a primary after 20 s");
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(500));
        lab
    }
}
