//! Writing lines without ever waiting for whoever reads them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// Lines that may wait for the writer.
const QUEUE: usize = 4096;

/// Bytes that are written at once at most.
const CHUNK: usize = 64 * 1024;

/// How long lines are gathered before they are written, so that a busy process is not woken for each.
const GATHER: Duration = Duration::from_millis(50);

/// Bytes that are written at once without gathering more.
const ENOUGH: usize = 8 * 1024;

/// Pause before a flush tries again to enter a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// How long the end of a process waits for the last lines.
const FLUSH_WITHIN: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A thread that writes lines, and the queue before it.
///
/// A full pipe would stop a process that writes its log itself, and its callers with it. Here it costs
/// lines, which are counted.
#[derive(Debug)]
pub struct LineWriter {
    tx: SyncSender<Message>,
    lost: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> LineWriter {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        std::thread::spawn(move || write_all(&rx, out));
        LineWriter { tx, lost: Arc::default() }
    }

    /// Queues a line, or counts it as lost if the queue is full.
    pub fn write(&self, line: Vec<u8>) {
        match self.tx.try_send(Message::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Lines that were lost since this was asked last.
    pub fn take_lost_count(&self) -> u64 {
        self.lost.swap(0, Ordering::Relaxed)
    }

    /// Waits a little until all lines are written.
    pub fn flush(&self) {
        let deadline = Instant::now() + FLUSH_WITHIN;
        let (tx, rx) = mpsc::sync_channel(1);
        let mut message = Message::Flush(tx);
        while let Err(TrySendError::Full(back)) = self.tx.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = back;
            std::thread::sleep(FULL_PAUSE);
        }
        // A reader that has gone must not keep the process from ending.
        let _ = rx.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_all(rx: &Receiver<Message>, mut out: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut chunk = Vec::new();
        let mut flushed = take(first, &mut chunk).or_else(|| drain(rx, &mut chunk));
        if flushed.is_none() && chunk.len() < ENOUGH {
            std::thread::sleep(GATHER);
            flushed = drain(rx, &mut chunk);
        }
        // Nobody is left to tell that the log can't be written.
        let _ = out.write_all(&chunk).and_then(|()| out.flush());
        if let Some(tx) = flushed {
            // Whoever waited may have given up.
            let _ = tx.try_send(());
        }
    }
}

/// Takes what waits, up to a chunk or to a flush.
fn drain(rx: &Receiver<Message>, chunk: &mut Vec<u8>) -> Option<SyncSender<()>> {
    while chunk.len() < CHUNK {
        if let Some(flushed) = take(rx.try_recv().ok()?, chunk) {
            return Some(flushed);
        }
    }
    None
}

fn take(message: Message, chunk: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match message {
        Message::Line(line) => {
            chunk.extend_from_slice(&line);
            None
        }
        Message::Flush(tx) => Some(tx),
    }
}
