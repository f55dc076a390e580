//! Request to submit a job: a complete specification, or the name of a published
//! template.

use kernel::{JobName, JobSpec, ObjectSet, TaskClass, Time, Verdict};
use serde::{Deserialize, Serialize};

use super::Failure;

/// The body of `POST /v1/jobs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitRequest {
    /// A job with a complete specification.
    Spec(JobSpec),
    /// A job made from a published template.
    Template(FromTemplate),
}

/// A job made from a published template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FromTemplate {
    /// Name of the template.
    pub template: JobName,
    /// Name of the new job; a repeated submit under the same name is detected.
    pub name: JobName,
    /// Number of tasks; `None` takes that of the template.
    #[serde(default)]
    pub tasks: Option<u32>,
    /// When the whole job has to be finished; `None` sets no deadline.
    #[serde(default)]
    pub finish_by: Option<Time>,
}

impl SubmitRequest {
    /// Returns the job's specification, completed from its template in `objects`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if there is no such template.
    pub fn into_spec(self, objects: &ObjectSet) -> Result<JobSpec, Failure> {
        let job = match self {
            Self::Spec(spec) => return Ok(spec),
            Self::Template(job) => job,
        };
        let Some(template) = objects.templates.get(&job.template) else {
            let message = format!("there is no job template named {}", job.template);
            return Err(Failure::new(Verdict::NotRun, message));
        };
        Ok(JobSpec {
            name: job.name,
            team: template.team.clone(),
            class: TaskClass::Batch,
            urgency: template.urgency,
            tasks: job.tasks.unwrap_or(template.tasks),
            need: template.need,
            expected_run: std::time::Duration::from_millis(template.expected_run_millis),
            finish_by: job.finish_by,
            service: None,
            program: template.program.clone(),
        })
    }
}
