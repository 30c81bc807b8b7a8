//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Seconds since the start.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds a line with the present time.
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line.
    pub fn note_at(&self, time: Instant, text: &str) {
        let at = self.at(time);
        let mut file = self.file.lock().expect("no thread fails with the lock");
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}
