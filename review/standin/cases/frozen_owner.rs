//! The entry that owns the jobs freezes and wakes again after another one has taken over. It must
//! answer again. Some deployments are played at once, each with some freezes, since the fault
//! depends on the order of events in the milliseconds after an entry has woken.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http, is_trouble,
    record::Record,
    system::{Plan, Route, SECOND, SIGCONT, SIGSTOP, SIGTERM, System, job, step},
};

const QUEUES: [Route; 2] = [
    ("r-3hwrr6x", "/lohu930/", 0, 2),
    ("r-73d3zji", "/pufi791/", 2, 3),
];
const DEPLOYMENTS: usize = 16;
/// At most as long as on the site, in milliseconds, in turn. The key of an owner lasts 3 s.
const FREEZES_MS: [u64; 4] = [3_000, 3_200, 3_500, 4_000];
/// How long the owners of a deployment freeze in turn.
const LENGTH: Duration = Duration::from_secs(76);
/// How long an entry that has woken may take to answer, `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
const CLIENTS: usize = 36;

/// Whether an entry answers its readiness check, with whatever status.
fn answers(system: &System, entry: usize) -> bool {
    let ready = system.entries[entry].ready;
    http::call(ready, "GET", "/readiness", &[], "", SECOND).is_some()
}

/// Hands jobs in until `is_over`.
fn run_client(system: &System, client: usize, is_over: &AtomicBool) {
    let mut index = 0;
    while !is_over.load(Ordering::SeqCst) {
        let queue = QUEUES[(client + index) % 2].1;
        let path = format!("{queue}5c0e7a21{client:02x}{index:06x}");
        let count = 1 + (client + index) as i64 % 6;
        let ms = 300 + 350 * (index as i64 % 7);
        let steps = vec![step(count, 2_500, 500, ms, &[])];
        let body = job(&format!("ms={ms} cpu=2500 mem=500"), steps, &[]);
        system.client(client % 3, "POST", &path, &body);
        index += 1;
        thread::sleep(2 * SECOND);
    }
}

/// Freezes owners in turn; returns the entry that does not answer any more.
fn freeze_owners(system: &System) -> Option<usize> {
    let until = system.record.elapsed() + LENGTH;
    for freeze_ms in FREEZES_MS.into_iter().cycle() {
        if system.record.elapsed() > until {
            break;
        }
        let Some(owner) = system.owner() else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        if is_trouble() {
            let name = &system.entries[owner].name;
            system
                .record
                .line(&format!("{name} freezes for {freeze_ms} ms"));
            system.entries[owner].signal(SIGSTOP);
        }
        thread::sleep(Duration::from_millis(freeze_ms));
        system.entries[owner].signal(SIGCONT);
        thread::sleep(Duration::from_millis(500));
        let woken_at = Instant::now();
        let mut is_answering = answers(system, owner);
        while woken_at.elapsed() < RECOVERY && !is_answering {
            thread::sleep(Duration::from_millis(500));
            is_answering = answers(system, owner);
        }
        if !is_answering {
            return Some(owner);
        }
    }
    None
}

fn describe_hang(system: &System, owner: usize, record: &Record) -> bool {
    let entry = &system.entries[owner];
    let before = entry.processor_ticks();
    thread::sleep(3 * SECOND);
    let used = entry.processor_ticks() - before;
    record.say(&format!(
        "{} has answered nothing for 13 s since it woke, and uses {used} of 300 hundredths of a second of a core",
        entry.name
    ));
    entry.signal(SIGTERM);
    thread::sleep(7 * SECOND);
    let has_ended = entry.processor_ticks() == 0;
    record.say(&format!(
        "7 s after SIGTERM its process has ended: {has_ended}"
    ));
    !answers(system, owner)
}

pub fn play(record_path: &Path) -> Verdict {
    let plan = Plan {
        entries: 3,
        workers: 8,
        cpu: 16_000,
        mem_mb: 64_000,
    };
    let record = Arc::new(Record::create(record_path));
    let mut systems = Vec::new();
    for number in 0..DEPLOYMENTS {
        let path = record_path.with_file_name(format!("record-{number}.txt"));
        systems.push(Arc::new(System::start(&plan, &QUEUES, &path)));
    }
    let plays: Vec<_> = systems
        .iter()
        .map(|system| {
            let (system, record) = (Arc::clone(system), Arc::clone(&record));
            thread::spawn(move || {
                if !system.is_ready() {
                    return None;
                }
                let is_over = Arc::new(AtomicBool::new(false));
                let clients: Vec<_> = (0..CLIENTS)
                    .map(|client| {
                        let (system, is_over) = (Arc::clone(&system), Arc::clone(&is_over));
                        thread::spawn(move || run_client(&system, client, &is_over))
                    })
                    .collect();
                thread::sleep(3 * SECOND);
                let hung = freeze_owners(&system);
                is_over.store(true, Ordering::SeqCst);
                for client in clients {
                    let _ = client.join();
                }
                Some(hung.is_some_and(|owner| describe_hang(&system, owner, &record)))
            })
        })
        .collect();
    let results: Vec<Option<bool>> = plays
        .into_iter()
        .map(|play| play.join().ok().flatten())
        .collect();
    let played = results.iter().flatten().count();
    let hung = results.iter().flatten().filter(|is_hung| **is_hung).count();
    record.say(&format!(
        "{hung} of {played} deployments have an entry that hangs"
    ));
    match (hung, played) {
        (_, 0) => Verdict::CouldNotRun("the systems did not become ready".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
