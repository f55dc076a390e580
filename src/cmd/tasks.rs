//! `tasks`: lists tasks with their attempt, state, VM and availability zone.

use clap::ArgMatches;
use proto::messages::{JobReply, TaskSummary};

use super::jobs::{jobs_path, state_name};
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = Client::from_matches(matches)?;
    let job = matches.get_one::<String>("job").map(String::as_str);
    let reply: JobReply = client.get(&jobs_path(job, true)).await?;
    let mut tasks: Vec<TaskSummary> = reply.jobs.into_iter().flat_map(|part| part.tasks).collect();
    tasks.sort_by(|a, b| a.run.cmp(&b.run));
    output::result(matches.get_flag("json"), &tasks, || table(&tasks));
    Ok(())
}

fn table(tasks: &[TaskSummary]) -> String {
    if tasks.is_empty() {
        return "no tasks".to_owned();
    }
    let rows = tasks.iter().map(|task| {
        let vm = task.vm.as_ref().map_or("-", |vm| vm.as_str());
        let zone = task.zone.as_ref().map_or("-", |zone| zone.as_str());
        format!(
            "{}\t{}\t{vm}\t{zone}\t{}",
            task.run,
            state_name(task.state),
            task.note
        )
    });
    rows.collect::<Vec<_>>().join("\n")
}
