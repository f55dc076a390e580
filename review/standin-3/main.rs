//! Plays the cases of the third review: `standin CASE RECORD`, with TROUBLE=0 without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

mod http;
mod json;
mod kv;
mod record;
mod system;
mod worker;

mod cases;

use std::{process::exit, sync::Arc, thread, time::Duration};

use record::Record;
use system::PROCESSES;

/// Less than the 120 s that a script may take.
const LONGEST: Duration = Duration::from_secs(112);

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let record = Arc::new(Record::new(path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let late = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LONGEST);
        late.line("verdict: could not run, the time is over");
        PROCESSES.kill_all();
        exit(2);
    });
    let playing = Arc::clone(&record);
    let case = case.clone();
    let played = thread::spawn(move || cases::play(&case, playing, has_trouble)).join();
    PROCESSES.kill_all();
    let (text, code) = match played {
        Ok(Ok(Verdict::Broken(why))) => (format!("verdict: the rule is broken: {why}"), 1),
        Ok(Ok(Verdict::Held(why))) => (format!("verdict: the rule holds: {why}"), 0),
        Ok(Err(why)) => (format!("verdict: could not run: {why}"), 2),
        Err(_) => (
            "verdict: could not run: the stand-in has failed".to_owned(),
            2,
        ),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
