//! The `hemlockmoor` program: thin commands over the library.

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
            output::failure(&error, cli::wants_json(&matches));
            error.exit_code()
        }
    }
}
