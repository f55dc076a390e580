//! `jobs`: what became of jobs.

use std::{collections::BTreeMap, time::Duration};

use clap::ArgMatches;
use kernel::{Clock, JobName, TaskState, TeamName};
use proto::messages::JobReply;
use serde::Serialize;

use crate::{client::Client, failure::CommandError, output};

/// How often a watched list is asked for.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long a watched list may be refused without interruption.
const PATIENCE: Duration = Duration::from_secs(60);

/// One job over all cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct JobLine {
    job: JobName,
    team: TeamName,
    tasks: u32,
    states: BTreeMap<String, u32>,
    ended: bool,
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = Client::of(matches)?;
    let json = matches.get_flag("json");
    let path = path(matches.get_one::<String>("job").map(String::as_str), false);
    if !matches.get_flag("watch") {
        let lines = lines(&client.get(&path).await?);
        output::result(json, &lines, || table(&lines));
        return Ok(());
    }
    watch(&client, &path, json).await
}

/// Prints changes until every job has ended.
///
/// A list is refused while an entry that owns a part of it is being replaced;
/// that is waited out.
async fn watch(client: &Client, path: &str, json: bool) -> Result<(), CommandError> {
    let clock = Clock::start();
    let mut shown = Vec::new();
    let mut give_up_at = clock.now();
    loop {
        match client.get::<JobReply>(path).await {
            Ok(reply) => {
                give_up_at = clock.now() + PATIENCE;
                let lines = lines(&reply);
                if lines != shown {
                    output::result(json, &lines, || table(&lines));
                    shown.clone_from(&lines);
                }
                if !lines.is_empty() && lines.iter().all(|line| line.ended) {
                    return Ok(());
                }
            }
            Err(error) if give_up_at.passed(clock.now()) => return Err(error),
            Err(error) => output::progress(&format!("waiting: {error}")),
        }
        smol::Timer::after(INTERVAL).await;
    }
}

/// The path that lists one job or all of them.
pub(super) fn path(job: Option<&str>, tasks: bool) -> String {
    let job = job.map_or(String::new(), |job| format!("&job={job}"));
    format!("/v1/jobs?tasks={tasks}{job}")
}

/// A state as it is printed.
pub(super) fn state_name(state: TaskState) -> String {
    let name = serde_json::to_value(state).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

fn lines(reply: &JobReply) -> Vec<JobLine> {
    let mut jobs: BTreeMap<JobName, JobLine> = BTreeMap::new();
    for part in &reply.jobs {
        let spec = &part.spec;
        let line = jobs.entry(spec.name.clone()).or_insert_with(|| JobLine {
            job: spec.name.clone(),
            team: spec.team.clone(),
            tasks: spec.tasks,
            states: BTreeMap::new(),
            ended: true,
        });
        for count in &part.counts {
            if count.count == 0 {
                continue;
            }
            *line.states.entry(state_name(count.state)).or_default() += count.count;
            line.ended &= count.state.is_final();
        }
    }
    jobs.into_values().collect()
}

fn table(lines: &[JobLine]) -> String {
    if lines.is_empty() {
        return "no jobs".to_owned();
    }
    let rows = lines.iter().map(|line| {
        let states = line
            .states
            .iter()
            .map(|(state, count)| format!("{count} {state}"));
        let states: Vec<String> = states.collect();
        format!(
            "{}\t{}\t{} tasks\t{}",
            line.job,
            line.team,
            line.tasks,
            states.join(", ")
        )
    });
    rows.collect::<Vec<_>>().join("\n")
}
