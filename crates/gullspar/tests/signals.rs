//! Signals that an instance receives while it serves.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::sys::stat::Mode;
use nix::unistd::{self, Pid};
use serde_json::{Value, json};
use test_case::test_case;

/// How long signals are sent, and the time between two of them. It is shorter than the time in which one is handled.
const SERIES_PERIOD: Duration = Duration::from_secs(1);
const SIGNAL_INTERVAL: Duration = Duration::from_micros(30);

/// Number of pairs of signals, and the steps by which the time between the two grows from none to 3 ms.
const PAIRS: u32 = 301;
const PAIR_STEP: Duration = Duration::from_micros(10);

const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// The signals that an operator sends to an instance.
const OPERATOR_SIGNALS: [Signal; 3] = [Signal::SIGHUP, Signal::SIGINT, Signal::SIGTERM];

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
        let instance = Instance::start_blocked("serve", test);
        instance.read_settings(&content(octet, 3));
        instance.wait_for_log("G0807");
        instance
    }

    /// Starts an instance that waits for its settings, and waits until it receives all signals of its operator.
    fn start_blocked(command: &str, test: &str) -> Instance {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let (settings, log) = (folder.join("settings.jsonc"), folder.join("log"));
        let _ = std::fs::remove_file(&settings);
        unistd::mkfifo(&settings, Mode::S_IRWXU).unwrap();
        let output = std::fs::File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_gullspar"))
            .arg(command)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        let instance = Instance { child, settings, log };
        let deadline = Instant::now() + LOG_TIMEOUT;
        while !OPERATOR_SIGNALS.iter().all(|it| instance.handles(*it)) {
            assert!(Instant::now() < deadline, "not all signals are handled at the start");
            thread::sleep(Duration::from_millis(1));
        }
        instance
    }

    /// Whether the process has a handler for `signal`.
    fn handles(&self, signal: Signal) -> bool {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap();
        let mask = status.lines().find_map(|it| it.strip_prefix("SigCgt:")).unwrap();
        let mask = u64::from_str_radix(mask.trim(), 16).unwrap();
        mask & 1 << (signal as i32 - 1) != 0
    }

    /// Gives the instance the settings that it waits for. Later readings find them in a file.
    fn read_settings(&self, content: &Value) {
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&self.settings).unwrap();
        self.replace_settings(content);
        pipe.write_all(content.to_string().as_bytes()).unwrap();
    }

    /// Replaces the settings by a pipe that nobody writes to.
    fn replace_settings_by_pipe(&self) {
        let replacement = self.settings.with_extension("new");
        let _ = std::fs::remove_file(&replacement);
        unistd::mkfifo(&replacement, Mode::S_IRWXU).unwrap();
        std::fs::rename(&replacement, &self.settings).unwrap();
    }

    /// How long the instance takes to answer whether it is ready.
    fn readiness_duration(&self, octet: u8) -> Duration {
        let asked_at = Instant::now();
        let mut stream = TcpStream::connect((own_address(octet), 7442)).unwrap();
        stream.set_read_timeout(Some(LOG_TIMEOUT)).unwrap();
        stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        stream.read_exact(&mut [0]).unwrap();
        asked_at.elapsed()
    }

    fn replace_settings(&self, content: &Value) {
        let replacement = self.settings.with_extension("new");
        std::fs::write(&replacement, content.to_string()).unwrap();
        std::fs::rename(&replacement, &self.settings).unwrap();
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

/// The settings of the command `serve`.
fn content(octet: u8, grace_s: u32) -> Value {
    let address = |port: u16| SocketAddr::from((own_address(octet), port));
    json!({
        "id": "instance-0", "data_centre": "dc-1", "grace_s": grace_s, "seeds": [],
        "caller_address": address(7441), "health_address": address(7442),
        "metrics_address": address(7443), "peer_address": address(7440),
        "store_address": address(9), "promotion_address": address(9),
    })
}

/// The settings of the command `run`.
fn lane_content(octet: u8, drain_s: u32) -> Value {
    let address = |port: u16| SocketAddr::from((own_address(octet), port));
    json!({
        "id": "instance-0", "data_centre": "dc-1", "drain_ms": drain_s * 1000,
        "caller_address": address(7441), "peer_address": address(7440),
        "lane_address": address(7442), "operator_address": address(7443),
        "platform_address": address(9), "lane_secret": "0123456789abcdef0123456789abcdef",
        "token_secret": "fedcba9876543210fedcba9876543210",
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
    instance.replace_settings(&content(254, 4));
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

/// Guards against a process that is ended by a signal which arrives while it starts, or between two that it handles, and against
/// changes of the settings that are noticed no more afterwards.
#[test_case("serve", 252, &content; "serve")]
#[test_case("run", 251, &lane_content; "run")]
fn pairs_of_hangups_from_the_start_on_do_not_end_an_instance(
    command: &str,
    octet: u8,
    content: &dyn Fn(u8, u32) -> Value,
) {
    let mut instance = Instance::start_blocked(command, &format!("hangup-pairs-{command}"));
    for pair in 0..PAIRS {
        if pair == PAIRS / 3 {
            instance.read_settings(&content(octet, 3));
        }
        instance.signal(Signal::SIGHUP);
        thread::sleep(PAIR_STEP * pair);
        instance.signal(Signal::SIGHUP);
        thread::sleep(PAIR_STEP * (PAIRS - pair));
    }
    assert_eq!(instance.child.try_wait().unwrap(), None);
    instance.replace_settings(&content(octet, 4));
    instance.signal(Signal::SIGHUP);
    instance.wait_for_log("G0812");
}

/// Guards against a signal that ends an instance at once, or is lost, because it arrives before the settings have been read.
#[test_case("serve", Signal::SIGTERM, 250, &content; "serve, terminated")]
#[test_case("serve", Signal::SIGINT, 249, &content; "serve, interrupted")]
#[test_case("run", Signal::SIGTERM, 248, &lane_content; "run, terminated")]
fn an_instance_that_is_terminated_while_it_starts_ends_in_order(
    command: &str,
    signal: Signal,
    octet: u8,
    content: &dyn Fn(u8, u32) -> Value,
) {
    let folder = format!("start-{command}-{signal}");
    let mut instance = Instance::start_blocked(command, &folder);
    instance.signal(signal);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(instance.child.try_wait().unwrap(), None);
    instance.read_settings(&content(octet, 1));
    assert!(instance.child.wait().unwrap().success());
}

/// Guards against an instance that serves nobody while its settings can't be read, and against settings that are not read again
/// once they can be.
#[test]
fn a_reload_that_hangs_stops_no_request() {
    let instance = Instance::start("hanging-reload", 247);
    instance.replace_settings_by_pipe();
    instance.signal(Signal::SIGHUP);
    thread::sleep(Duration::from_millis(50));
    let duration = instance.readiness_duration(247);
    assert!(duration < Duration::from_millis(500), "answered after {duration:?}");
    instance.replace_settings(&content(247, 4));
    instance.signal(Signal::SIGHUP);
    instance.wait_for_log("G0812");
}

/// Guards against an error that is reported for settings which are just being written.
#[test]
fn settings_that_are_being_written_are_no_error() {
    let instance = Instance::start("half-written", 246);
    let text = content(246, 4).to_string();
    let mut file = std::fs::File::create(&instance.settings).unwrap();
    file.write_all(&text.as_bytes()[..text.len() / 2]).unwrap();
    instance.signal(Signal::SIGHUP);
    thread::sleep(Duration::from_millis(100));
    file.write_all(&text.as_bytes()[text.len() / 2..]).unwrap();
    instance.wait_for_log("G0812");
    assert!(!std::fs::read_to_string(&instance.log).unwrap().contains("G0813"));
}
