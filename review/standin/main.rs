//! The cases of the review that are scripts: `standin CASE RECORD`. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. Without the disruption if
//! TROUBLE=0.

use std::{path::Path, process::exit, thread, time::Duration};

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod worker;

/// Whether the case plays its disruption.
pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let record = Path::new(record);
    let play = match case.as_str() {
        "removed-route" => cases::removed_route::play,
        "same-rack" => cases::same_rack::play,
        "long-record" => cases::long_record::play,
        "frozen-owner" => cases::frozen_owner::play,
        "late-start" => cases::late_start::play,
        "late-write" => cases::late_write::play,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let (sender, result) = std::sync::mpsc::channel();
    let record = record.to_owned();
    // A panic of the case counts as one that could not run.
    thread::spawn(move || {
        let verdict = play(&record);
        let _ = sender.send(verdict);
    });
    match result.recv_timeout(Duration::from_secs(118)) {
        Ok(Verdict::Held) => println!("held"),
        Ok(Verdict::Broken) => {
            println!("BROKEN");
            exit(1);
        }
        Ok(Verdict::CouldNotRun(why)) => {
            println!("could not run: {why}");
            exit(2);
        }
        Err(error) => {
            println!("could not run: {error}");
            exit(2);
        }
    }
}
