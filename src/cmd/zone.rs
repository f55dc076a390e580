//! `zone`: take an availability zone out or back in.

use clap::ArgMatches;
use conf::publish::Published;
use entry::operator::EditRequest;
use kernel::AvailabilityZoneName;

use super::{apply::describe, identity, required, wait};
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((direction, matches)) = matches.subcommand() else {
        return Err(CommandError::usage("use `zone out NAME` or `zone in NAME`"));
    };
    let name = AvailabilityZoneName::new(required(matches, "name")?)
        .map_err(|error| CommandError::usage(error.to_string()))?;
    post_edit(matches, &format!("/v1/zones/{name}/{direction}")).await
}

/// Posts an edit of the published set and, with `--wait`, waits until it is in force.
pub(super) async fn post_edit(matches: &ArgMatches, path: &str) -> Result<(), CommandError> {
    let client = Client::from_matches(matches)?;
    let req = EditRequest {
        apply_id: identity::apply_id(matches),
        who: identity::who(matches),
    };
    let published: Published = client.post(path, &req).await?;
    wait::if_requested(matches, &client, published.revision).await?;
    output::result(matches.get_flag("json"), &published, || {
        describe(&published)
    });
    Ok(())
}
