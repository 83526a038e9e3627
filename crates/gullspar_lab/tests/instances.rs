//! Instances that die, leave and move, and what their callers see of it.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::{Duration, Instant};

use gullspar_instance::InstanceTiming;
use gullspar_lab::{RequestOutcome, Workload};
use support::{LabUnderTest, assert_sound, run, writers};

/// Symptom: a shutdown cuts off requests in flight.
/// Events: callers write without pause; each instance in turn is shut down in good order and started
/// again.
#[test]
fn a_graceful_shutdown_cuts_off_no_request() {
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
    assert_sound(&lab, &history);
    assert_eq!(history.count(RequestOutcome::Unknown), 0);
}

/// Symptom: half a transaction stays, or its locks do, after an instance dies in the middle of it.
/// Events: a caller opens a transaction and writes; the instance that serves it dies; others write.
#[test]
fn a_transaction_dies_with_its_instance_and_blocks_nobody() {
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

/// Symptom: writes stop after the instance that holds the primary's connections has died.
/// Events: callers write at all instances; they are killed one after the other and started again.
#[test]
fn killed_instances_lose_nothing_and_their_targets_find_another_home() {
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
    assert_sound(&lab, &history);
    let gap = history.longest_gap(to - Duration::from_secs(9), to);
    assert!(gap < Duration::from_secs(3), "writes stood still for {gap:?}");
    for (target, counts) in &lab.lab.counts {
        let peak = counts.peak_connections.load(std::sync::atomic::Ordering::Relaxed);
        assert!(peak <= 30, "{target} had {peak} connections");
    }
}

/// Symptom: a cancel request stops another caller's statement.
/// Events: one caller's statement is slow; a cancel request with its number but a wrong secret, and
/// one of another caller's, arrive at other instances.
#[test]
fn a_cancel_request_needs_its_own_callers_secret() {
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

/// Symptom: two callers' answers are mixed on shared connections.
/// Events: many callers read different rows at the same time through few connections, by pooled
/// lanes, while transactions are opened and given up.
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

/// Symptom: instances remember every one that ever ran, and go on calling those that left.
/// Events: an instance shuts down in good order, another is killed; time passes.
#[test]
fn the_dead_are_forgotten() {
    let mut timing = InstanceTiming::default();
    timing.fleet.forget_dead_after = Duration::from_millis(500);
    let mut lab = LabUnderTest::with_timing(timing, |_| {});
    lab.lab.instances[3].shut_down();
    lab.lab.instances[2].kill();
    let address = lab.lab.instances[0].addresses.operator;
    let known = || {
        run(async {
            let client = cyper::Client::new().unwrap();
            let request = client.get(format!("http://{address}/v1/status")).unwrap();
            let text = request.send().await.unwrap().text().await.unwrap();
            let status: serde_json::Value = serde_json::from_str(&text).unwrap();
            status["instances"].as_array().unwrap().len()
        })
    };
    lab.wait_for("fleet of two", || known() == 2);
    // What the others still tell of them must not bring them back.
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(known(), 2);
}
