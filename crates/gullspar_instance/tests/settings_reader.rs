//! Reading settings that can't be read at once.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::sync::{Arc, Condvar, Mutex};

use gullspar_instance::{ReadError, SettingsReader};

/// More readings than may be abandoned at a time.
const READINGS: usize = 9;

/// A file whose readings wait until it is released.
#[derive(Default)]
struct SlowFile {
    is_released: Mutex<bool>,
    released: Condvar,
}

impl SlowFile {
    fn read(&self) -> Result<u32, String> {
        let is_released = self.is_released.lock().unwrap();
        drop(self.released.wait_while(is_released, |it| !*it).unwrap());
        Ok(7)
    }

    fn release(&self) {
        *self.is_released.lock().unwrap() = true;
        self.released.notify_all();
    }
}

/// Guards against settings that are never read again, and threads without a bound, because a file system did not answer for a while.
#[test]
fn readings_that_hang_are_abandoned_and_later_ones_succeed() {
    let file: Arc<SlowFile> = Arc::default();
    let reader = SettingsReader::new({
        let file = Arc::clone(&file);
        move || file.read()
    });
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let readings = (0..READINGS).map(|_| reader.read());
        let results = futures::future::join_all(readings).await;
        let (refused, abandoned): (Vec<_>, Vec<_>) = results
            .into_iter()
            .map(Result::unwrap_err)
            .partition(|it| matches!(it, ReadError::TooManyAbandoned));
        assert_eq!((refused.len(), abandoned.len()), (1, READINGS - 1));
        assert!(abandoned.iter().all(|it| matches!(it, ReadError::TimedOut)));
        file.release();
        let mut reading = reader.read().await;
        while matches!(reading, Err(ReadError::TooManyAbandoned)) {
            compio::time::sleep(std::time::Duration::from_millis(10)).await;
            reading = reader.read().await;
        }
        assert_eq!(reading.unwrap(), 7);
    });
}
