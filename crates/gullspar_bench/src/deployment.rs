//! The two deployments of the brief as labs.

use std::time::{Duration, Instant};

use gullspar_lab::{Lab, LabSettings};

/// A deployment and its lab file.
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

    /// The lab's settings, with a ledger for writes beside the deployment's own tables.
    ///
    /// # Panics
    /// Panics when the file is unsound, which a test of the lab checks.
    pub fn settings(&self) -> LabSettings {
        #[allow(clippy::expect_used)]
        let mut settings = LabSettings::parse(self.name, self.text).expect("a sound lab file");
        settings.schema.push("CREATE TABLE ledger (id TEXT NOT NULL)".to_owned());
        settings
    }

    /// Starts a lab and waits until every group is led and attached.
    ///
    /// # Panics
    /// Panics when that does not come about in time: there is nothing to measure then.
    pub fn start(settings: LabSettings) -> Lab {
        #[allow(clippy::expect_used)]
        let lab = Lab::start(settings).expect("loopback addresses are free");
        let deadline = Instant::now() + Duration::from_secs(20);
        while !lab.has_all_primaries() {
            assert!(Instant::now() < deadline, "no primaries in time");
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(500));
        lab
    }
}
