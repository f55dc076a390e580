//! Submits jobs to the measured entry.

use std::{net::SocketAddr, time::Duration};

use entry::operator::SubmitRequest;
use kernel::{JobSpec, Resources, TaskClass, Urgency};
use trillium_client::{Client, Status};
use trillium_smol::ClientConfig;

type Failure = Box<dyn std::error::Error>;

pub(crate) const SYSTEM_SECRET: &str = "the-system-secret-for-measuring";
pub(crate) const OPERATORS_SECRET: &str = "the-operators-secret-for-measuring";
/// Run time of a task, longer than any measurement.
pub(crate) const LONG_RUN: Duration = Duration::from_secs(3600);
const NEED: Resources = Resources::new(1000, 2000, 0);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a job of equal tasks that run for [`LONG_RUN`].
pub(crate) async fn submit(operators: SocketAddr, name: &str, tasks: u32) -> Result<(), Failure> {
    let spec = JobSpec {
        name: name.parse()?,
        team: "royalties".parse()?,
        class: TaskClass::Batch,
        urgency: Urgency::Normal,
        tasks,
        need: NEED,
        expected_run: LONG_RUN,
        finish_by: None,
        service: None,
        program: format!("run={}", LONG_RUN.as_millis()),
    };
    let client = Client::new(ClientConfig::default()).with_timeout(TIMEOUT);
    let mut conn = client
        .post(format!("http://{operators}/v1/jobs"))
        .with_request_header("authorization", format!("Bearer {OPERATORS_SECRET}"))
        .with_body(serde_json::to_string(&SubmitRequest::Spec(spec))?)
        .await?;
    let body = conn.response_body().read_string().await?;
    if conn.status() != Some(Status::Ok) {
        return Err(format!("the job was not accepted: {body}").into());
    }
    Ok(())
}
