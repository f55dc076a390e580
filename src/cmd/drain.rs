//! `drain`: stop giving work to a VM, or with `--undo` let it take work again.

use clap::ArgMatches;
use kernel::VmName;

use super::{required, zone::post_edit};
use crate::failure::CommandError;

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let vm = VmName::new(required(matches, "vm")?)
        .map_err(|error| CommandError::usage(error.to_string()))?;
    let action = match matches.get_flag("undo") {
        true => "undrain",
        false => "drain",
    };
    post_edit(matches, &format!("/v1/vms/{vm}/{action}")).await
}
