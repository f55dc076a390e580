//! `submit`: submits a job from a file or from a published template.

use std::{fs, time::Duration};

use clap::ArgMatches;
use entry::operator::{FromTemplate, SubmitRequest};
use kernel::{JobName, JobSpec, Resources, ServiceName, TaskClass, TeamName, Urgency, Verdict};
use proto::messages::SubmitReply;
use serde::{Deserialize, Serialize};

use super::required;
use crate::{client::Client, failure::CommandError, output};

/// The format of a job file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFile {
    name: JobName,
    team: TeamName,
    #[serde(default)]
    class: TaskClass,
    #[serde(default)]
    urgency: Urgency,
    tasks: u32,
    need: Resources,
    expected_run_millis: u64,
    finish_by: Option<String>,
    service: Option<ServiceName>,
    #[serde(default)]
    program: String,
}

impl JobFile {
    fn into_spec(self, file: &str) -> Result<JobSpec, CommandError> {
        let finish_by = self.finish_by.as_deref().map(report::format::parse_time);
        let finish_by = finish_by.transpose();
        Ok(JobSpec {
            name: self.name,
            team: self.team,
            class: self.class,
            urgency: self.urgency,
            tasks: self.tasks,
            need: self.need,
            expected_run: Duration::from_millis(self.expected_run_millis),
            finish_by: finish_by
                .map_err(|error| CommandError::usage(format!("{file}: finish_by: {error}")))?,
            service: self.service,
            program: self.program,
        })
    }
}

/// The JSON output for an accepted job.
#[derive(Serialize)]
struct Accepted {
    job: JobName,
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let req = match matches.get_one::<String>("template") {
        Some(template) => SubmitRequest::Template(from_template(matches, template)?),
        None => SubmitRequest::Spec(read_spec(required(matches, "file")?)?),
    };
    let job = match &req {
        SubmitRequest::Spec(spec) => spec.name.clone(),
        SubmitRequest::Template(job) => job.name.clone(),
    };
    let client = Client::from_matches(matches)?;
    let reply: SubmitReply = client.post("/v1/jobs", &req).await?;
    match reply.verdict {
        Verdict::Done => {}
        Verdict::NotRun => return Err(CommandError::not_run(reply.reason)),
        Verdict::MayHaveRun => return Err(CommandError::may_have_run(reply.reason)),
    }
    let text = format!("accepted {job}");
    output::result(matches.get_flag("json"), &Accepted { job }, || text);
    Ok(())
}

fn from_template(matches: &ArgMatches, template: &str) -> Result<FromTemplate, CommandError> {
    let name = required(matches, "name")?;
    Ok(FromTemplate {
        template: job_name(template)?,
        name: job_name(name)?,
        tasks: matches.get_one::<u32>("tasks").copied(),
        finish_by: time_arg(matches, "finish-by")?,
    })
}

/// Parses a job's name from the command line.
pub(super) fn job_name(name: &str) -> Result<JobName, CommandError> {
    JobName::new(name).map_err(|error| CommandError::usage(error.to_string()))
}

/// Parses the time in the argument `name`; `None` if it was not given.
pub(super) fn time_arg(
    matches: &ArgMatches,
    name: &str,
) -> Result<Option<kernel::Time>, CommandError> {
    let Some(text) = matches.get_one::<String>(name) else {
        return Ok(None);
    };
    let time = report::format::parse_time(text);
    time.map(Some)
        .map_err(|error| CommandError::usage(format!("--{name}: {error}")))
}

fn read_spec(file: &str) -> Result<JobSpec, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
    let job: JobFile = conf::from_toml(file, &text)?;
    job.into_spec(file)
}
