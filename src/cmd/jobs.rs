//! `jobs`: lists jobs with the states of their tasks.

use std::{collections::BTreeMap, time::Duration};

use clap::ArgMatches;
use kernel::{Clock, JobName, TaskState, TeamName};
use proto::messages::JobReply;
use serde::Serialize;

use crate::{client::Client, failure::CommandError, output};

/// Interval between two requests of `--watch`.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long the requests of `--watch` may fail in a row.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(60);

/// One job, summed over the cells that hold parts of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct JobSummary {
    job: JobName,
    team: TeamName,
    tasks: u32,
    states: BTreeMap<String, u32>,
    ended: bool,
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = Client::from_matches(matches)?;
    let json = matches.get_flag("json");
    let path = jobs_path(matches.get_one::<String>("job").map(String::as_str), false);
    if !matches.get_flag("watch") {
        let summaries = summaries(&client.get(&path).await?);
        output::result(json, &summaries, || table(&summaries));
        return Ok(());
    }
    watch(&client, &path, json).await
}

/// Prints changes until every job has ended.
///
/// Requests fail while an entry that owns a part of the list is being replaced, so
/// failures are retried for up to [`FAILURE_TIMEOUT`].
async fn watch(client: &Client, path: &str, json: bool) -> Result<(), CommandError> {
    let clock = Clock::start();
    let mut printed = Vec::new();
    let mut deadline = clock.now();
    loop {
        match client.get::<JobReply>(path).await {
            Ok(reply) => {
                deadline = clock.now() + FAILURE_TIMEOUT;
                let summaries = summaries(&reply);
                if summaries != printed {
                    output::result(json, &summaries, || table(&summaries));
                    printed.clone_from(&summaries);
                }
                if !summaries.is_empty() && summaries.iter().all(|summary| summary.ended) {
                    return Ok(());
                }
            }
            Err(error) if deadline.passed(clock.now()) => return Err(error),
            Err(error) => output::progress(&format!("waiting: {error}")),
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the path that lists `job`, or all jobs if it is `None`.
pub(super) fn jobs_path(job: Option<&str>, tasks: bool) -> String {
    let job = job.map_or(String::new(), |job| format!("&job={job}"));
    format!("/v1/jobs?tasks={tasks}{job}")
}

/// Returns the serialized name of a state.
pub(super) fn state_name(state: TaskState) -> String {
    let name = serde_json::to_value(state).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

fn summaries(reply: &JobReply) -> Vec<JobSummary> {
    let mut jobs: BTreeMap<JobName, JobSummary> = BTreeMap::new();
    for part in &reply.jobs {
        let spec = &part.spec;
        let summary = jobs.entry(spec.name.clone()).or_insert_with(|| JobSummary {
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
            *summary.states.entry(state_name(count.state)).or_default() += count.count;
            summary.ended &= count.state.is_final();
        }
    }
    jobs.into_values().collect()
}

fn table(summaries: &[JobSummary]) -> String {
    if summaries.is_empty() {
        return "no jobs".to_owned();
    }
    let rows = summaries.iter().map(|summary| {
        let states = summary
            .states
            .iter()
            .map(|(state, count)| format!("{count} {state}"));
        let states: Vec<String> = states.collect();
        format!(
            "{}\t{}\t{} tasks\t{}",
            summary.job,
            summary.team,
            summary.tasks,
            states.join(", ")
        )
    });
    rows.collect::<Vec<_>>().join("\n")
}
