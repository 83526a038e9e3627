//! Log lines are limited in rate and never block the process.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gullspar_telemetry::{BoundedAppend, LineBudget, LineWriter};

/// Guards against an event that repeats quickly and fills the disk that holds the logs.
#[test]
fn an_event_is_limited_to_its_budget_and_dropped_lines_are_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..1000).filter(|_| budget.try_consume(start).is_some()).count();
    assert_eq!(written, 400);
    let later = start + Duration::from_secs(1);
    assert_eq!(
        budget.try_consume(later),
        Some(600),
        "the next line reports the number of lines left out"
    );
    assert_eq!(budget.try_consume(later), Some(0));
    let more = (0..1000).filter(|_| budget.try_consume(later).is_some()).count();
    assert_eq!(more, 398);
}

/// A writer that blocks until it is released, like a pipe that is not read.
struct FullPipe {
    release: Receiver<()>,
    out: Arc<Mutex<Vec<u8>>>,
}

impl Write for FullPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.out.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn full_pipe() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, release) = mpsc::channel();
    let out = Arc::<Mutex<Vec<u8>>>::default();
    (LineWriter::start(FullPipe { release, out: Arc::clone(&out) }), tx, out)
}

/// Guards against callers that are blocked because the log's reader has stopped and its pipe is full.
#[test]
fn a_full_pipe_loses_lines_without_blocking() {
    let (writer, release, out) = full_pipe();
    let started = Instant::now();
    // The lines have 100 bytes each: the queue takes 4,096 of them, and the blocked write at most 656.
    for turn in 0..10_000 {
        writer.write(format!("line {turn:094}\n").into_bytes());
    }
    assert!(started.elapsed() < Duration::from_secs(1), "took {:?}", started.elapsed());
    let lost = writer.take_lost_count();
    assert!(lost > 5000, "{lost} lost");
    assert_eq!(writer.take_lost_count(), 0);
    drop(release);
    writer.flush();
    let first = format!("line {:094}\n", 0);
    assert!(out.lock().unwrap().starts_with(first.as_bytes()));
}

/// Guards against lines that are not JSON, lack their values, or do not report the lines left out before them.
#[test]
fn lines_are_json_and_report_gaps() {
    let (writer, release, out) = full_pipe();
    drop(release);
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
    // How many lines are written depends on the duration of the loop, but each must be written or counted.
    let left_out: u64 = lines.iter().filter_map(|it| it["left_out"].as_u64()).sum();
    let written = lines.iter().filter(|it| it["message"] == "G0733 a statement was served").count();
    assert!(left_out > 0, "{written} written");
    assert_eq!(left_out + written as u64, 500);
}
