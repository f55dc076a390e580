//! What was sent, answered and run, with the seconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let secs = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{secs:8.3} {text}");
    }
}
