//! Forwarded sessions whose home falls silent: its connections stay open, but nothing arrives any more.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_customer::{Customers, KeyFingerprint, RateLimit};
use gullspar_direct::{
    Catalogue, HomeProbe, HomeProbeAnswer, PeerMessage, RelayMessage, RestoredSession,
    SessionValues, serve_caller,
};
use gullspar_model::CustomerName;
use gullspar_statement::{Answer, FailureCode, TransactionStatus};
use support::{
    CONNECTIONS, FakeCaller, Fault, HomeFleet, INSTANCES, LATEST, OWN_WRITES, STATEMENT_TIMEOUT_MS,
    pause, run, wait_until,
};
use test_case::test_case;

/// Time from a statement to the final answer if its home is silent, in milliseconds: detection, and opening the session
/// elsewhere.
const RECOVERY_MS: u64 = 600;

/// Time within which an opening that meets a silent home is answered, in milliseconds.
const OPENING_MS: u64 = 300;

/// The answer, which must arrive within `ms` milliseconds.
async fn answer_within(caller: &FakeCaller, ms: u64) -> Answer {
    let answer = compio::time::timeout(Duration::from_millis(ms), caller.next()).await;
    answer.expect("an answer in time").expect("the session is open")
}

fn code(answer: &Answer) -> FailureCode {
    answer.result.clone().unwrap_err().code
}

fn rows(answer: &Answer) -> Vec<&str> {
    assert!(answer.result.is_ok(), "{:?}", answer.result);
    answer.rows.iter().map(|it| it.as_str()).collect()
}

/// Guards against reads that wait for the TCP timeout of their home, and against answers in the wrong order.
#[test]
fn reads_in_flight_are_answered_by_another_home() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("WRITE a one").await;
        caller.execute_ok("WRITE b two").await;
        fleet.world.network.silence(home);
        let sent_at = Instant::now();
        caller.send_statement("READ a");
        caller.send_statement("READ b");
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["one"]);
        println!("answered by another home after {:?}", sent_at.elapsed());
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["two"]);
        assert_eq!(
            fleet.serving().len(),
            2,
            "the first home does not know yet that the session moved"
        );
        caller.execute_ok("WRITE a three").await;
    });
}

/// Guards against a write that is repeated, or reported as not run, although the silent home may run it.
#[test_case(&["WRITE slot mine"], 20; "while it runs")]
#[test_case(&["WRITE slot mine"], 0; "before it arrives")]
#[test_case(&["READ slot", "WRITE slot mine"], 0; "behind a read")]
#[test_case(&["PREPARE put WRITE slot", "EXECUTE put mine"], 0; "prepared without waiting")]
#[test_case(&["BEGIN", "WRITE slot mine", "COMMIT"], 0; "in a transaction sent at once")]
fn a_write_in_flight_ends_unknown_and_runs_once(in_flight: &[&str], silent_after_ms: u64) {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        fleet.world.group.statement_duration_ms.set(100);
        in_flight.iter().for_each(|it| caller.send_statement(it));
        if silent_after_ms > 0 {
            pause(silent_after_ms).await;
        }
        fleet.world.network.silence(home);
        assert_eq!(code(&answer_within(&caller, RECOVERY_MS).await), FailureCode::Unknown);
        assert_eq!(caller.next().await, None, "the session ends");
        fleet.world.network.heal();
        // What the home had not read yet arrives late, as over TCP.
        pause(400).await;
        assert_eq!(fleet.world.group.execution_count("WRITE slot mine"), 1);
    });
}

/// Guards against a transaction that continues at another home without its first statements, and against one that commits
/// at its old home after its caller was told that it is rolled back.
#[test_case("READ slot"; "a read is in flight")]
#[test_case("WRITE slot other"; "a write is in flight")]
fn an_open_transaction_is_rolled_back(in_flight: &str) {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot mine").await;
        fleet.world.network.silence(home);
        caller.send_statement(in_flight);
        let answer = answer_within(&caller, RECOVERY_MS).await;
        assert_eq!(
            (code(&answer), answer.status),
            (FailureCode::RolledBack, TransactionStatus::Failed)
        );
        assert_eq!(caller.execute_err("READ slot").await, FailureCode::Malformed);
        assert_eq!(caller.execute("ROLLBACK").await.status, TransactionStatus::Idle);
        assert_eq!(caller.execute_ok("READ slot").await, ["nothing"]);
        fleet.world.network.heal();
        pause(200).await;
        assert_eq!(fleet.world.group.value("slot"), None);
    });
}

/// Guards against a commit that is reported as rolled back although it may take effect, and against doubt where nothing was
/// written.
#[test_case("WRITE slot mine", FailureCode::Unknown; "a transaction that wrote")]
#[test_case("READ slot", FailureCode::RolledBack; "a transaction that only read")]
fn a_commit_in_flight_is_in_doubt_only_if_something_was_written(
    statement: &str,
    expected: FailureCode,
) {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok(statement).await;
        fleet.world.network.silence(home);
        caller.send_statement("COMMIT");
        let answer = answer_within(&caller, RECOVERY_MS).await;
        assert_eq!((code(&answer), answer.status), (expected.clone(), TransactionStatus::Idle));
        let is_closed = expected == FailureCode::Unknown;
        if is_closed {
            assert_eq!(caller.next().await, None);
        } else {
            caller.execute_ok("WRITE slot after").await;
        }
    });
}

/// Guards against a session that loses its values, its prepared statements or its own writes when it moves.
#[test]
fn an_idle_session_moves_with_its_whole_state() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(OWN_WRITES).await;
        for statement in [
            "SET zone west",
            "SET zone east",
            "PREPARE get READ q",
            "PREPARE put WRITE w",
            "DEALLOC put",
        ] {
            caller.execute_ok(statement).await;
        }
        [1, 2]
            .into_iter()
            .for_each(|it| fleet.world.group.inject_fault(it, Fault::ReplicationStopped));
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot mine").await;
        caller.execute_ok("COMMIT").await;
        let other = fleet.world.caller(fleet.entry(), LATEST).await;
        fleet.world.network.silence(home);
        // Whichever home serves the other session, a verdict exists when the idle session continues.
        other.send_statement("READ slot");
        answer_within(&other, RECOVERY_MS).await;
        caller.send_statement("EXECUTE get slot");
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["mine"]);
        let executed = fleet.world.group.executed();
        let last = executed.iter().rfind(|it| it.text == "READ q slot").unwrap();
        assert_eq!(last.values, ["zone=east"]);
        assert_eq!(caller.execute_err("EXECUTE put slot x").await, FailureCode::NoSuchPrepared);
    });
}

/// Guards against a statement that is not sent, or reported as in doubt, because the session's home is already known to be
/// unresponsive.
#[test]
fn statements_after_the_verdict_run_elsewhere_at_once() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (reader, home) = fleet.session(LATEST).await;
        let mut sessions = Vec::new();
        while sessions.len() < 2 {
            let before = fleet.proxy(home).shutdown.sessions();
            let caller = fleet.world.caller(fleet.entry(), LATEST).await;
            if fleet.proxy(home).shutdown.sessions() > before {
                sessions.push(caller);
            }
        }
        sessions[1].execute_ok("BEGIN").await;
        sessions[1].execute_ok("WRITE slot first").await;
        fleet.world.network.silence(home);
        reader.send_statement("READ slot");
        answer_within(&reader, RECOVERY_MS).await;
        sessions[0].send_statement("WRITE slot mine");
        assert!(answer_within(&sessions[0], 100).await.result.is_ok());
        sessions[1].send_statement("COMMIT");
        assert_eq!(code(&answer_within(&sessions[1], 100).await), FailureCode::RolledBack);
        assert_eq!(fleet.world.group.execution_count("WRITE slot mine"), 1);
        assert_eq!(sessions[1].execute_ok("READ slot").await, ["mine"]);
    });
}

/// Guards against giving a read up when the home that repeats it falls silent as well.
#[test]
fn a_second_home_that_falls_silent_is_replaced_too() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("WRITE slot mine").await;
        fleet.world.network.silence(home);
        fleet.world.group.statement_duration_ms.set(30);
        caller.send_statement("READ slot");
        let second = *fleet.ranked[..2].iter().find(|it| **it != home).unwrap();
        wait_until(RECOVERY_MS, "the second home has the session", || {
            fleet.proxy(second).shutdown.sessions() > 0
        })
        .await;
        fleet.world.network.silence(second);
        assert_eq!(rows(&answer_within(&caller, 700).await), ["mine"]);
        assert!(fleet.serving().iter().any(|it| fleet.ranked[2..].contains(it)));
    });
}

/// Guards against an answer of the first home that reaches the caller after the statement was repeated elsewhere.
#[test]
fn a_late_answer_of_the_first_home_is_dropped() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("WRITE slot old").await;
        fleet.world.group.statement_duration_ms.set(50);
        caller.send_statement("READ slot");
        pause(20).await;
        fleet.world.network.silence(home);
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["old"]);
        caller.execute_ok("WRITE slot new").await;
        caller.send_statement("READ slot");
        fleet.world.network.heal();
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["new"]);
        assert_eq!(caller.execute_ok("READ other").await, ["nothing"]);
        wait_until(500, "the first home closes its half of the session", || {
            fleet.proxy(home).shutdown.sessions() == 0
        })
        .await;
    });
}

const KEY: &str = "key-a";

/// The configuration with one customer, which may run one operation at once and one each second.
fn with_customer(version: u64, key: &str) -> Catalogue {
    let mut customers = Customers::default();
    let limit = RateLimit { thousandths_per_s: 1000, burst: 1 };
    customers.add(CustomerName::new("abbey"), [KeyFingerprint::of(key)], Some(limit));
    let catalogue = support::catalogue_with_connections(version, CONNECTIONS);
    Catalogue { customers: Some(customers), ..catalogue }
}

/// Guards against refusing a read because its first attempt was counted against the customer's limit.
#[test]
fn a_repeated_read_is_not_refused_for_its_customers_limit() {
    run(async {
        let fleet = HomeFleet::start_with(with_customer(2, KEY)).await;
        let (caller, home) = fleet.session_with_key(LATEST, Some(KEY)).await;
        while caller.execute("READ slot").await.result.is_ok() {}
        // The customer has one token again, which the read takes at its first home.
        pause(1100).await;
        fleet.world.group.statement_duration_ms.set(50);
        caller.send_statement("READ slot");
        pause(20).await;
        fleet.world.network.silence(home);
        assert_eq!(rows(&answer_within(&caller, RECOVERY_MS).await), ["nothing"]);
    });
}

/// Guards against a moved session that is served without a check of its key.
#[test]
fn the_key_is_checked_at_the_new_home() {
    run(async {
        let fleet = HomeFleet::start_with(with_customer(2, KEY)).await;
        let (caller, home) = fleet.session_with_key(LATEST, Some(KEY)).await;
        caller.send_statement("READ slot");
        fleet.world.network.silence(home);
        let others = fleet.ranked.iter().filter(|it| **it != home);
        others.for_each(|it| {
            fleet.proxy(*it).directory.apply_catalogue(with_customer(3, "key-b"));
        });
        let answer = answer_within(&caller, RECOVERY_MS).await;
        assert_eq!(code(&answer), FailureCode::Unauthenticated);
        assert_eq!(caller.next().await, None, "the session ends");
    });
}

/// Guards against a session that is lost because one of the homes is of an older build, which can't restore sessions.
#[test]
fn a_home_of_an_older_build_is_passed_over() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("WRITE slot mine").await;
        let second = *fleet.ranked[..2].iter().find(|it| **it != home).unwrap();
        fleet.world.network.downgrade(second);
        fleet.world.network.silence(home);
        caller.send_statement("READ slot");
        assert_eq!(rows(&answer_within(&caller, 2 * RECOVERY_MS).await), ["mine"]);
        assert!(fleet.serving().iter().any(|it| fleet.ranked[2..].contains(it)));
    });
}

/// Guards against a verdict about a home of an older build, which does not answer probes.
#[test]
fn a_home_of_an_older_build_is_not_unresponsive() {
    run(async {
        let fleet = HomeFleet::start().await;
        fleet.ranked.iter().for_each(|it| fleet.world.network.downgrade(*it));
        let (caller, home) = fleet.session(LATEST).await;
        fleet.world.group.statement_duration_ms.set(600);
        caller.execute_ok("WRITE slot mine").await;
        assert_eq!(fleet.serving(), [home]);
    });
}

/// Guards against disturbing a long statement at a home that answers.
#[test]
fn a_long_statement_at_a_home_that_answers_is_not_repeated() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        fleet.world.group.statement_duration_ms.set(700);
        caller.execute_ok("READ slot").await;
        assert_eq!(fleet.serving(), [home]);
        assert_eq!(fleet.world.group.execution_count("READ slot"), 1);
    });
}

/// Guards against openings that wait for one silent home after the other.
#[test]
fn an_opening_does_not_wait_for_a_silent_home() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (_caller, home) = fleet.session(LATEST).await;
        fleet.world.network.silence(home);
        let started = Instant::now();
        let mut slowest = Duration::ZERO;
        while started.elapsed() < Duration::from_millis(600) {
            let opened_at = Instant::now();
            fleet.world.caller(fleet.entry(), LATEST).await;
            slowest = slowest.max(opened_at.elapsed());
        }
        println!("slowest opening: {slowest:?}");
        assert!(slowest < Duration::from_millis(OPENING_MS), "{slowest:?}");
        let opened_at = Instant::now();
        for _ in 0..10 {
            fleet.world.caller(fleet.entry(), LATEST).await;
        }
        let elapsed = opened_at.elapsed();
        assert!(
            elapsed < Duration::from_millis(100),
            "the home is known to be silent: {elapsed:?}"
        );
    });
}

/// Guards against sessions that stay open at a home that answered an opening later than another one.
#[test]
fn the_session_of_a_home_that_answers_late_is_closed() {
    run(async {
        let fleet = HomeFleet::start().await;
        fleet.world.network.silent_accept.set(true);
        fleet.world.network.silence(fleet.ranked[0]);
        // Openings begin at a random home.
        let mut callers = Vec::new();
        let first_home = fleet.proxy(fleet.ranked[0]);
        while first_home.shutdown.sessions() == 0 {
            callers.push(fleet.world.caller(fleet.entry(), LATEST).await);
        }
        fleet.world.network.heal();
        wait_until(500, "the first home has no session", || first_home.shutdown.sessions() == 0)
            .await;
        for caller in &callers {
            caller.execute_ok("READ slot").await;
        }
    });
}

/// Guards against a read without an answer when one home after the other falls silent.
#[test]
fn a_read_ends_with_its_true_outcome_if_all_homes_fall_silent() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        fleet.world.group.statement_duration_ms.set(50);
        let mut silent = vec![home];
        fleet.world.network.silence(home);
        let sent_at = Instant::now();
        caller.send_statement("READ slot");
        let answer = loop {
            let answer = compio::time::timeout(Duration::from_millis(5), caller.next()).await;
            if let Ok(answer) = answer {
                break answer.unwrap();
            }
            let mut next = fleet.serving();
            next.retain(|it| !silent.contains(it));
            next.iter().for_each(|it| fleet.world.network.silence(*it));
            silent.extend(next);
        };
        println!(
            "{:?} after {:?}, {} homes were silent",
            code(&answer),
            sent_at.elapsed(),
            silent.len()
        );
        assert!(matches!(code(&answer), FailureCode::TimedOut | FailureCode::Unknown));
        assert!(silent.len() > 1);
        let timeout = Duration::from_millis(STATEMENT_TIMEOUT_MS + 300);
        assert!(sent_at.elapsed() < timeout);
    });
}

/// Guards against messages whose encoding changes, so that instances of an older build can't decode them any more.
#[test]
fn new_messages_follow_the_older_ones() {
    let first_byte = |bytes: Vec<u8>| bytes[0];
    let restored = RestoredSession {
        service: LATEST.into(),
        key: None,
        values: SessionValues::default(),
        own_commit: None,
        repeats_read: false,
    };
    let restore = RelayMessage::Restore(restored);
    assert_eq!(first_byte(postcard::to_stdvec(&RelayMessage::Ended).unwrap()), 1);
    assert_eq!(first_byte(postcard::to_stdvec(&restore).unwrap()), 2);
    let reply_to = support::member(1).address;
    let probe = PeerMessage::HomeProbe(HomeProbe { number: 1, reply_to });
    let answer = PeerMessage::HomeProbeAnswer(HomeProbeAnswer { number: 1 });
    assert_eq!(first_byte(postcard::to_stdvec(&probe).unwrap()), 4);
    assert_eq!(first_byte(postcard::to_stdvec(&answer).unwrap()), 5);
}

/// Guards against callers that wait for each home in turn at an instance that is isolated.
#[test]
fn an_isolated_instance_without_a_responsive_home_refuses_at_once() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, _) = fleet.session(LATEST).await;
        let entry = fleet.entries()[0];
        (1..=INSTANCES).filter(|it| *it != entry).for_each(|it| fleet.world.network.silence(it));
        caller.send_statement("READ slot");
        let isolated = || fleet.entry().peers.is_isolated(fleet.world.clock.boot_now());
        wait_until(1500, "the instance is isolated", isolated).await;
        let answer = answer_within(&caller, RECOVERY_MS).await;
        assert_eq!(code(&answer), FailureCode::Unknown, "the read may have run");
        pause(100).await;
        for _ in 0..3 {
            let (caller, link) = FakeCaller::new();
            compio::runtime::spawn(serve_caller(Rc::clone(fleet.entry()), Box::new(link))).detach();
            let opened_at = Instant::now();
            assert_eq!(caller.open_err(LATEST).await, FailureCode::Congested);
            let elapsed = opened_at.elapsed();
            println!("refused after {elapsed:?}");
            assert!(elapsed < Duration::from_millis(OPENING_MS), "refused after {elapsed:?}");
        }
    });
}

/// Guards against a spare home that forwards although no home answers it and it reaches the targets.
#[test]
fn a_spare_home_continues_sessions_itself() {
    run(async {
        let fleet = HomeFleet::start().await;
        let spare = fleet.ranked[2];
        let caller = fleet.world.caller(fleet.proxy(spare), LATEST).await;
        caller.execute_ok("SET zone east").await;
        caller.execute_ok("WRITE slot mine").await;
        fleet.ranked[..2].iter().for_each(|it| fleet.world.network.silence(*it));
        caller.send_statement("READ slot");
        assert_eq!(rows(&answer_within(&caller, 2 * RECOVERY_MS).await), ["mine"]);
        let last = fleet.world.group.executed().pop().unwrap();
        assert_eq!(last.values, ["zone=east"]);
        let open = fleet.world.group.connections(0);
        assert!(open <= CONNECTIONS, "{open} connections");
    });
}
