//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, ValueHint, value_parser};
use clap_complete::Shell;

/// The program's name.
pub(crate) const NAME: &str = "hemlockmoor";
/// Default of `--wait-secs`, in seconds.
const DEFAULT_WAIT_SECS: &str = "60";

const ABOUT: &str = "A scheduler for VMs shared by latency-critical services and batch jobs";
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, and not run
  2  wrong usage
  3  outcome unknown: it may have run";

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .version(clap::crate_version!())
        .about(ABOUT)
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(daemons())
        .subcommands(objects())
        .subcommands(jobs())
        .subcommands([zone(), drain(), report(), settings(), completions()])
}

/// Returns whether `--json` was given to the command or one of its subcommands.
pub(crate) fn is_json_requested(matches: &ArgMatches) -> bool {
    let has_flag =
        |matches: &ArgMatches| matches!(matches.try_get_one::<bool>("json"), Ok(Some(true)));
    match matches.subcommand() {
        Some((_, inner)) => has_flag(matches) || is_json_requested(inner),
        None => has_flag(matches),
    }
}

/// The value of `--wait-secs`.
pub(crate) fn wait_secs(matches: &ArgMatches) -> u64 {
    matches
        .get_one::<u64>("wait-secs")
        .copied()
        .unwrap_or_default()
}

fn daemons() -> [Command; 3] {
    let settings = |about| {
        file_arg("settings", "F", about)
            .long("settings")
            .required_unless_present("platform")
            .conflicts_with("platform")
    };
    let platform = || {
        flag(
            "platform",
            "Run jobs of steps on the users' platform, with the settings that it provides",
        )
    };
    let metrics_port = || {
        Arg::new("metrics-port")
            .long("metrics-port")
            .value_name("PORT")
            .value_parser(clap::value_parser!(u16).range(1..))
            .requires("platform")
            .help(
                "Serve metrics at /metrics on this port; without --platform the settings say where",
            )
    };
    [
        Command::new("entry")
            .about("Run an entry: callers' and operators' HTTP, routing, placement")
            .args([
                settings("The settings of the entry"),
                platform(),
                metrics_port(),
            ])
            .after_help("Example:\n  hemlockmoor entry --settings /etc/hemlockmoor/entry.toml"),
        Command::new("agent")
            .about("Run an agent on the same VM as an endpoint or a worker")
            .args([
                settings("The settings of the agent"),
                platform(),
                metrics_port(),
            ])
            .after_help("Example:\n  hemlockmoor agent --settings /etc/hemlockmoor/agent.toml"),
        Command::new("dev")
            .about("Run the whole system in one process, with stand-ins for the platform")
            .arg(flag(
                "demo",
                "Run lookups and batch jobs, then print the reports",
            ))
            .arg(
                file_arg(
                    "platform",
                    "DIR",
                    "Run only the stand-ins, and write settings for entries and agents to DIR",
                )
                .long("platform")
                .value_hint(ValueHint::DirPath)
                .conflicts_with("demo"),
            )
            .after_help(
                "Examples:\n  hemlockmoor dev\n  hemlockmoor dev --demo\n  \
                 hemlockmoor dev --platform /tmp/moor",
            ),
    ]
}

fn objects() -> [Command; 4] {
    [
        Command::new("check")
            .about("Check a whole object set without an entry")
            .args([dir(), json()])
            .after_help("Example:\n  hemlockmoor check examples/maison-diagne/objects"),
        with_entry_args(Command::new("apply"))
            .about("Publish a whole object set")
            .arg(dir())
            .arg(
                value(
                    "base",
                    "REVISION",
                    "Refuse unless this revision is the newest",
                )
                .value_parser(value_parser!(u64)),
            )
            .args(change_args())
            .after_help(
                "Examples:\n  hemlockmoor apply objects --wait\n  \
                 hemlockmoor apply objects --base 41 --apply-id friday-limits",
            ),
        with_entry_args(Command::new("diff"))
            .about("Show what publishing an object set would change")
            .arg(dir())
            .after_help("Example:\n  hemlockmoor diff objects"),
        with_entry_args(Command::new("get"))
            .about("Show the object set in force")
            .after_help("Examples:\n  hemlockmoor get > objects.toml\n  hemlockmoor get --json"),
    ]
}

fn jobs() -> [Command; 4] {
    let job = |about: &'static str| Arg::new("job").value_name("JOB").help(about);
    [
        submit(),
        with_entry_args(Command::new("cancel"))
            .about("Cancel a job; it can't be resumed")
            .arg(job("The job").required(true))
            .after_help("Example:\n  hemlockmoor cancel statements-2026-49"),
        with_entry_args(Command::new("jobs"))
            .about("List jobs and the states of their tasks")
            .arg(job("Only this job"))
            .arg(flag(
                "watch",
                "Print changes until every listed job has ended",
            ))
            .after_help(
                "Examples:\n  hemlockmoor jobs\n  hemlockmoor jobs statements-2026-49 --watch",
            ),
        with_entry_args(Command::new("tasks"))
            .about("List tasks: attempt, state, VM, availability zone")
            .arg(job("Only the tasks of this job"))
            .after_help("Example:\n  hemlockmoor tasks statements-2026-49 --json"),
    ]
}

fn submit() -> Command {
    with_entry_args(Command::new("submit"))
        .about("Submit a job; repeating it under the same name changes nothing")
        .arg(
            file_arg("file", "FILE", "The job, as TOML")
                .value_parser(value_parser!(String))
                .required_unless_present("template")
                .conflicts_with("template"),
        )
        .arg(value("template", "NAME", "A published job template").requires("name"))
        .arg(value(
            "name",
            "JOB",
            "The name of the job made from the template",
        ))
        .arg(
            value(
                "tasks",
                "N",
                "The number of tasks, in place of the template's",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(value(
            "finish-by",
            "TIME",
            "The time by which the whole job has to be finished",
        ))
        .after_help(
            "Examples:\n  hemlockmoor submit reconciliation.toml\n  \
             hemlockmoor submit --template statements --name statements-2026-49",
        )
}

fn zone() -> Command {
    let direction = |name: &'static str, about: &'static str| {
        with_entry_args(Command::new(name))
            .about(about)
            .arg(
                Arg::new("name")
                    .value_name("NAME")
                    .required(true)
                    .help("The availability zone"),
            )
            .args(change_args())
    };
    Command::new("zone")
        .about("Take an availability zone out of service or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            direction("out", "Start nothing in the zone and move its work away"),
            direction("in", "Let the zone take work again"),
        ])
        .after_help("Examples:\n  hemlockmoor zone out medina --wait\n  hemlockmoor zone in medina")
}

fn drain() -> Command {
    with_entry_args(Command::new("drain"))
        .about("Let a VM run empty")
        .arg(
            Arg::new("vm")
                .value_name("VM")
                .required(true)
                .help("The VM"),
        )
        .arg(flag("undo", "Let the VM take work again"))
        .args(change_args())
        .after_help("Examples:\n  hemlockmoor drain vm-7 --wait\n  hemlockmoor drain vm-7 --undo")
}

fn report() -> Command {
    with_entry_args(Command::new("report"))
        .about("Show who used which resources, when, and at whose expense")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .required(true)
                .help("burn, allocations, expense, zones or wait"),
        )
        .arg(
            file_arg("html", "F", "Write a page with plots to this file")
                .long("html")
                .conflicts_with("json"),
        )
        .arg(value("from", "TIME", "The start of the reported period"))
        .arg(value("until", "TIME", "The end of the reported period"))
        .arg(value("team", "NAME", "Only this team"))
        .arg(value("service", "NAME", "Only this service"))
        .arg(value("zone", "NAME", "Only this availability zone"))
        .after_help(
            "Examples:\n  hemlockmoor report burn\n  \
             hemlockmoor report expense --team statements --html expense.html",
        )
}

fn settings() -> Command {
    Command::new("settings")
        .about("Check the settings of a daemon without starting it")
        .arg(
            file_arg("check", "F", "The settings of an entry or an agent")
                .long("check")
                .required(true),
        )
        .arg(json())
        .after_help("Example:\n  hemlockmoor settings --check entry.toml")
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
        .after_help("Example:\n  hemlockmoor completions bash > /etc/bash_completion.d/hemlockmoor")
}

/// Adds the arguments of a command that calls an entry.
fn with_entry_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDR")
                .env("HEMLOCKMOOR_ENTRY")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("The operators' address of an entry; several are tried in turn"),
        )
        .arg(
            file_arg("secret-file", "F", "The file with the operators' secret")
                .long("secret-file")
                .env("HEMLOCKMOOR_SECRET_FILE"),
        )
        .arg(json())
}

/// The arguments of each command that changes the published set.
fn change_args() -> [Arg; 4] {
    [
        flag(
            "wait",
            "Wait until the change is in force at every live process",
        ),
        value("wait-secs", "N", "How long to wait at most, in seconds")
            .value_parser(value_parser!(u64))
            .default_value(DEFAULT_WAIT_SECS),
        value(
            "apply-id",
            "ID",
            "Repeat an earlier change whose outcome is unknown",
        ),
        value(
            "who",
            "NAME",
            "The name recorded with the change; the user's name if left out",
        ),
    ]
}

fn dir() -> Arg {
    file_arg(
        "dir",
        "DIR",
        "The directory with the .toml files of the set",
    )
    .value_parser(value_parser!(String))
    .value_hint(ValueHint::DirPath)
    .required(true)
}

fn json() -> Arg {
    flag("json", "Print JSON")
}

fn flag(name: &'static str, about: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(about)
}

fn value(name: &'static str, value_name: &'static str, about: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(about)
}

fn file_arg(name: &'static str, value_name: &'static str, about: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value_name)
        .value_hint(ValueHint::FilePath)
        .value_parser(value_parser!(PathBuf))
        .help(about)
}
