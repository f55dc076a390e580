//! Prints the cost of checking, publishing and reading a set at three sizes.
//!
//! `cargo run --release -p conf --example publish_cost`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use conf::{
    SourceFile, diff, parse,
    publish::{ApplyId, ApplyInfo, Loader, publish, read_head},
    render::to_toml,
};
use fakes::store::{CallCounts, MemStore};
use kernel::{
    ObjectSet, Resources, Time,
    object::{AvailabilityZone, JobTemplate, Limit, Objective, Service, Team, WorkerPool},
};
use store::{KeyRange, keys};

/// Number of teams: about today's size, half of the target and the target.
const TEAMS: [u32; 3] = [8, 390, 780];
const ZONES: u32 = 7;
const TEMPLATES_PER_TEAM: u32 = 5;
/// Number of runs of each measurement; the shortest is printed.
const REPEATS: u32 = 5;

type AnyError = Box<dyn std::error::Error>;

fn main() -> Result<(), AnyError> {
    println!(
        "teams objects TOML[KiB] check[ms] diff[ms] chunks head[B] publish[calls] \
         change[calls] change[KiB] change[ms] load[ms] reload[calls] reload[ms]"
    );
    for teams in TEAMS {
        smol::block_on(measure(teams))?;
    }
    Ok(())
}

async fn measure(teams: u32) -> Result<(), AnyError> {
    let set = sample_set(teams)?;
    let text = to_toml(&set);
    let kib = text.len() / 1024;
    let sources = [SourceFile {
        file: "set.toml".to_owned(),
        text,
    }];
    let (check_time, checked) = shortest(|| parse(&sources));
    let checked = checked?;
    let mut changed = checked.clone();
    for template in changed.templates.values_mut().take(1) {
        template.tasks += 1;
    }
    let (diff_time, _) = shortest(|| diff(&checked, &changed));

    let store = MemStore::with_manual_time();
    let first = count_calls(&store, publish(&store, &checked, &apply("first"), None)).await?;
    let mut loader = Loader::default();
    let started = Instant::now();
    loader.load(&store).await?;
    let load_time = started.elapsed();
    let chunks = store.peek(&KeyRange::prefix(keys::config_chunk("")));
    let before = read_head(&store).await?.chunk_hashes();

    let started = Instant::now();
    let second = count_calls(&store, publish(&store, &changed, &apply("second"), None)).await?;
    let change_time = started.elapsed();
    let written = store.peek(&KeyRange::prefix(keys::config_chunk("")));
    let written = written
        .iter()
        .filter(|kv| !before.iter().any(|hash| kv.key.ends_with(hash)));
    let written: usize = written.map(|kv| kv.value.len()).sum();
    let started = Instant::now();
    let again = count_calls(&store, loader.load(&store)).await?;
    let reload_time = started.elapsed();
    let head = store.peek(&KeyRange::one(keys::CONFIG_HEAD))[0].value.len();
    println!(
        "{teams} {} {kib} {} {} {} {head} {first} {second} {} {} {} {again} {}",
        object_count(&checked),
        millis(check_time),
        millis(diff_time),
        chunks.len(),
        written / 1024,
        millis(change_time),
        millis(load_time),
        millis(reload_time),
    );
    Ok(())
}

fn millis(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1000.0)
}

fn shortest<T>(run: impl Fn() -> T) -> (Duration, T) {
    let mut best: Option<(Duration, T)> = None;
    for _ in 0..REPEATS {
        let started = Instant::now();
        let result = run();
        let span = started.elapsed();
        if best.as_ref().is_none_or(|(shortest, _)| span < *shortest) {
            best = Some((span, result));
        }
    }
    best.unwrap_or_else(|| unreachable!("REPEATS is at least 1"))
}

/// Returns the number of store calls that `run` makes.
async fn count_calls<T, E>(
    store: &MemStore,
    run: impl Future<Output = Result<T, E>>,
) -> Result<u64, E> {
    let before = CallCounts::total_calls(&store.counts());
    run.await?;
    Ok(CallCounts::total_calls(&store.counts()) - before)
}

fn apply(id: &str) -> ApplyInfo {
    ApplyInfo {
        id: ApplyId(id.to_owned()),
        who: "measuring".to_owned(),
        requested_at: Time::from_secs(1),
    }
}

fn object_count(set: &ObjectSet) -> usize {
    set.teams.len()
        + set.services.len()
        + set.templates.len()
        + set.zones.len()
        + set.limits.len()
        + set.pools.len()
}

fn sample_set(teams: u32) -> Result<ObjectSet, AnyError> {
    let mut set = ObjectSet::default();
    for zone in 0..ZONES {
        let region = format!("region-{}", zone % 3);
        let object = AvailabilityZone {
            region,
            ..AvailabilityZone::default()
        };
        set.zones.insert(format!("zone-{zone}").parse()?, object);
        let pool = WorkerPool {
            zones: vec![format!("zone-{zone}").parse()?],
            capacity: Resources::new(64_000, 262_144, 2),
            workers: 700,
        };
        set.pools.insert(format!("pool-{zone}").parse()?, pool);
    }
    set.limits.insert("lookups".parse()?, Limit::default());
    for number in 0..teams {
        add_team(&mut set, number)?;
    }
    Ok(set)
}

fn add_team(set: &mut ObjectSet, number: u32) -> Result<(), AnyError> {
    let name: Arc<str> = format!("team-{number:05}").into();
    let team = Team {
        weight: 1 + number % 10,
        quota: Resources::new(640_000, 2_621_440, 8),
        parent: None,
    };
    set.teams.insert(name.parse()?, team);
    let service = Service {
        team: name.parse()?,
        timeout_millis: 1_000,
        objective: Objective {
            latency_millis: 100,
            good_per_million: 999_000,
        },
        idempotent_methods: vec!["GET".to_owned(), "HEAD".to_owned()],
        limit: Some("lookups".parse()?),
        replicas: None,
    };
    set.services
        .insert(format!("service-{number:05}").parse()?, service);
    for part in 0..TEMPLATES_PER_TEAM {
        let template = JobTemplate {
            team: name.parse()?,
            urgency: kernel::Urgency::Normal,
            tasks: 100,
            need: Resources::new(1_000, 4_096, 0),
            expected_run_millis: 60_000,
            program: format!("program-{part} --of {name}"),
        };
        set.templates
            .insert(format!("job-{number:05}-{part}").parse()?, template);
    }
    Ok(())
}
