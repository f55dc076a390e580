//! The stand-ins and clients of the scripts in `review/6` to `review/10`.
//!
//! `standin CASE FOLDER` plays one case and writes FOLDER/record.txt. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod worker;
mod world;

use std::{env, path::Path, process::exit, thread, time::Duration};

/// Longest duration of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case has found.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("standin CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    record.note(&format!("case {case}, trouble {trouble}"));
    let (case, for_case) = (case.clone(), record.clone());
    let (sender, receiver) = std::sync::mpsc::channel();
    // The world ends with the case, and with it the processes, also after a panic.
    thread::spawn(move || {
        let verdict = cases::play(&case, for_case, trouble);
        let _ = sender.send(verdict);
    });
    let verdict = receiver.recv_timeout(LIMIT).unwrap_or(Verdict::NotRun(
        "the case ended by itself or took too long".to_owned(),
    ));
    let (code, text) = match verdict {
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::Held(why) => (0, format!("held: {why}")),
        Verdict::NotRun(why) => (2, format!("not run: {why}")),
    };
    record.note(&text);
    world::end_children();
    println!("{text}");
    exit(code);
}
