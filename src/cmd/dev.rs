//! `dev`: the whole system in one process.

use clap::ArgMatches;
use dev::{Plan, System, demo};

use super::until_signal;
use crate::failure::CommandError;

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    observe::logs::init_with("warn");
    let runs_demo = matches.get_flag("demo");
    smol::block_on(serve(runs_demo))
}

async fn serve(runs_demo: bool) -> Result<(), CommandError> {
    let system = System::start(Plan::default())
        .await
        .map_err(CommandError::not_run)?;
    show(&system);
    if runs_demo {
        let outcome = demo::run(&system, |step| println!("- {step}")).await;
        system.stop().await;
        print(&outcome.map_err(CommandError::not_run)?);
        return Ok(());
    }
    println!("Press Ctrl-C to stop.");
    until_signal().await?;
    system.stop().await;
    Ok(())
}

fn show(system: &System) {
    for entry in system.running() {
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

fn print(outcome: &demo::Outcome) {
    for report in &outcome.reports {
        println!("\n{report}");
    }
    println!(
        "{} lookups answered whole, {} not; p50 {} us, p99 {} us",
        outcome.lookups.micros.len(),
        outcome.lookups.failed,
        outcome.lookups.quantile(500),
        outcome.lookups.quantile(990),
    );
    println!(
        "{} tasks finished, each once and in one place at a time",
        outcome.finished
    );
}
