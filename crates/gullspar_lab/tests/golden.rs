//! Snapshots of whole sessions: each statement and the answer that the caller receives.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_lab::{Answer, Client, FaultChange, TargetFault};
use support::{LabUnderTest, run};

/// A session as text. The signatures of tokens are left out, since they differ between runs.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    async fn record(&mut self, client: &mut Client, sql: &str) {
        let answer = client.query(sql).await.unwrap();
        self.text.push_str(&format!("> {sql}\n{}", format_answer(&answer)));
        let token = client.token.as_deref().unwrap_or("none");
        let point = token.rsplit_once(':').map_or(token, |(point, _)| point);
        self.text.push_str(&format!("  [{} token {point}]\n", answer.status as char));
    }

    fn comment(&mut self, text: &str) {
        self.text.push_str(&format!("-- {text}\n"));
    }
}

fn format_answer(answer: &Answer) -> String {
    let mut text = String::new();
    for row in &answer.rows {
        let columns: Vec<&str> = row.iter().map(|it| it.as_deref().unwrap_or("null")).collect();
        text.push_str(&format!("  {}\n", columns.join(" | ")));
    }
    for tag in &answer.tags {
        text.push_str(&format!("  {tag}\n"));
    }
    if let Some(report) = &answer.error {
        text.push_str(&format!("  {} {}: {}\n", report.severity, report.code, report.message));
        text.extend(report.hint.as_ref().map(|it| format!("  hint: {it}\n")));
    }
    text
}

#[test]
fn statements_of_one_session() {
    let lab = LabUnderTest::small();
    let mut transcript = Transcript::default();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        for sql in [
            "SELECT id, name FROM doors WHERE id < 3",
            "INSERT INTO ledger VALUES ('a')",
            "SELECT id FROM ledger",
            "BEGIN",
            "INSERT INTO ledger VALUES ('b')",
            "INSERT INTO nowhere VALUES (1)",
            "SELECT id FROM ledger",
            "ROLLBACK",
            "SELECT id FROM ledger",
            "SET gullspar.request_key = 'tour-7'",
            "INSERT INTO ledger VALUES ('c')",
            "SET gullspar.request_key = 'tour-7'",
            "INSERT INTO ledger VALUES ('c')",
            "SELECT id FROM ledger ORDER BY id",
            "SHOW gullspar.max_age_ms",
            "COPY ledger TO STDOUT",
        ] {
            transcript.record(&mut client, sql).await;
        }
        transcript.comment("at another instance, without the token");
        let mut other = lab.connect(1, "strict").await;
        transcript.record(&mut other, "SELECT id FROM ledger ORDER BY id").await;
    });
    insta::assert_snapshot!(transcript.text);
}

#[test]
fn a_session_through_a_failover() {
    let lab = LabUnderTest::small();
    let mut transcript = Transcript::default();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        transcript.record(&mut client, "INSERT INTO ledger VALUES ('before')").await;
        transcript.record(&mut client, "BEGIN").await;
        transcript.record(&mut client, "INSERT INTO ledger VALUES ('lost')").await;
        transcript.comment("the primary stops");
        let target = lab.primary();
        lab.lab.faults.apply(FaultChange::Target { target, fault: TargetFault::Stopped });
        compio::time::sleep(support::FAULT_DELAY).await;
        transcript.record(&mut client, "INSERT INTO ledger VALUES ('lost too')").await;
        transcript.record(&mut client, "COMMIT").await;
        transcript.record(&mut client, "INSERT INTO ledger VALUES ('after')").await;
        transcript.record(&mut client, "SELECT id FROM ledger ORDER BY id").await;
    });
    insta::assert_snapshot!(transcript.text);
}
