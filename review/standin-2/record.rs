//! The record of a script: what was sent, answered and run, with the time since its start.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A run of a task as a worker has seen it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
    pub started_s: f64,
    pub ended: Option<(f64, String)>,
}

struct State {
    file: File,
    runs: Vec<Seen>,
    /// Times of refused starts, by task.
    refused: BTreeMap<String, Vec<f64>>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt");
        let state = State {
            file,
            runs: Vec::new(),
            refused: BTreeMap::new(),
        };
        Record {
            began: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:8.3} {text}", self.now_s());
    }

    pub fn started(&self, worker: &str, task: &str, run: u64, checkpoint: &str) {
        self.note(&format!(
            "run {task}/{run} starts on {worker}, checkpoint {checkpoint:?}"
        ));
        let seen = Seen {
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            checkpoint: checkpoint.to_owned(),
            started_s: self.now_s(),
            ended: None,
        };
        self.state.lock().unwrap().runs.push(seen);
    }

    pub fn refused(&self, worker: &str, task: &str, run: u64, reason: &str) {
        self.note(&format!(
            "start of {task}/{run} refused on {worker}: {reason}"
        ));
        let now = self.now_s();
        let mut state = self.state.lock().unwrap();
        state.refused.entry(task.to_owned()).or_default().push(now);
    }

    pub fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.note(&format!("run {task}/{run} ends {how} on {worker}"));
        let now = self.now_s();
        let mut state = self.state.lock().unwrap();
        let open = state.runs.iter_mut().rev().find(|seen| {
            seen.worker == worker && seen.task == task && seen.run == run && seen.ended.is_none()
        });
        if let Some(seen) = open {
            seen.ended = Some((now, how.to_owned()));
        }
    }

    pub fn runs(&self) -> Vec<Seen> {
        self.state.lock().unwrap().runs.clone()
    }

    /// The runs of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Seen> {
        let prefix = format!("{job}.");
        let mut runs = self.runs();
        runs.retain(|seen| seen.task.starts_with(&prefix));
        runs
    }
}
