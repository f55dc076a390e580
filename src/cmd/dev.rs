//! `dev`: the whole system in one process.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use dev::{Plan, Platform, System, demo, platform::Files};

use super::wait_for_signal;
use crate::failure::CommandError;

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let _logs = observe::logs::init_on_stderr();
    if let Some(directory) = matches.get_one::<PathBuf>("platform") {
        return smol::block_on(serve_platform(directory));
    }
    let runs_demo = matches.get_flag("demo");
    smol::block_on(serve(runs_demo))
}

/// Runs only the stand-ins for the platform; the user starts the daemons.
async fn serve_platform(directory: &Path) -> Result<(), CommandError> {
    let platform = Platform::start(Plan::default())
        .await
        .map_err(CommandError::not_run)?;
    let files = platform
        .write(directory)
        .await
        .map_err(CommandError::not_run)?;
    print_commands(&files);
    println!("\nThe stand-ins run until Ctrl-C; their data is not kept.");
    wait_for_signal().await
}

/// Prints the commands to copy into other terminals.
fn print_commands(files: &Files) {
    println!("Start the daemons, each in its own terminal or in the background:");
    for file in &files.entries {
        println!("  hemlockmoor entry --settings {}", file.display());
    }
    for file in &files.agents {
        println!("  hemlockmoor agent --settings {}", file.display());
    }
    println!("\nThen, as an operator:");
    println!("  export HEMLOCKMOOR_ENTRY={}", files.operators);
    println!(
        "  export HEMLOCKMOOR_SECRET_FILE={}",
        files.operator_secret.display()
    );
    println!("  hemlockmoor apply {} --wait", files.objects.display());
    println!("\nAnd as a caller:");
    println!("  curl http://{}/{}/", files.callers, dev::plan::SERVICE);
}

async fn serve(runs_demo: bool) -> Result<(), CommandError> {
    let system = System::start(Plan::default())
        .await
        .map_err(CommandError::not_run)?;
    print_addresses(&system);
    if runs_demo {
        let outcome = demo::run(&system, |step| println!("- {step}")).await;
        system.stop().await;
        print_outcome(&outcome.map_err(CommandError::not_run)?);
        return Ok(());
    }
    println!("Press Ctrl-C to stop.");
    wait_for_signal().await?;
    system.stop().await;
    Ok(())
}

fn print_addresses(system: &System) {
    for entry in system.running_entries() {
        println!(
            "entry: callers http://{}/{}/, operators http://{}/ (secret {:?})",
            entry.callers,
            dev::plan::SERVICE,
            entry.operators,
            dev::plan::OPERATOR_SECRET,
        );
    }
    for vm in &system.vms {
        let Some(agent) = &vm.agent else {
            continue;
        };
        println!("agent: {} at http://{}/metrics", vm.name, agent.health);
    }
}

fn print_outcome(outcome: &demo::DemoOutcome) {
    for report in &outcome.reports {
        println!("\n{report}");
    }
    println!(
        "{} lookups succeeded, {} failed; p50 {} us, p99 {} us",
        outcome.lookups.latencies_micros.len(),
        outcome.lookups.failed,
        outcome.lookups.quantile(500),
        outcome.lookups.quantile(990),
    );
    println!(
        "{} tasks finished, each once and on one VM at a time",
        outcome.finished_tasks
    );
}
