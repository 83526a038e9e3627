//! Shutdown, death and restart of instances, as seen by callers.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use gullspar_instance::InstanceTiming;
use gullspar_lab::{RequestOutcome, Workload};
use socket2::{Domain, Socket, Type};
use support::{LabUnderTest, assert_consistent, run, writers};

/// Guards against a graceful shutdown that aborts requests in flight.
#[test]
fn a_graceful_shutdown_aborts_no_request() {
    let mut lab = LabUnderTest::small();
    let load = Workload::start(writers(&lab));
    std::thread::sleep(Duration::from_millis(300));
    for index in 0..lab.lab.instances.len() {
        lab.lab.instances[index].shut_down();
        std::thread::sleep(Duration::from_millis(200));
        lab.lab.instances[index].restart();
        std::thread::sleep(Duration::from_millis(700));
    }
    let history = load.stop();
    assert_consistent(&lab, &history);
    assert_eq!(history.count(RequestOutcome::Unknown), 0);
}

/// Guards against an instance that can't start again because its port was given to another connection while it was stopped.
#[test]
fn addresses_of_a_stopped_instance_are_given_to_no_other() {
    let mut lab = LabUnderTest::small();
    lab.lab.instances[0].kill();
    let addresses = lab.lab.instances[0].addresses.clone();
    for address in [addresses.caller, addresses.operator, addresses.peer, addresses.lane] {
        let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let bound = other.bind(&address.into());
        assert_eq!(bound.unwrap_err().kind(), ErrorKind::AddrInUse, "{address}");
    }
    lab.lab.instances[0].restart();
    run(async {
        lab.connect(0, "strict").await;
    });
}

/// When an instance dies during a transaction, neither its writes nor its locks may remain.
#[test]
fn a_transaction_of_a_killed_instance_is_rolled_back() {
    let mut lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(1, "strict").await;
        client.query("BEGIN").await.unwrap();
        client.query("INSERT INTO ledger VALUES ('half')").await.unwrap();
        lab.lab.instances[1].kill();
        let mut other = lab.connect(0, "strict").await;
        let started = Instant::now();
        let written = other.query("INSERT INTO ledger VALUES ('whole')").await.unwrap();
        assert_eq!(written.outcome(), RequestOutcome::Done);
        assert!(started.elapsed() < Duration::from_secs(3));
        assert_eq!(lab.ledger().await, ["whole"]);
    });
}

/// After an instance is killed, the targets whose connections it held must soon get another home, within
/// their connection limits and without lost writes.
#[test]
fn targets_of_killed_instances_get_another_home() {
    let mut lab = LabUnderTest::small();
    let load = Workload::start(writers(&lab));
    for index in 0..lab.lab.instances.len() {
        std::thread::sleep(Duration::from_millis(700));
        lab.lab.instances[index].kill();
        std::thread::sleep(Duration::from_millis(1500));
        lab.lab.instances[index].restart();
    }
    std::thread::sleep(Duration::from_millis(1500));
    let to = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    let history = load.stop();
    assert_consistent(&lab, &history);
    let gap = history.longest_gap(to - Duration::from_secs(9), to);
    assert!(gap < Duration::from_secs(3), "no write was done for {gap:?}");
    for (target, counts) in &lab.lab.counts {
        let peak = counts.peak_connections.load(std::sync::atomic::Ordering::Relaxed);
        assert!(peak <= 30, "{target} had {peak} connections");
    }
}

/// A cancel request with a wrong process or secret must not stop a caller's statement.
#[test]
fn a_cancel_request_needs_the_secret_of_its_session() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        let (process, secret) = client.cancel_key;
        for (index, key) in [(process, secret ^ 1), (process ^ 1, secret)].into_iter().enumerate() {
            let address = lab.caller_address(index);
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut stream, &gullspar_wire::cancel_request(key)).unwrap();
        }
        let written = client.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        assert_eq!(written.outcome(), RequestOutcome::Done);
    });
}

/// Guards against mixed-up answers when many callers share few connections to a target.
#[test]
fn each_caller_gets_the_answer_to_its_own_request() {
    let lab = LabUnderTest::with(|settings| settings.services[0].connections = 8);
    run(async {
        let callers = (0..24).map(|number| {
            let lab = &lab;
            async move {
                let mut client = lab.connect(number % 4, "any").await;
                for turn in 0..30 {
                    let wanted = format!("caller {number} turn {turn}");
                    if turn % 7 == 0 {
                        client.query("BEGIN").await.unwrap();
                    }
                    let answer = client.query(&format!("SELECT '{wanted}' AS w")).await.unwrap();
                    if turn % 7 == 0 {
                        client.query("ROLLBACK").await.unwrap();
                    }
                    if answer.error.is_none() {
                        assert_eq!(answer.rows, [[Some(wanted)]]);
                    }
                }
            }
        });
        futures::future::join_all(callers).await;
    });
}

/// Instances that left or died must be removed from the member table and stay removed.
#[test]
fn dead_and_left_instances_are_removed() {
    let mut timing = InstanceTiming::default();
    timing.fleet.forget_dead_after = Duration::from_millis(500);
    let mut lab = LabUnderTest::with_timing(timing, |_| {});
    lab.lab.instances[3].shut_down();
    lab.lab.instances[2].kill();
    let address = lab.lab.instances[0].addresses.operator;
    let instance_count = || {
        run(async {
            let client = cyper::Client::new().unwrap();
            let request = client.get(format!("http://{address}/v1/status")).unwrap();
            let text = request.send().await.unwrap().text().await.unwrap();
            let status: serde_json::Value = serde_json::from_str(&text).unwrap();
            status["instances"].as_array().unwrap().len()
        })
    };
    lab.wait_for("fleet of two", || instance_count() == 2);
    // Gossip that still names them must not add them again.
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(instance_count(), 2);
}
