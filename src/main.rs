//! The `hemlockmoor` program: commands that call the crates of the workspace.

mod cli;
mod client;
mod cmd;
mod failure;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::failure(&error, cli::is_json_requested(&matches));
            error.exit_code()
        }
    }
}
