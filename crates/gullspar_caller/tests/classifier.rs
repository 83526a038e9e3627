//! Guards against statements that write being classified as reads.

use gullspar_caller::{Classifier, StatementKind};
use gullspar_model::Access;
use test_case::test_case;

/// Guards against reads that needlessly go to the primary.
#[test_case("SELECT 1")]
#[test_case("SELECT count(*), max(x) FROM t WHERE a = $1 ORDER BY 2 LIMIT 5")]
#[test_case("WITH a AS (SELECT x FROM t) SELECT * FROM a JOIN u USING (x)")]
#[test_case("VALUES (1), (2)")]
#[test_case("SELECT 1 UNION SELECT x FROM t")]
#[test_case("SELECT x FROM t; SELECT y FROM u")]
#[test_case("/* a comment */ SELECT lower(name) FROM t")]
#[test_case("")]
fn statements_that_only_read_are_reads(sql: &str) {
    assert_eq!(Classifier::default().classify(sql).kind, StatementKind::Data(Access::Read));
}

/// Guards against a statement that may write being sent to a replica.
#[test_case("INSERT INTO t VALUES (1)"; "insert")]
#[test_case("SELECT * FROM t FOR UPDATE"; "locking read")]
#[test_case("SELECT * FROM (SELECT * FROM t FOR SHARE) AS s"; "locking read within a read")]
#[test_case("SELECT nextval('s')"; "a function that writes")]
#[test_case("SELECT anything(1)"; "an unknown function")]
#[test_case("SELECT * FROM t WHERE x = anything(1)"; "an unknown function in a condition")]
#[test_case("SELECT * FROM anything(1)"; "a function as a table")]
#[test_case("SELECT x INTO u FROM t"; "select into")]
#[test_case("WITH a AS (INSERT INTO t VALUES (1) RETURNING x) SELECT * FROM a"; "a write in a with")]
#[test_case("SELECT 1; DELETE FROM t"; "a write after a read")]
#[test_case("EXPLAIN ANALYZE DELETE FROM t"; "explain that runs")]
#[test_case("CALL p()"; "a procedure")]
#[test_case("something that is no SQL"; "not understood")]
fn other_statements_are_not_reads(sql: &str) {
    assert_ne!(Classifier::default().classify(sql).kind, StatementKind::Data(Access::Read));
}

/// Guards against marks being taken from text that is not a leading comment, such as a literal.
#[test]
fn marks_are_parsed_from_the_leading_comment_only() {
    let classifier = Classifier::default();
    let marked = classifier.classify("/* gullspar key=job-1 idempotent */ DELETE FROM t");
    assert_eq!((marked.request_key.as_deref(), marked.idempotent), (Some("job-1"), true));
    let unmarked = classifier.classify("DELETE FROM t /* gullspar key=job-1 */");
    assert_eq!((unmarked.request_key.as_deref(), unmarked.idempotent), (None, false));
}

/// Guards against transaction control and session state being handled as plain statements.
#[test_case("BEGIN", StatementKind::Begin { read_only: false })]
#[test_case("START TRANSACTION READ ONLY", StatementKind::Begin { read_only: true })]
#[test_case("COMMIT", StatementKind::Commit)]
#[test_case("ROLLBACK", StatementKind::RollBack)]
#[test_case("ROLLBACK TO SAVEPOINT a", StatementKind::Script)]
#[test_case("SET search_path = a", StatementKind::Set)]
#[test_case("SET LOCAL search_path = a", StatementKind::Script)]
#[test_case("DISCARD ALL", StatementKind::Reset)]
#[test_case("CREATE TEMPORARY TABLE a (x int)", StatementKind::Pinning)]
#[test_case("PREPARE a AS SELECT 1", StatementKind::Pinning)]
#[test_case("SELECT pg_advisory_lock(1)", StatementKind::Pinning)]
fn statement_kinds(sql: &str, expected: StatementKind) {
    assert_eq!(Classifier::default().classify(sql).kind, expected);
}
