//! A small lab and its callers, for tests.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gullspar_instance::InstanceTiming;
use gullspar_lab::{Client, History, Lab, LabSettings, RequestOutcome, WorkloadSettings};

/// How long a test waits for any condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which an injected fault has taken effect.
pub const FAULT_DELAY: Duration = Duration::from_millis(50);

/// A running lab with one service, `tours`, in front of one group, `core`.
pub struct LabUnderTest {
    pub lab: Lab,
}

impl LabUnderTest {
    /// Starts the lab of `resources/small.jsonc` and waits until its group has a primary.
    pub fn small() -> LabUnderTest {
        LabUnderTest::with(|_| {})
    }

    /// Like `small`, with changed settings.
    pub fn with(change: impl FnOnce(&mut LabSettings)) -> LabUnderTest {
        LabUnderTest::with_timing(InstanceTiming::default(), change)
    }

    /// Like `with`, with the given timing.
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

    /// Waits until `ready` returns true; fails with a message that names `what` after the timeout.
    pub fn wait_for(&self, what: &str, mut ready: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !ready() {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The caller address of instance `index`.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.lab.instances[index].addresses.caller
    }

    /// The caller addresses of all instances.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.lab.instances.iter().map(|it| it.addresses.caller).collect()
    }

    /// Connects a caller to instance `index`; retries until that instance knows the service.
    pub async fn connect(&self, index: usize, user: &str) -> Client {
        let address = self.caller_address(index);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match Client::connect(address, user, "tours", None).await {
                Ok(client) => return client,
                Err(err) if Instant::now() >= deadline => panic!("could not connect: {err}"),
                Err(_) => compio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// The ids in the ledger, read by a strict caller.
    pub async fn ledger(&self) -> Vec<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
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

    /// The current term of the group according to the platform.
    pub fn term(&self) -> u64 {
        let object = self.lab.store.get("gullspar/groups/core").unwrap();
        object.value["term"].as_u64().unwrap()
    }

    /// The number of statements that a target has run.
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

/// Checks the recorded outcomes against the ledger, and that enough writes were done.
pub fn assert_consistent(lab: &LabUnderTest, history: &History) {
    let violations = history.check(&run(lab.ledger()));
    assert!(violations.is_empty(), "{violations:?}");
    assert!(
        history.count(RequestOutcome::Done) > 20,
        "too few writes done: {} attempted",
        history.writes.len()
    );
}

/// Runs a future on a new runtime.
pub fn run<T>(fut: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(fut)
}
