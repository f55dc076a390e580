//! `diff`: shows the changes that publishing a set would make.

use clap::ArgMatches;
use entry::operator::{CheckRequest, DiffReply};

use super::required;
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let files = conf::read_dir(required(matches, "dir")?)?;
    conf::parse(&files)?;
    let client = Client::from_matches(matches)?;
    let reply: DiffReply = client
        .post("/v1/objects/diff", &CheckRequest { files })
        .await?;
    output::result(matches.get_flag("json"), &reply, || {
        format!("against revision {}\n{}", reply.revision, reply.difference)
    });
    Ok(())
}
