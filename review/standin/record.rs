//! What was sent, answered and run, with the time since the start in milliseconds.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, line: &str) {
        let at = self.elapsed().as_millis();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:>6} {line}");
    }

    /// Also shows the line.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.line(line);
    }
}
