//! Log lines are bounded and never waited for.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gullspar_telemetry::{BoundedAppend, LineBudget, LineWriter};

/// Symptom: a fault that repeats fills the disk of whoever keeps the logs.
/// Cause: each event was written as often as it happened.
#[test]
fn an_event_is_written_within_its_budget_and_the_rest_is_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..1000).filter(|_| budget.try_consume(start).is_some()).count();
    assert_eq!(written, 400);
    let later = start + Duration::from_secs(1);
    assert_eq!(
        budget.try_consume(later),
        Some(600),
        "the first line afterwards tells what is missing"
    );
    assert_eq!(budget.try_consume(later), Some(0));
    let more = (0..1000).filter(|_| budget.try_consume(later).is_some()).count();
    assert_eq!(more, 398);
}

/// A writer that waits until it is let go, as a pipe does that nobody reads.
struct FullPipe {
    go: Receiver<()>,
    out: Arc<Mutex<Vec<u8>>>,
}

impl Write for FullPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        self.out.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn full_pipe() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, go) = mpsc::channel();
    let out = Arc::<Mutex<Vec<u8>>>::default();
    (LineWriter::start(FullPipe { go, out: Arc::clone(&out) }), tx, out)
}

/// Symptom: all callers hang.
/// Events: whoever reads the log of the instance stops reading; the pipe fills.
/// Cause: the log was written by the thread that serves callers.
#[test]
fn a_full_pipe_costs_lines_and_nothing_else() {
    let (writer, go, out) = full_pipe();
    let started = Instant::now();
    // Of 100 bytes each: the queue takes 4,096 of them, and the write that waits 656 at most.
    for turn in 0..10_000 {
        writer.write(format!("line {turn:094}\n").into_bytes());
    }
    assert!(started.elapsed() < Duration::from_secs(1), "took {:?}", started.elapsed());
    let lost = writer.take_lost_count();
    assert!(lost > 5000, "{lost} lost");
    assert_eq!(writer.take_lost_count(), 0);
    drop(go);
    writer.flush();
    let first = format!("line {:094}\n", 0);
    assert!(out.lock().unwrap().starts_with(first.as_bytes()));
}

/// A line is one object of JSON with its number, its values and, after a gap, the size of the gap.
#[test]
fn lines_are_json_and_tell_of_gaps() {
    let (writer, go, out) = full_pipe();
    drop(go);
    logforth::starter_log::builder().dispatch(|it| it.append(BoundedAppend::new(writer))).apply();
    for turn in 0..500 {
        log::info!(request = turn; "G0733 a statement was served");
    }
    std::thread::sleep(Duration::from_millis(50));
    log::info!("G0733 again");
    log::logger().flush();
    std::thread::sleep(Duration::from_millis(100));
    let out = out.lock().unwrap();
    let lines: Vec<serde_json::Value> =
        String::from_utf8_lossy(&out).lines().map(|it| serde_json::from_str(it).unwrap()).collect();
    assert_eq!(lines[0]["message"], "G0733 a statement was served");
    assert_eq!(lines[0]["kvs"]["request"], 0);
    // How many fit depends on the time that the loop took; none may be unaccounted for.
    let left_out: u64 = lines.iter().filter_map(|it| it["left_out"].as_u64()).sum();
    let written = lines.iter().filter(|it| it["message"] == "G0733 a statement was served").count();
    assert!(left_out > 0, "{written} written");
    assert_eq!(left_out + written as u64, 500);
}
