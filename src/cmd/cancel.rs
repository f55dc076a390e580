//! `cancel`: cancels a job permanently.

use clap::ArgMatches;
use kernel::Verdict;
use proto::messages::CancelReply;

use super::{required, submit::job_name};
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let job = job_name(required(matches, "job")?)?;
    let client = Client::from_matches(matches)?;
    let path = format!("/v1/jobs/{job}/cancel");
    let reply: CancelReply = client.post(&path, &serde_json::json!({})).await?;
    match reply.verdict {
        Verdict::Done => {}
        Verdict::NotRun => return Err(CommandError::not_run(format!("{job} was not cancelled"))),
        Verdict::MayHaveRun => {
            return Err(CommandError::may_have_run(format!(
                "it is not known whether {job} was cancelled; repeat the command"
            )));
        }
    }
    output::result(matches.get_flag("json"), &reply, || {
        format!("cancelled {job}: none of its tasks will start")
    });
    Ok(())
}
