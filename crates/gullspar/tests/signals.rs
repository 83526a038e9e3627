//! Signals that an instance receives while it serves.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// How long signals are sent, and the time between two of them. It is shorter than the time in which one is handled.
const SERIES_PERIOD: Duration = Duration::from_secs(1);
const SIGNAL_INTERVAL: Duration = Duration::from_micros(30);

const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// A process of the program that is killed with this value.
struct Instance {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Starts an instance that finds neither a store nor other instances, and waits until it runs.
    fn start(test: &str, octet: u8) -> Instance {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let (settings, log) = (folder.join("settings.jsonc"), folder.join("log"));
        std::fs::write(&settings, content(octet, 3).to_string()).unwrap();
        let output = std::fs::File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_gullspar"))
            .arg("serve")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        let instance = Instance { child, settings, log };
        instance.wait_for_log("G0807");
        instance
    }

    fn wait_for_log(&self, event: &str) {
        let deadline = Instant::now() + LOG_TIMEOUT;
        while !std::fs::read_to_string(&self.log).unwrap().contains(event) {
            assert!(Instant::now() < deadline, "no {event} in the log");
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn signal(&self, signal: Signal) {
        signal::kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

fn content(octet: u8, grace_s: u32) -> Value {
    let address = |port: u16| SocketAddr::from((own_address(octet), port));
    json!({
        "id": "instance-0", "data_centre": "dc-1", "grace_s": grace_s, "seeds": [],
        "caller_address": address(7441), "health_address": address(7442),
        "metrics_address": address(7443), "peer_address": address(7440),
        "store_address": address(9), "promotion_address": address(9),
    })
}

/// A loopback address that no other test and no concurrent run uses.
fn own_address(octet: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, octet)
}

/// Guards against a process that is ended by a SIGHUP which arrives while an earlier one is handled, and against changes of the
/// settings that are noticed no more after a series of signals.
#[test]
fn a_series_of_hangups_does_not_end_an_instance() {
    let mut instance = Instance::start("hangups", 254);
    let end = Instant::now() + SERIES_PERIOD;
    while Instant::now() < end {
        instance.signal(Signal::SIGHUP);
        let next = Instant::now() + SIGNAL_INTERVAL;
        while Instant::now() < next {
            std::hint::spin_loop();
        }
    }
    assert_eq!(instance.child.try_wait().unwrap(), None);
    std::fs::write(&instance.settings, content(254, 4).to_string()).unwrap();
    instance.signal(Signal::SIGHUP);
    instance.wait_for_log("G0812");
}

/// Guards against a shutdown that cuts off requests because the signal that began it is repeated.
#[test]
fn a_repeated_termination_signal_does_not_cut_off_a_shutdown() {
    let mut instance = Instance::start("terminations", 253);
    for _ in 0..3 {
        instance.signal(Signal::SIGTERM);
        thread::sleep(Duration::from_millis(200));
        assert_eq!(instance.child.try_wait().unwrap(), None);
    }
    assert!(instance.child.wait().unwrap().success());
}
