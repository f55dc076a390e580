//! `zone`: take an availability zone out or back in.

use clap::ArgMatches;
use conf::publish::Published;
use entry::operator::EditRequest;
use kernel::AvailabilityZoneName;

use super::{apply::shown, identity, required, wait};
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((direction, matches)) = matches.subcommand() else {
        return Err(CommandError::usage("say `zone out NAME` or `zone in NAME`"));
    };
    let name = AvailabilityZoneName::new(required(matches, "name")?)
        .map_err(|error| CommandError::usage(error.to_string()))?;
    change(matches, &format!("/v1/zones/{name}/{direction}")).await
}

/// Makes one small change of the set in force.
pub(super) async fn change(matches: &ArgMatches, path: &str) -> Result<(), CommandError> {
    let client = Client::of(matches)?;
    let req = EditRequest {
        apply_id: identity::apply_id(matches),
        who: identity::who(matches),
    };
    let published: Published = client.post(path, &req).await?;
    wait::if_asked(matches, &client, published.revision).await?;
    output::result(matches.get_flag("json"), &published, || shown(&published));
    Ok(())
}
