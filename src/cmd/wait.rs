//! Waits until a revision is in force at every live process.

use std::time::Duration;

use clap::ArgMatches;
use entry::operator::{ProcessRevision, Revisions};
use kernel::{Clock, Revision, Time};

use crate::{cli, client::Client, failure::CommandError, output};

/// Interval between two requests to the entry.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of the lagging processes that an error names.
const MAX_NAMED_PROCESSES: usize = 5;

/// Waits for `revision` if `--wait` was given.
pub(crate) async fn if_requested(
    matches: &ArgMatches,
    client: &Client,
    revision: Revision,
) -> Result<(), CommandError> {
    if !matches.get_flag("wait") {
        return Ok(());
    }
    let timeout = Duration::from_secs(cli::wait_secs(matches));
    let clock = Clock::start();
    until_in_force(client, revision, clock, clock.now() + timeout).await
}

async fn until_in_force(
    client: &Client,
    revision: Revision,
    clock: Clock,
    deadline: Time,
) -> Result<(), CommandError> {
    let mut last_message = String::new();
    loop {
        let revisions: Revisions = client.get("/v1/revisions").await?;
        let (lagging, all) = lagging(&revisions, revision);
        let message = format!(
            "revision {revision} in force at {} of {all}",
            all - lagging.len()
        );
        if message != last_message {
            output::progress(&message);
            last_message = message;
        }
        if lagging.is_empty() && revisions.here >= revision {
            return Ok(());
        }
        if deadline.passed(clock.now()) {
            let names = lagging
                .iter()
                .take(MAX_NAMED_PROCESSES)
                .map(|process| process.name.as_str());
            let names: Vec<&str> = names.collect();
            let message = format!(
                "revision {revision} is published but not in force at {} of {all} yet, such as {}",
                lagging.len(),
                names.join(", ")
            );
            return Err(CommandError::may_have_run(message));
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the processes with an older revision in force, and the number of all
/// processes.
fn lagging(revisions: &Revisions, revision: Revision) -> (Vec<&ProcessRevision>, usize) {
    let all: Vec<&ProcessRevision> = revisions.entries.iter().chain(&revisions.vms).collect();
    let count = all.len();
    let lagging = all
        .into_iter()
        .filter(|process| process.revision < revision);
    (lagging.collect(), count)
}
