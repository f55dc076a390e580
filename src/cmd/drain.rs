//! `drain`: let a VM run empty, or take work again.

use clap::ArgMatches;
use kernel::VmName;

use super::{required, zone::change};
use crate::failure::CommandError;

pub(super) async fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let vm = VmName::new(required(matches, "vm")?)
        .map_err(|error| CommandError::usage(error.to_string()))?;
    let action = match matches.get_flag("undo") {
        true => "undrain",
        false => "drain",
    };
    change(matches, &format!("/v1/vms/{vm}/{action}")).await
}
