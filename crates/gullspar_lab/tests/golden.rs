//! Golden files of whole sessions: what callers send and what they are told, message by message.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_lab::{Answer, Client, FaultChange, TargetFault};
use support::{LabUnderTest, run};

/// A session as text; tokens are cut, since they are signed anew in each lab.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    async fn say(&mut self, client: &mut Client, sql: &str) {
        let answer = client.query(sql).await.unwrap();
        self.text.push_str(&format!("> {sql}\n{}", describe(&answer)));
        let token = client.token.as_deref().unwrap_or("none");
        let point = token.rsplit_once(':').map_or(token, |(point, _)| point);
        self.text.push_str(&format!("  [{} token {point}]\n", answer.status as char));
    }

    fn note(&mut self, text: &str) {
        self.text.push_str(&format!("-- {text}\n"));
    }
}

fn describe(answer: &Answer) -> String {
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
fn a_coordinators_morning() {
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
            transcript.say(&mut client, sql).await;
        }
        transcript.note("at another instance, without the token");
        let mut other = lab.connect(1, "strict").await;
        transcript.say(&mut other, "SELECT id FROM ledger ORDER BY id").await;
    });
    insta::assert_snapshot!(transcript.text);
}

#[test]
fn a_session_through_a_failover() {
    let lab = LabUnderTest::small();
    let mut transcript = Transcript::default();
    run(async {
        let mut client = lab.connect(0, "strict").await;
        transcript.say(&mut client, "INSERT INTO ledger VALUES ('before')").await;
        transcript.say(&mut client, "BEGIN").await;
        transcript.say(&mut client, "INSERT INTO ledger VALUES ('lost')").await;
        transcript.note("the primary stops");
        let target = lab.primary();
        lab.lab.faults.apply(FaultChange::Target { target, fault: TargetFault::Stopped });
        compio::time::sleep(support::FAULT_SETTLES).await;
        transcript.say(&mut client, "INSERT INTO ledger VALUES ('lost too')").await;
        transcript.say(&mut client, "COMMIT").await;
        transcript.say(&mut client, "INSERT INTO ledger VALUES ('after')").await;
        transcript.say(&mut client, "SELECT id FROM ledger ORDER BY id").await;
    });
    insta::assert_snapshot!(transcript.text);
}
