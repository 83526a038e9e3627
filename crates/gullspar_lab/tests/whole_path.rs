//! End-to-end tests, from a caller through instances to a simulated group.

mod support;

use gullspar_lab::{Client, RequestOutcome};
use support::{LabUnderTest, run};

/// Guards against a strict caller that does not see a write acknowledged by another instance.
#[test]
fn a_write_is_read_back_through_another_instance_without_a_token() {
    let lab = LabUnderTest::small();
    run(async {
        let mut writer = lab.connect(0, "strict").await;
        let written = writer.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        assert_eq!(written.outcome(), RequestOutcome::Done);
        let mut reader = lab.connect(1, "strict").await;
        let read = reader.query("SELECT id FROM ledger").await.unwrap();
        assert_eq!(read.rows, vec![vec![Some("x".to_owned())]]);
    });
}

#[test]
fn a_token_makes_a_write_visible_to_a_tolerant_reader() {
    let lab = LabUnderTest::small();
    run(async {
        let mut writer = lab.connect(0, "tolerant").await;
        writer.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        let token = writer.token.clone().unwrap();
        let address = lab.caller_address(2);
        let mut reader = Client::connect(address, "tolerant", "tours", Some(&token)).await.unwrap();
        let read = reader.query("SELECT id FROM ledger").await.unwrap();
        assert_eq!(read.rows.len(), 1);
    });
}

/// Guards against reads of rolled-back writes, and against the loss of a committed transaction.
#[test]
fn a_transaction_is_atomic_and_invisible_before_its_commit() {
    let lab = LabUnderTest::small();
    run(async {
        let mut one = lab.connect(0, "strict").await;
        let mut other = lab.connect(1, "strict").await;
        one.query("BEGIN").await.unwrap();
        let inside = one.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        assert_eq!(inside.status, b'T');
        one.query("ROLLBACK").await.unwrap();
        let read = other.query("SELECT id FROM ledger").await.unwrap();
        assert!(read.rows.is_empty());
        one.query("BEGIN").await.unwrap();
        one.query("INSERT INTO ledger VALUES ('y')").await.unwrap();
        let committed = one.query("COMMIT").await.unwrap();
        assert_eq!((committed.outcome(), committed.status), (RequestOutcome::Done, b'I'));
        let mut fresh = lab.connect(2, "strict").await;
        assert_eq!(fresh.query("SELECT id FROM ledger").await.unwrap().rows.len(), 1);
    });
}

/// Guards against running a request twice when its caller repeats it at another instance.
#[test]
fn a_repeated_key_returns_the_first_answer_and_runs_once() {
    let lab = LabUnderTest::small();
    run(async {
        let sql = "/* gullspar key=job-1 */ INSERT INTO ledger VALUES ('x') RETURNING id";
        let first = lab.connect(0, "strict").await.query(sql).await.unwrap();
        let second = lab.connect(1, "strict").await.query(sql).await.unwrap();
        assert_eq!(first, second);
        assert_eq!(lab.ledger().await, vec!["x".to_owned()]);
    });
}

/// Guards against answering a request with the result of a different one that had the same key.
#[test]
fn a_key_used_for_another_request_is_refused() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        client.query("/* gullspar key=k */ INSERT INTO ledger VALUES ('x')").await.unwrap();
        let other =
            client.query("/* gullspar key=k */ INSERT INTO ledger VALUES ('y')").await.unwrap();
        assert_eq!(other.error.unwrap().code, "22023");
        assert_eq!(lab.ledger().await, vec!["x".to_owned()]);
    });
}

/// Guards against committing a transaction twice when its caller repeats it with the same key.
#[test]
fn a_transaction_with_a_key_commits_once() {
    let lab = LabUnderTest::small();
    run(async {
        let sql = "/* gullspar key=t */ INSERT INTO ledger VALUES ('x')";
        let mut outcomes = Vec::new();
        for turn in 0..2 {
            let mut client = lab.connect(turn, "strict").await;
            client.query("BEGIN").await.unwrap();
            outcomes.push(client.query(sql).await.unwrap().outcome());
            client.query("COMMIT").await.unwrap();
        }
        assert_eq!(outcomes, [RequestOutcome::Done, RequestOutcome::Failed]);
        assert_eq!(lab.ledger().await, vec!["x".to_owned()]);
    });
}

#[test]
fn a_set_statement_is_accepted_and_the_session_continues() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        let set = client.query("SET application_name = 'x'").await.unwrap();
        assert_eq!(set.tags, ["SET"]);
        for _ in 0..5 {
            let read = client.query("SELECT id FROM ledger").await.unwrap();
            assert_eq!(read.outcome(), RequestOutcome::Done);
        }
    });
}

/// Guards against resetting the connection within a transaction in order to apply a session's settings.
#[test]
fn a_set_statement_does_not_end_its_transaction() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        for sql in [
            "BEGIN",
            "SET application_name = 'x'",
            "INSERT INTO ledger VALUES ('x')",
            "COMMIT",
            "SELECT id FROM ledger",
        ] {
            let answer = client.query(sql).await.unwrap();
            assert_eq!(answer.outcome(), RequestOutcome::Done, "{sql}: {answer:?}");
        }
    });
}
