//! Waiting until a revision is in force at every live process.

use std::time::Duration;

use clap::ArgMatches;
use entry::operator::{ProcessRevision, Revisions};
use kernel::{Clock, Revision, Time};

use crate::{cli, client::Client, failure::CommandError, output};

/// How often the entry is asked.
const INTERVAL: Duration = Duration::from_millis(250);
/// How many laggards are named in an error.
const NAMED: usize = 5;

/// Waits if `--wait` was given.
pub(crate) async fn if_asked(
    matches: &ArgMatches,
    client: &Client,
    revision: Revision,
) -> Result<(), CommandError> {
    if !matches.get_flag("wait") {
        return Ok(());
    }
    let span = Duration::from_secs(cli::wait_secs(matches));
    let clock = Clock::start();
    until_in_force(client, revision, clock, clock.now() + span).await
}

async fn until_in_force(
    client: &Client,
    revision: Revision,
    clock: Clock,
    deadline: Time,
) -> Result<(), CommandError> {
    let mut shown = String::new();
    loop {
        let revisions: Revisions = client.get("/v1/revisions").await?;
        let (behind, all) = behind(&revisions, revision);
        let message = format!(
            "revision {revision} in force at {} of {all}",
            all - behind.len()
        );
        if message != shown {
            output::progress(&message);
            shown = message;
        }
        if behind.is_empty() && revisions.here >= revision {
            return Ok(());
        }
        if deadline.passed(clock.now()) {
            let names = behind
                .iter()
                .take(NAMED)
                .map(|process| process.name.as_str());
            let names: Vec<&str> = names.collect();
            let message = format!(
                "revision {revision} is published but not in force at {} of {all} yet, such as {}",
                behind.len(),
                names.join(", ")
            );
            return Err(CommandError::may_have_run(message));
        }
        smol::Timer::after(INTERVAL).await;
    }
}

/// The processes that lag, and how many there are in all.
fn behind(revisions: &Revisions, revision: Revision) -> (Vec<&ProcessRevision>, usize) {
    let all: Vec<&ProcessRevision> = revisions.entries.iter().chain(&revisions.vms).collect();
    let count = all.len();
    let behind = all
        .into_iter()
        .filter(|process| process.revision < revision);
    (behind.collect(), count)
}
