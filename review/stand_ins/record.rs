//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Adds a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Adds a line, and prints it.
    pub fn report(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
