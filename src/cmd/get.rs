//! `get`: shows the object set in force.

use clap::ArgMatches;
use entry::operator::ObjectsReply;

use crate::{client::Client, failure::CommandError, output};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = Client::from_matches(matches)?;
    let reply: ObjectsReply = client.get("/v1/objects").await?;
    output::result(matches.get_flag("json"), &reply, || to_text(&reply));
    Ok(())
}

fn to_text(reply: &ObjectsReply) -> String {
    let proof = match reply.proof_age_millis {
        Some(age) => format!("proved to be the newest {age} ms ago"),
        None => "never proved to be the newest".to_owned(),
    };
    let objects = conf::render::to_toml(&reply.objects);
    format!("# revision {}, {proof}\n{objects}", reply.revision)
}
