//! The program's commands against an entry's operators' port.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::net::TcpListener;

use common::Served;
use conf::SourceFile;
use rstest::rstest;
use store::{KeyRange, keys};

const SET: &str = "[zone.plateau]\nregion = \"dakar\"\n\n[zone.medina]\nregion = \"dakar\"\n";

#[test]
fn a_set_is_checked_published_shown_and_compared() {
    let served = Served::start();
    let set = served.write_set("set", SET);
    let summary = served.run(&["check", &set]).done();
    assert!(summary.contains("2 availability zones"), "{summary}");
    let published = served.run(&["apply", &set, "--wait"]).done();
    assert_eq!(published, "published revision 1\n");
    let again = served.run(&["apply", &set, "--json"]).done();
    let again: serde_json::Value = serde_json::from_str(&again).unwrap();
    assert_eq!(
        again,
        serde_json::json!({ "revision": 1, "changed": false })
    );
    let shown = served.run(&["get"]).done();
    assert!(shown.starts_with("# revision 1, proved"), "{shown}");
    let copy = served.write_set("copy", &shown);
    assert_eq!(
        served.run(&["diff", &copy]).done(),
        "against revision 1\nno difference\n"
    );
    let other = served.write_set("other", &SET.replace("medina", "yoff"));
    assert_eq!(
        served.run(&["diff", &other]).done(),
        "against revision 1\n- zone.medina\n+ zone.yoff\n"
    );
}

#[test]
fn a_zone_goes_out_and_in_and_a_vm_is_drained() {
    let served = Served::start();
    let set = served.write_set("set", SET);
    served.run(&["apply", &set]).done();
    served.run(&["zone", "out", "medina", "--wait"]).done();
    served.run(&["drain", "vm-7"]).done();
    let shown = served.run(&["get"]).done();
    assert!(shown.contains("state = \"out\""), "{shown}");
    assert!(shown.contains("drained = [\"vm-7\"]"), "{shown}");
    served.run(&["zone", "in", "medina"]).done();
    let undone = served.run(&["drain", "vm-7", "--undo"]).done();
    assert_eq!(undone, "published revision 5\n");
    let unknown = served.run(&["zone", "out", "yof"]).failed(1);
    assert!(unknown.contains("there is no such availability zone"));
    let unknown = served.run(&["drain", "vm-8"]).failed(1);
    assert!(unknown.contains("no VM named vm-8"), "{unknown}");
}

#[test]
fn a_wrong_set_is_refused_whole_with_code_1() {
    let served = Served::start();
    let set = served.write_set("set", "[zone.plateau]\nregoin = \"dakar\"\n");
    let error = served.run(&["apply", &set]).failed(1);
    assert!(
        error.contains("set.toml:2: zone.plateau.regoin: unknown field"),
        "{error}"
    );
    assert!(error.contains("correct its name or remove it"), "{error}");
    assert_eq!(served.store.counts().txn, 0);
    let ran = served.run(&["check", &set, "--json"]);
    let failure: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(failure["verdict"], "not-run");
    assert_eq!(failure["problems"][0]["line"], 2);
}

#[test]
fn an_outdated_base_is_refused_with_the_difference() {
    let served = Served::start();
    let set = served.write_set("set", SET);
    served.run(&["apply", &set]).done();
    served.run(&["zone", "out", "medina"]).done();
    let error = served.run(&["apply", &set, "--base", "1"]).failed(1);
    assert!(
        error.contains("aminata published revision 2 meanwhile"),
        "{error}"
    );
    assert!(error.contains("state: \"out\" -> \"in\""), "{error}");
}

#[test]
fn an_unknown_outcome_ends_with_code_3_and_is_settled_by_its_apply_id() {
    let served = Served::start();
    let set = served.write_set("set", SET);
    served
        .store
        .faults()
        .lose_requests_under(keys::CONFIG_HEAD, 1000);
    let error = served
        .run(&["apply", &set, "--apply-id", "friday"])
        .failed(3);
    assert!(
        error.contains("repeat it under the same apply id"),
        "{error}"
    );
    assert!(error.contains("it may have run"), "{error}");
    served.store.faults().clear();
    for _ in 0..2 {
        let published = served.run(&["apply", &set, "--apply-id", "friday"]).done();
        assert_eq!(published, "published revision 1\n");
    }
}

#[test]
fn the_next_entry_is_asked_when_one_is_gone() {
    let served = Served::start();
    let gone = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = gone.local_addr().unwrap();
    drop(gone);
    let set = served.write_set("set", SET);
    let both = format!("{closed},{}", served.address);
    served.run_at(&both, &["apply", &set]).done();
    let error = served
        .run_at(&closed.to_string(), &["apply", &set])
        .failed(1);
    assert!(
        error.contains(&format!("no answer from {closed}")),
        "{error}"
    );
}

#[test]
fn a_wrong_secret_is_refused() {
    let served = Served::start();
    let set = served.write_set("set", SET);
    std::fs::write(served.directory.path().join("secret"), "x".repeat(32)).unwrap();
    let error = served.run(&["apply", &set]).failed(1);
    assert_eq!(
        error.lines().last(),
        Some("error: the secret is missing or wrong")
    );
    assert!(served.store.peek(&KeyRange::prefix(keys::ROOT)).is_empty());
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let served = Served::start();
    let set = served.write_set("set", &format!("# {}\n{SET}", "x".repeat(2 << 20)));
    let error = served.run(&["apply", &set]).failed(1);
    assert!(error.contains("at most 1048576 bytes are taken"), "{error}");
}

#[rstest]
#[case::unknown_command(&["frobnicate"], "unrecognized subcommand")]
#[case::missing_directory(&["check"], "<DIR>")]
#[case::host_name(&["get", "--entry", "entry.example:7003"], "invalid socket address")]
#[case::missing_template_name(&["submit", "--template", "statements"], "--name <JOB>")]
#[case::bad_time(&["report", "burn", "--from", "yesterday"], "is no time")]
fn wrong_usage_ends_with_code_2(#[case] args: &[&str], #[case] expected: &str) {
    let served = Served::start();
    let error = served.run(args).failed(2);
    assert!(error.contains(expected), "{error}");
}

#[test]
fn settings_are_checked_without_starting_anything() {
    let served = Served::start();
    let file = served.directory.path().join("entry.toml");
    std::fs::write(&file, "name = \"entry-1\"\nzone = \"plateau\"\n").unwrap();
    let file = common::path(&file);
    let error = served.run(&["settings", "--check", &file]).failed(1);
    assert!(
        error.contains("missing field `system`; add the field"),
        "{error}"
    );
}

#[test]
fn every_command_shows_an_example_and_completions_name_them_all() {
    let served = Served::start();
    let completions = served.run(&["completions", "bash"]).done();
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
        let help = served.run(&[command, "--help"]).done();
        assert!(help.contains("Example"), "{command}: {help}");
        assert!(
            help.contains(&format!("hemlockmoor {command}")),
            "{command}"
        );
        assert!(completions.contains(command), "{command}");
    }
}

#[test]
fn a_wrong_job_file_is_refused_with_line_and_field() {
    let served = Served::start();
    let file = served.directory.path().join("job.toml");
    std::fs::write(
        &file,
        "name = \"night\"\nteam = \"yards\"\ntasks = \"ten\"\n",
    )
    .unwrap();
    let file = common::path(&file);
    let error = served.run(&["submit", &file]).failed(1);
    assert!(error.contains("job.toml:3: tasks: invalid type"), "{error}");
}

#[rstest]
#[case("examples/maison-diagne/jobs/calendar-repair.toml")]
#[case("examples/brenes/jobs/reconciliation-rerun.toml")]
fn the_sample_jobs_can_be_read(#[case] file: &str) {
    let served = Served::start();
    let file = format!("{}/{file}", env!("CARGO_MANIFEST_DIR"));
    // This entry has no cells, so it knows no jobs; the file was read and sent.
    let error = served.run(&["submit", &file]).failed(1);
    assert!(error.contains("there is no POST /v1/jobs"), "{error}");
}

#[test]
fn the_files_for_daemons_beside_stand_ins_are_in_order() {
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
        // What is shown of a set reads back as the same set.
        let shown = SourceFile {
            file: "shown.toml".to_owned(),
            text: conf::render::to_toml(&set),
        };
        assert_eq!(conf::parse(&[shown]).unwrap(), set);
    });
}
