//! Writes log lines without blocking the process on their reader.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// Maximum number of lines queued for the writer.
const MAX_QUEUED_LINES: usize = 4096;

/// A write takes no more lines once it has this many bytes.
const MAX_CHUNK_SIZE: usize = 64 * 1024;

/// Time for which lines are collected before they are written, so that the writer does not wake up for each line.
const COLLECT_PERIOD: Duration = Duration::from_millis(50);

/// Number of bytes from which a chunk is written without collecting more lines.
const MIN_CHUNK_SIZE: usize = 8 * 1024;

/// Delay before a flush tries again to enter a full queue.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// How long a flush waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// Replies once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// A queue of lines and the thread that writes them.
///
/// If the process wrote its log directly, a full pipe would block it and its callers. With the queue, lines are
/// dropped and counted instead.
#[derive(Debug)]
pub struct LineWriter {
    tx: SyncSender<Message>,
    lost: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> LineWriter {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_all(&rx, out));
        LineWriter { tx, lost: Arc::default() }
    }

    /// Queues a line. Drops it and counts it as lost if the queue is full.
    pub fn write(&self, line: Vec<u8>) {
        match self.tx.try_send(Message::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of lines lost since the last call.
    pub fn take_lost_count(&self) -> u64 {
        self.lost.swap(0, Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for a limited time.
    pub fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (tx, rx) = mpsc::sync_channel(1);
        let mut message = Message::Flush(tx);
        while let Err(TrySendError::Full(rejected)) = self.tx.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = rejected;
            std::thread::sleep(RETRY_DELAY);
        }
        // A reader that no longer reads must not keep the process from exiting.
        let _ = rx.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_all(rx: &Receiver<Message>, mut out: impl Write) {
    while let Ok(first) = rx.recv() {
        let mut chunk = Vec::new();
        let mut flush_reply =
            append_message(first, &mut chunk).or_else(|| append_queued(rx, &mut chunk));
        if flush_reply.is_none() && chunk.len() < MIN_CHUNK_SIZE {
            std::thread::sleep(COLLECT_PERIOD);
            flush_reply = append_queued(rx, &mut chunk);
        }
        // A failure to write the log can't be reported anywhere.
        let _ = out.write_all(&chunk).and_then(|()| out.flush());
        if let Some(tx) = flush_reply {
            // The flush may have timed out.
            let _ = tx.try_send(());
        }
    }
}

/// Appends queued lines until the chunk is full, the queue is empty or a flush is found, whose reply channel is
/// returned.
fn append_queued(rx: &Receiver<Message>, chunk: &mut Vec<u8>) -> Option<SyncSender<()>> {
    while chunk.len() < MAX_CHUNK_SIZE {
        if let Some(tx) = append_message(rx.try_recv().ok()?, chunk) {
            return Some(tx);
        }
    }
    None
}

/// Appends a line to `chunk`, or returns the reply channel of a flush.
fn append_message(message: Message, chunk: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match message {
        Message::Line(line) => {
            chunk.extend_from_slice(&line);
            None
        }
        Message::Flush(tx) => Some(tx),
    }
}
