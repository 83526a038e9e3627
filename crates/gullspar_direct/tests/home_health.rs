//! Finding unresponsive homes, with simulated time and without a network.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gullspar_direct::{HomeEvent, HomeHealth, UnansweredKey};
use gullspar_model::InstanceId;
use test_case::test_case;

/// Time from sending a statement within which a silent home must be found.
const MAX_DETECTION_MS: u64 = 300;

/// Maximum number of probes to one home in any 100 ms.
const MAX_PROBES_PER_100_MS: usize = 4;

const SESSIONS: usize = 1000;

/// Simulated time, one home, and what was sent to it.
struct Simulation {
    health: HomeHealth,
    home: InstanceId,
    start: Instant,
    now_ms: u64,
    /// Time that a probe and its answer take.
    round_trip_ms: u64,
    /// Answers of probes on their way, by their time of arrival.
    arriving: Vec<(u64, u64)>,
    probes: Vec<u64>,
    verdicts: Vec<u64>,
    verdict_ended: bool,
}

impl Simulation {
    /// A home that has answered a probe and some statements, each after `answer_ms`.
    fn new(answer_ms: u64) -> Simulation {
        let mut simulation = Simulation {
            health: HomeHealth::default(),
            home: InstanceId::new("home"),
            start: Instant::now(),
            now_ms: 0,
            round_trip_ms: 2,
            arriving: Vec::new(),
            probes: Vec::new(),
            verdicts: Vec::new(),
            verdict_ended: false,
        };
        for _ in 0..20 {
            let key = simulation.send();
            simulation.run(answer_ms, |_| true);
            simulation.answer(key);
        }
        simulation.probes.clear();
        simulation
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn send(&mut self) -> UnansweredKey {
        let now = self.now();
        self.health.sent(&self.home, SocketAddr::from(([10, 0, 0, 1], 1)), now)
    }

    fn answer(&mut self, key: UnansweredKey) {
        let now = self.now();
        self.health.answered(&self.home, key, now);
    }

    fn is_unresponsive(&self) -> bool {
        self.health.is_unresponsive(&self.home, self.now())
    }

    /// Lets `ms` milliseconds pass. `is_answered` tells whether the home answers the probe of this number, counted from 0.
    fn run(&mut self, ms: u64, is_answered: impl Fn(usize) -> bool) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.receive();
            if self.health.next_poll().is_some_and(|it| it <= self.now()) {
                self.poll(&is_answered);
            }
        }
    }

    fn receive(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        for (_, number) in self.arriving.extract_if(.., |it| it.0 <= now_ms) {
            self.health.probe_answered(number, now);
        }
    }

    fn poll(&mut self, is_answered: impl Fn(usize) -> bool) {
        for event in self.health.poll(self.now()) {
            match event {
                HomeEvent::SendProbe { number, .. } => {
                    if is_answered(self.probes.len()) {
                        self.arriving.push((self.now_ms + self.round_trip_ms, number));
                    }
                    self.probes.push(self.now_ms);
                }
                HomeEvent::Unresponsive { .. } => self.verdicts.push(self.now_ms),
                HomeEvent::VerdictEnded { .. } => self.verdict_ended = true,
            }
        }
    }

    /// The most probes in any 100 ms.
    fn most_probes_per_100_ms(&self) -> usize {
        let within =
            |from: u64| self.probes.iter().filter(|it| (from..from + 100).contains(*it)).count();
        self.probes.iter().map(|it| within(*it)).max().unwrap_or(0)
    }
}

/// Guards against sessions that wait for the TCP timeout of a home that went silent, and against probes for each session.
#[test_case(5; "statements usually take 5 ms")]
#[test_case(60; "statements usually take 60 ms")]
#[test_case(400; "statements usually take 400 ms")]
fn a_silent_home_is_found_in_time_with_few_probes(answer_ms: u64) {
    let mut simulation = Simulation::new(answer_ms);
    let sent_at = simulation.now_ms;
    for _ in 0..SESSIONS {
        simulation.send();
    }
    simulation.run(MAX_DETECTION_MS, |_| false);
    assert_eq!(simulation.verdicts.len(), 1, "{:?}", simulation.probes);
    println!(
        "detected after {} ms with {} probes",
        simulation.verdicts[0] - sent_at,
        simulation.probes.len()
    );
    assert!(
        simulation.most_probes_per_100_ms() <= MAX_PROBES_PER_100_MS,
        "{:?}",
        simulation.probes
    );
}

/// Guards against disturbing long statements at a home that is only busy.
#[test]
fn a_busy_home_that_answers_probes_stays_responsive() {
    let mut simulation = Simulation::new(5);
    let keys: Vec<UnansweredKey> = (0..SESSIONS).map(|_| simulation.send()).collect();
    simulation.run(1000, |_| true);
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
    let probes = simulation.probes.len();
    println!("{probes} probes in a second");
    assert!((5..=15).contains(&probes), "{probes} probes");
    keys.into_iter().for_each(|it| simulation.answer(it));
    simulation.run(1000, |_| true);
    assert_eq!(simulation.probes.len(), probes, "nothing is unanswered, so nothing is probed");
}

/// Guards against probes that cost processor time although the home answers other sessions all the time.
#[test]
fn a_home_that_answers_other_sessions_is_not_probed() {
    let mut simulation = Simulation::new(5);
    simulation.send();
    for _ in 0..100 {
        let other = simulation.send();
        simulation.run(10, |_| false);
        simulation.answer(other);
    }
    assert_eq!((simulation.probes.len(), simulation.verdicts.len()), (0, 0));
}

/// Guards against taking lost datagrams for a silent home.
#[test_case(2; "every second probe is lost")]
#[test_case(4; "three of four probes are lost")]
fn lost_probes_do_not_make_a_home_unresponsive(one_answered_in: usize) {
    let mut simulation = Simulation::new(5);
    simulation.send();
    simulation.run(20_000, |probe| probe % one_answered_in == 0);
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
}

/// Guards against a verdict about a home whose statements are answered while all datagrams are lost.
#[test]
fn answers_of_statements_are_signs_of_life() {
    let mut simulation = Simulation::new(5);
    for _ in 0..20 {
        let key = simulation.send();
        simulation.run(200, |_| false);
        simulation.answer(key);
    }
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
}

/// Guards against avoiding a home for long after it is back.
#[test]
fn a_home_that_comes_back_is_responsive_at_once() {
    let mut simulation = Simulation::new(5);
    simulation.send();
    simulation.run(MAX_DETECTION_MS + 2000, |_| false);
    assert!(simulation.is_unresponsive());
    simulation.run(300, |_| true);
    assert!(!simulation.is_unresponsive(), "one of the probes in a verdict is answered");

    simulation.run(MAX_DETECTION_MS, |_| false);
    assert!(simulation.is_unresponsive(), "it is silent again");
    let now = simulation.now();
    assert!(
        simulation.health.heard(&InstanceId::new("home"), now),
        "a heartbeat lifts the verdict"
    );
    assert!(!simulation.is_unresponsive());
}

/// Guards against a home that is never tried again, and against endless probes of an instance that is gone.
#[test]
fn a_verdict_ends_without_a_sign_of_life() {
    let mut simulation = Simulation::new(5);
    let key = simulation.send();
    simulation.run(MAX_DETECTION_MS, |_| false);
    simulation.health.withdraw(&InstanceId::new("home"), key);
    simulation.run(11_000, |_| false);
    assert!(simulation.verdict_ended && !simulation.is_unresponsive());
    assert_eq!(simulation.health.next_poll(), None);
}

/// Guards against an instance that was paused and takes all homes for silent, because their answers are not read yet.
#[test_case(60, 2; "paused for 60 ms")]
#[test_case(150, 40; "paused for 150 ms, with much to read")]
#[test_case(5000, 40; "paused for 5 s, with much to read")]
fn a_pause_of_this_instance_is_no_silence_of_homes(pause_ms: u64, reading_ms: u64) {
    // The pause begins at any time before the home would become unresponsive.
    for paused_after_ms in (0..220).step_by(10) {
        let mut simulation = Simulation::new(5);
        simulation.send();
        simulation.run(paused_after_ms, |_| false);
        simulation.now_ms += pause_ms;
        simulation.round_trip_ms = reading_ms;
        simulation.run(1000, |_| true);
        assert!(simulation.verdicts.is_empty(), "paused {paused_after_ms} ms after the statement");
    }
}

/// Guards against an instance with a small share of a core that finds no silent home, because it is late with each poll.
#[test]
fn an_instance_that_is_often_late_still_finds_a_silent_home() {
    let mut simulation = Simulation::new(5);
    simulation.send();
    for _ in 0..5 {
        // It runs for 9 ms of every 100 ms.
        simulation.now_ms += 91;
        simulation.run(9, |_| false);
    }
    assert_eq!(simulation.verdicts.len(), 1);
}

/// Guards against a verdict that is based on three lost probes, because an instance with a small share of a core sends few.
#[test]
fn an_instance_that_is_often_late_tolerates_lost_probes() {
    let mut simulation = Simulation::new(5);
    simulation.send();
    for _ in 0..50 {
        simulation.now_ms += 91;
        simulation.run(9, |probe| probe % 4 == 3);
    }
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
}

/// Guards against a verdict about an instance of an older build, which drops probes.
#[test]
fn a_home_that_never_answered_a_probe_is_not_judged() {
    let mut simulation = Simulation::new(5);
    simulation.health.connection_lost(&InstanceId::new("home"));
    simulation.send();
    simulation.run(5000, |_| false);
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
    assert!(simulation.probes.len() <= 21, "{} probes", simulation.probes.len());
}
