//! `apply`: publish the whole set.

use clap::ArgMatches;
use conf::publish::Published;
use entry::operator::ApplyRequest;
use kernel::Revision;

use super::{identity, required, wait};
use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let files = conf::read_dir(required(matches, "dir")?)?;
    // Finds errors before any request; the entry checks again.
    conf::parse(&files)?;
    let client = Client::from_matches(matches)?;
    let req = ApplyRequest {
        files,
        apply_id: identity::apply_id(matches),
        who: identity::who(matches),
        base: matches.get_one::<u64>("base").copied().map(Revision),
    };
    output::progress(&format!("apply id {}", req.apply_id.0));
    let published: Published = client.post("/v1/objects/apply", &req).await?;
    wait::if_requested(matches, &client, published.revision).await?;
    output::result(matches.get_flag("json"), &published, || {
        describe(&published)
    });
    Ok(())
}

/// Describes a publication as text.
pub(super) fn describe(published: &Published) -> String {
    match published.changed {
        true => format!("published revision {}", published.revision),
        false => format!("nothing to change at revision {}", published.revision),
    }
}
