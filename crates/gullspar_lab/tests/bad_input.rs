//! Malformed, oversized and forged input must cause a clear error and affect no other connection.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_lab::{Client, RequestOutcome};
use gullspar_wire::WireError;
use support::{LabUnderTest, run};
use test_case::test_case;

/// Checks that a statement of another caller still succeeds.
async fn assert_other_callers_unaffected(lab: &LabUnderTest) {
    let mut other_caller = lab.connect(0, "strict").await;
    let answer = other_caller.query("SELECT id FROM doors").await.unwrap();
    assert_eq!((answer.outcome(), answer.rows.len()), (RequestOutcome::Done, 3));
}

/// Guards against a malformed message that is not answered with an error, or that affects other connections.
#[test_case(&[b'Q', 0, 0, 0, 1]; "a length under four")]
#[test_case(&[b'Q', 0x7f, 0xff, 0xff, 0xff]; "a length over the limit")]
#[test_case(&[b'Q', 0, 0, 0, 6, 0xff, 0xfe]; "a text that is not UTF-8 and has no end")]
#[test_case(&[b'~', 0, 0, 0, 4]; "an unknown message")]
#[test_case(&[b'F', 0, 0, 0, 4]; "a function call")]
#[test_case(&[b'D', 0, 0, 0, 4]; "an empty describe")]
#[test_case(&[b'B', 0, 0, 0, 5, b'x']; "a bind without its end")]
fn a_malformed_message_closes_only_its_own_connection(bytes: &[u8]) {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        client.send_raw(bytes).await.unwrap();
        let answer = client.read_answer().await.unwrap();
        let report = answer.error.unwrap();
        assert_eq!((report.severity.as_str(), report.code.as_str()), ("FATAL", "08P01"));
        assert!(client.query("SELECT 1").await.is_err());
        assert_other_callers_unaffected(&lab).await;
    });
}

/// Guards against refusing a session with an error code that does not state the reason.
#[test_case("strict", "wrong", "tours", "28P01"; "a wrong password")]
#[test_case("nobody", "nobody", "tours", "28P01"; "an unknown caller")]
#[test_case("strict", "strict", "nowhere", "3D000"; "an unknown service")]
fn a_refused_session_gets_the_matching_sqlstate(
    user: &str,
    password: &str,
    service: &str,
    code: &str,
) {
    let lab = LabUnderTest::small();
    run(async {
        lab.connect(0, "strict").await;
        let address = lab.caller_address(0);
        let refused = Client::connect_with(address, user, password, service, None).await;
        match refused.map(|_| ()) {
            Err(WireError::Server(report)) => assert_eq!(report.code, code),
            other => panic!("not refused: {other:?}"),
        }
        assert_other_callers_unaffected(&lab).await;
    });
}

/// A forged position could block reads, and another caller's token would reveal how much that caller
/// writes, so a token must be valid only for the caller that it was issued to.
#[test]
fn forged_and_foreign_tokens_are_refused() {
    let lab = LabUnderTest::small();
    run(async {
        let mut owner = lab.connect(0, "strict").await;
        owner.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        let token = owner.token.clone().unwrap();
        let mut other = lab.connect(1, "tolerant").await;
        let altered = token.replacen(":1:", ":9:", 1);
        for text in [token.as_str(), altered.as_str(), "rubbish", "core:1:x:y", ""] {
            let answer = other.query(&format!("SET gullspar.token = '{text}'")).await.unwrap();
            assert_eq!(answer.error.unwrap().code, "22023", "{text}");
        }
        let accepted = owner.query(&format!("SET gullspar.token = '{token}'")).await.unwrap();
        assert_eq!(accepted.error, None);
    });
}

/// Guards against losing the session because one of its statements was refused or failed.
#[test_case("COPY ledger TO STDOUT", "0A000"; "copy")]
#[test_case("LISTEN news", "0A000"; "listen")]
#[test_case("SET gullspar.nonsense = 1", "42704"; "an unknown setting")]
#[test_case("SET gullspar.deadline_ms = soon", "22023"; "a setting that is no number")]
#[test_case("SET gullspar.instance = 'x'", "55P02"; "a setting that can't be set")]
#[test_case("SELECT * FROM nowhere", "42P01"; "the target's own error")]
fn a_refused_statement_does_not_end_the_session(sql: &str, code: &str) {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        let answer = client.query(sql).await.unwrap();
        assert_eq!(answer.error.unwrap().code, code);
        let next = client.query("SELECT id FROM doors").await.unwrap();
        assert_eq!(next.outcome(), RequestOutcome::Done);
    });
}

/// Connections that never send a startup message must not use up the capacity for other callers.
#[test]
fn half_open_connections_do_not_affect_other_callers() {
    let lab = LabUnderTest::small();
    let address = lab.caller_address(0);
    let idle_connections: Vec<_> =
        (0..50).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    run(assert_other_callers_unaffected(&lab));
    drop(idle_connections);
}

/// After the target of a transaction was lost, the rest of the transaction must not run as single
/// statements.
#[test]
fn a_lost_transaction_refuses_statements_until_it_is_ended() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        client.query("BEGIN").await.unwrap();
        client.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        let target = lab.primary();
        let fault = gullspar_lab::TargetFault::Stopped;
        lab.lab.faults.apply(gullspar_lab::FaultChange::Target { target, fault });
        compio::time::sleep(support::FAULT_DELAY).await;
        let lost = client.query("INSERT INTO ledger VALUES ('y')").await.unwrap();
        assert_eq!((lost.outcome(), lost.status), (RequestOutcome::NotRun, b'E'));
        let next = client.query("INSERT INTO ledger VALUES ('z')").await.unwrap();
        assert_eq!((next.error.unwrap().code.as_str(), next.status), ("25P02", b'E'));
        let ended = client.query("COMMIT").await.unwrap();
        assert_eq!((ended.tags, ended.status), (vec!["ROLLBACK".to_owned()], b'I'));
        assert!(lab.ledger().await.is_empty());
    });
}
