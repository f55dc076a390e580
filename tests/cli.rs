//! Runs the program's commands against an entry's operators' port.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::net::TcpListener;

use common::OperatorsPort;
use conf::SourceFile;
use rstest::rstest;
use store::{KeyRange, keys};

const SET: &str = "[zone.plateau]\nregion = \"dakar\"\n\n[zone.medina]\nregion = \"dakar\"\n";

#[test]
fn a_set_is_checked_published_shown_and_compared() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", SET);
    let summary = port.run(&["check", &set]).stdout_of_success();
    assert!(summary.contains("2 availability zones"), "{summary}");
    let published = port.run(&["apply", &set, "--wait"]).stdout_of_success();
    assert_eq!(published, "published revision 1\n");
    let again = port.run(&["apply", &set, "--json"]).stdout_of_success();
    let again: serde_json::Value = serde_json::from_str(&again).unwrap();
    assert_eq!(
        again,
        serde_json::json!({ "revision": 1, "changed": false })
    );
    let shown = port.run(&["get"]).stdout_of_success();
    assert!(shown.starts_with("# revision 1, proved"), "{shown}");
    let copy = port.write_set("copy", &shown);
    assert_eq!(
        port.run(&["diff", &copy]).stdout_of_success(),
        "against revision 1\nno difference\n"
    );
    let other = port.write_set("other", &SET.replace("medina", "yoff"));
    assert_eq!(
        port.run(&["diff", &other]).stdout_of_success(),
        "against revision 1\n- zone.medina\n+ zone.yoff\n"
    );
}

#[test]
fn a_zone_goes_out_and_in_and_a_vm_is_drained() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", SET);
    port.run(&["apply", &set]).stdout_of_success();
    port.run(&["zone", "out", "medina", "--wait"])
        .stdout_of_success();
    port.run(&["drain", "vm-7"]).stdout_of_success();
    let shown = port.run(&["get"]).stdout_of_success();
    assert!(shown.contains("state = \"out\""), "{shown}");
    assert!(shown.contains("drained = [\"vm-7\"]"), "{shown}");
    port.run(&["zone", "in", "medina"]).stdout_of_success();
    let undone = port.run(&["drain", "vm-7", "--undo"]).stdout_of_success();
    assert_eq!(undone, "published revision 5\n");
    let unknown = port.run(&["zone", "out", "yof"]).stderr_of_failure(1);
    assert!(unknown.contains("there is no such availability zone"));
    let unknown = port.run(&["drain", "vm-8"]).stderr_of_failure(1);
    assert!(unknown.contains("no VM named vm-8"), "{unknown}");
}

#[test]
fn an_invalid_set_is_refused_as_a_whole_with_code_1() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", "[zone.plateau]\nregoin = \"dakar\"\n");
    let error = port.run(&["apply", &set]).stderr_of_failure(1);
    assert!(
        error.contains("set.toml:2: zone.plateau.regoin: unknown field"),
        "{error}"
    );
    assert!(error.contains("correct its name or remove it"), "{error}");
    assert_eq!(port.store.counts().txn, 0);
    let output = port.run(&["check", &set, "--json"]);
    let failure: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(failure["verdict"], "not-run");
    assert_eq!(failure["problems"][0]["line"], 2);
}

#[test]
fn an_outdated_base_is_refused_with_the_difference() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", SET);
    port.run(&["apply", &set]).stdout_of_success();
    port.run(&["zone", "out", "medina"]).stdout_of_success();
    let error = port
        .run(&["apply", &set, "--base", "1"])
        .stderr_of_failure(1);
    assert!(
        error.contains("aminata published revision 2 meanwhile"),
        "{error}"
    );
    assert!(error.contains("state: \"out\" -> \"in\""), "{error}");
}

#[test]
fn an_unknown_outcome_ends_with_code_3_and_is_resolved_by_its_apply_id() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", SET);
    port.store
        .faults()
        .lose_requests_under(keys::CONFIG_HEAD, 1000);
    let error = port
        .run(&["apply", &set, "--apply-id", "friday"])
        .stderr_of_failure(3);
    assert!(
        error.contains("repeat it under the same apply id"),
        "{error}"
    );
    assert!(error.contains("it may have run"), "{error}");
    port.store.faults().clear();
    for _ in 0..2 {
        let published = port
            .run(&["apply", &set, "--apply-id", "friday"])
            .stdout_of_success();
        assert_eq!(published, "published revision 1\n");
    }
}

#[test]
fn the_next_entry_is_tried_when_one_is_unreachable() {
    let port = OperatorsPort::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let set = port.write_set("set", SET);
    let both = format!("{closed},{}", port.address);
    port.run_at(&both, &["apply", &set]).stdout_of_success();
    let error = port
        .run_at(&closed.to_string(), &["apply", &set])
        .stderr_of_failure(1);
    assert!(
        error.contains(&format!("no answer from {closed}")),
        "{error}"
    );
}

#[test]
fn a_wrong_secret_is_refused() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", SET);
    std::fs::write(port.directory.path().join("secret"), "x".repeat(32)).unwrap();
    let error = port.run(&["apply", &set]).stderr_of_failure(1);
    assert_eq!(
        error.lines().last(),
        Some("error: the secret is missing or wrong")
    );
    assert!(port.store.peek(&KeyRange::prefix(keys::ROOT)).is_empty());
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let port = OperatorsPort::start();
    let set = port.write_set("set", &format!("# {}\n{SET}", "x".repeat(2 << 20)));
    let error = port.run(&["apply", &set]).stderr_of_failure(1);
    assert!(error.contains("at most 1048576 bytes are taken"), "{error}");
}

#[rstest]
#[case::unknown_command(&["frobnicate"], "unrecognized subcommand")]
#[case::missing_directory(&["check"], "<DIR>")]
#[case::host_name(&["get", "--entry", "entry.example:7003"], "invalid socket address")]
#[case::missing_template_name(&["submit", "--template", "statements"], "--name <JOB>")]
#[case::bad_time(&["report", "burn", "--from", "yesterday"], "is no time")]
fn wrong_usage_ends_with_code_2(#[case] args: &[&str], #[case] expected: &str) {
    let port = OperatorsPort::start();
    let error = port.run(args).stderr_of_failure(2);
    assert!(error.contains(expected), "{error}");
}

#[test]
fn settings_are_checked_without_starting_anything() {
    let port = OperatorsPort::start();
    let file = port.directory.path().join("entry.toml");
    std::fs::write(&file, "name = \"entry-1\"\nzone = \"plateau\"\n").unwrap();
    let file = common::path(&file);
    let error = port
        .run(&["settings", "--check", &file])
        .stderr_of_failure(1);
    assert!(
        error.contains("missing field `system`; add the field"),
        "{error}"
    );
}

#[test]
fn every_command_shows_an_example_and_completions_name_them_all() {
    let port = OperatorsPort::start();
    let completions = port.run(&["completions", "bash"]).stdout_of_success();
    let commands = [
        "entry",
        "agent",
        "dev",
        "check",
        "apply",
        "diff",
        "get",
        "submit",
        "cancel",
        "jobs",
        "tasks",
        "zone",
        "drain",
        "report",
        "settings",
        "completions",
    ];
    for command in commands {
        let help = port.run(&[command, "--help"]).stdout_of_success();
        assert!(help.contains("Example"), "{command}: {help}");
        assert!(
            help.contains(&format!("hemlockmoor {command}")),
            "{command}"
        );
        assert!(completions.contains(command), "{command}");
    }
}

#[test]
fn an_invalid_job_file_is_refused_with_line_and_field() {
    let port = OperatorsPort::start();
    let file = port.directory.path().join("job.toml");
    std::fs::write(
        &file,
        "name = \"night\"\nteam = \"yards\"\ntasks = \"ten\"\n",
    )
    .unwrap();
    let file = common::path(&file);
    let error = port.run(&["submit", &file]).stderr_of_failure(1);
    assert!(error.contains("job.toml:3: tasks: invalid type"), "{error}");
}

#[rstest]
#[case("examples/maison-diagne/jobs/calendar-repair.toml")]
#[case("examples/brenes/jobs/reconciliation-rerun.toml")]
fn the_sample_job_files_are_valid(#[case] file: &str) {
    let port = OperatorsPort::start();
    let file = format!("{}/{file}", env!("CARGO_MANIFEST_DIR"));
    // The file is read and sent; an entry without cells then refuses the request.
    let error = port.run(&["submit", &file]).stderr_of_failure(1);
    assert!(error.contains("there is no POST /v1/jobs"), "{error}");
}

#[test]
fn the_files_written_for_daemons_are_valid() {
    smol::block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let platform = dev::Platform::start(dev::Plan::default()).await.unwrap();
        let files = platform.write(directory.path()).await.unwrap();
        for file in &files.entries {
            conf::settings::load_entry(file).unwrap();
        }
        for file in &files.agents {
            conf::settings::load_agent(file).unwrap();
        }
        assert_eq!((files.entries.len(), files.agents.len()), (2, 6));
        let sources = conf::read_dir(&files.objects).unwrap();
        let set = conf::parse(&sources).unwrap();
        assert_eq!(set.zones.len(), 3);
        // The printed form of a set parses to the same set.
        let shown = SourceFile {
            file: "shown.toml".to_owned(),
            text: conf::render::to_toml(&set),
        };
        assert_eq!(conf::parse(&[shown]).unwrap(), set);
    });
}
