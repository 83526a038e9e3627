//! A small lab and callers of it, for tests.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gullspar_instance::InstanceTiming;
use gullspar_lab::{Client, History, Lab, LabSettings, RequestOutcome, WorkloadSettings};

/// How long anything in a test may take before the test is called failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// How long the stand-ins may take to notice a fault.
pub const FAULT_SETTLES: Duration = Duration::from_millis(50);

/// A running lab with one service, `tours`, in front of one group, `core`.
pub struct LabUnderTest {
    pub lab: Lab,
}

impl LabUnderTest {
    /// The lab of `resources/small.jsonc`, once its group is led.
    pub fn small() -> LabUnderTest {
        LabUnderTest::with(|_| {})
    }

    /// The same with changed settings.
    pub fn with(change: impl FnOnce(&mut LabSettings)) -> LabUnderTest {
        LabUnderTest::with_timing(InstanceTiming::default(), change)
    }

    /// The same at another pace.
    pub fn with_timing(
        timing: InstanceTiming,
        change: impl FnOnce(&mut LabSettings),
    ) -> LabUnderTest {
        let text = include_str!("../../resources/small.jsonc");
        let mut settings = LabSettings::parse("small.jsonc", text).unwrap();
        change(&mut settings);
        let lab = LabUnderTest { lab: Lab::start_with(settings, timing).unwrap() };
        lab.wait_for("a primary with its replicas", || lab.lab.has_all_primaries());
        lab
    }

    /// Waits until `ready`, or fails naming `what`.
    pub fn wait_for(&self, what: &str, mut ready: impl FnMut() -> bool) {
        let deadline = Instant::now() + PATIENCE;
        while !ready() {
            assert!(Instant::now() < deadline, "there was no {what} in time");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Where instance `index` takes callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.lab.instances[index].addresses.caller
    }

    /// Where all instances take callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.lab.instances.iter().map(|it| it.addresses.caller).collect()
    }

    /// A caller connected to instance `index`, once that one knows the service.
    pub async fn connect(&self, index: usize, user: &str) -> Client {
        let address = self.caller_address(index);
        let deadline = Instant::now() + PATIENCE;
        loop {
            match Client::connect(address, user, "tours", None).await {
                Ok(client) => return client,
                Err(err) if Instant::now() >= deadline => panic!("no connection: {err}"),
                Err(_) => compio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// What the ledger holds, read as a strict caller.
    pub async fn ledger(&self) -> Vec<String> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            for index in 0..self.lab.instances.len() {
                if !self.lab.instances[index].is_running() {
                    continue;
                }
                let mut client = self.connect(index, "strict").await;
                let answer = client.query("SELECT id FROM ledger").await;
                if let Ok(answer) = answer
                    && answer.error.is_none()
                {
                    return answer.rows.into_iter().flatten().flatten().collect();
                }
            }
            assert!(Instant::now() < deadline, "the ledger could not be read in time");
        }
    }

    /// The term that the group is led in.
    pub fn term(&self) -> u64 {
        let object = self.lab.store.get("gullspar/groups/core").unwrap();
        object.value["term"].as_u64().unwrap()
    }

    /// Statements that a target has run.
    pub fn statements(&self, target: &str) -> u64 {
        self.lab.counts[target].statements.load(Ordering::Relaxed)
    }

    /// The group's primary, as `group/member`.
    pub fn primary(&self) -> String {
        format!("core/{}", self.lab.primary("core").unwrap())
    }
}

/// Callers that write at all instances of a lab.
pub fn writers(lab: &LabUnderTest) -> WorkloadSettings {
    WorkloadSettings {
        addresses: lab.caller_addresses(),
        service: "tours".to_owned(),
        user: "strict".to_owned(),
        callers: 6,
        pause: Duration::from_millis(5),
        read_back: false,
        carry_token: false,
        keyed: false,
        prefix: String::new(),
    }
}

/// Checks what callers were told against the ledger, and that the run did something.
pub fn assert_sound(lab: &LabUnderTest, history: &History) {
    let violations = history.check(&run(lab.ledger()));
    assert!(violations.is_empty(), "{violations:?}");
    assert!(history.count(RequestOutcome::Done) > 20, "too little ran: {}", history.writes.len());
}

/// Runs a future on a runtime of its own.
pub fn run<T>(fut: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(fut)
}
