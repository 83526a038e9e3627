//! Reads settings on threads of their own, so that a file that can't be read at once keeps no request waiting.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures::channel::oneshot;
use quick_error::quick_error;

/// How long a reading may take until it is abandoned.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of abandoned readings that have not ended, for example because their file system does not answer.
const MAX_ABANDONED: usize = 8;

quick_error! {
    /// Why settings could not be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The file can't be opened, or its content is not valid.
        Unsound(findings: String) {
            display("{findings}")
        }
        /// The reading was abandoned.
        TimedOut {
            display("reading the file has taken more than {} s", READ_TIMEOUT.as_secs())
        }
        /// No reading was begun.
        TooManyAbandoned {
            display("{MAX_ABANDONED} earlier readings of the file have not ended")
        }
        /// No thread could be started for the reading.
        Thread(err: io::Error) {
            from()
            source(err)
            display("no thread could be started: {err}")
        }
    }
}

/// Reads the settings of one file.
pub struct SettingsReader<T> {
    read: Arc<dyn Fn() -> Result<T, String> + Send + Sync>,
    /// Each thread that reads holds a reference.
    running: Arc<()>,
}

impl<T: Send + 'static> SettingsReader<T> {
    /// Creates a reader that calls `read` for each reading.
    pub fn new(read: impl Fn() -> Result<T, String> + Send + Sync + 'static) -> Self {
        SettingsReader { read: Arc::new(read), running: Arc::default() }
    }

    /// Reads the settings once.
    ///
    /// # Errors
    ///
    /// Fails if they are not sound or can't be read in time.
    pub async fn read(&self) -> Result<T, ReadError> {
        if Arc::strong_count(&self.running) > MAX_ABANDONED {
            return Err(ReadError::TooManyAbandoned);
        }
        let (tx, rx) = oneshot::channel();
        let (read, running) = (Arc::clone(&self.read), Arc::clone(&self.running));
        thread::Builder::new().name("settings".to_owned()).spawn(move || {
            // Nobody receives the result of an abandoned reading.
            let _ = tx.send(read());
            drop(running);
        })?;
        match compio::time::timeout(READ_TIMEOUT, rx).await {
            Ok(Ok(read)) => read.map_err(ReadError::Unsound),
            Ok(Err(oneshot::Canceled)) => {
                Err(ReadError::Unsound("the reading panicked".to_owned()))
            }
            Err(_) => Err(ReadError::TimedOut),
        }
    }
}
