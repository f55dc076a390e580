//! Checks of whole object sets, with one snapshot for each kind of error.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use conf::{SourceFile, diff, parse, read_dir};
use kernel::{ObjectSet, object::ZoneState};
use rstest::rstest;

const TEAMS: &str = r#"[team.maison]
weight = 3
quota = { cpu_milli = 64000, memory_mib = 262144 }

[team.statements]
weight = 1
quota = { cpu_milli = 32000, memory_mib = 131072 }
parent = "maison"

[team.lookups]
weight = 2
quota = { cpu_milli = 16000, memory_mib = 65536 }
parent = "maison"
"#;

const WORKLOADS: &str = r#"[service.directory]
team = "lookups"
timeout_millis = 500
objective = { latency_millis = 100, good_per_million = 999000 }
idempotent_methods = ["GET", "HEAD"]
limit = "lookups"

[service.directory.replicas]
count = 4
need = { cpu_milli = 2000, memory_mib = 4096 }
program = "directory"

[job.statements]
team = "statements"
tasks = 200
need = { cpu_milli = 1000, memory_mib = 2048 }
expected_run_millis = 60000

[limit.lookups]
in_flight = 256
queue = 32
"#;

const ZONES_AND_POOLS: &str = r#"[zone.plateau]
region = "dakar"

[zone.medina]
region = "dakar"
drained = ["vm-7"]

[pool.dakar]
zones = ["plateau", "medina"]
capacity = { cpu_milli = 16000, memory_mib = 61440 }
workers = 11
"#;

fn source(file: &str, text: impl Into<String>) -> SourceFile {
    SourceFile {
        file: file.to_owned(),
        text: text.into(),
    }
}

/// Returns the valid set with `from` replaced by `to`.
fn sources(from: &str, to: &str) -> Vec<SourceFile> {
    let text = [TEAMS, WORKLOADS, ZONES_AND_POOLS].concat();
    assert!(text.contains(from), "{from:?} is not in the set");
    vec![
        source("teams.toml", TEAMS.replace(from, to)),
        source("work.toml", WORKLOADS.replace(from, to)),
        source("places.toml", ZONES_AND_POOLS.replace(from, to)),
    ]
}

fn valid_set() -> ObjectSet {
    parse(&sources("maison", "maison")).unwrap()
}

#[test]
fn a_valid_set_is_accepted() {
    let set = valid_set();
    assert_eq!(set.teams.len(), 3);
    assert_eq!(set.services.len(), 1);
    assert_eq!(set.templates.len(), 1);
    assert_eq!(set.zones.len(), 2);
    assert_eq!(set.limits.len(), 1);
    assert_eq!(set.pools.len(), 1);
    conf::check(&set).unwrap();
}

#[rstest]
#[case("syntax", "weight = 3", "weight = = 3")]
#[case("unknown-kind", "[limit.lookups]", "[limits.lookups]")]
#[case("kind-is-no-table", "[limit.lookups]", "[[limit]]")]
#[case("unknown-field", "tasks = 200", "taks = 200")]
#[case("missing-field", "timeout_millis = 500\n", "")]
#[case("wrong-type", "count = 4", "count = \"four\"")]
#[case("bad-name", "[zone.plateau]", "[zone.\"Le Plateau\"]")]
#[case("duplicate-in-one-file", "[zone.medina]", "[zone.plateau]")]
#[case(
    "duplicate-across-files",
    "[limit.lookups]",
    "[zone.medina]\n[limit.lookups]"
)]
#[case("dangling-team", "team = \"statements\"", "team = \"statement\"")]
#[case("dangling-limit", "limit = \"lookups\"", "limit = \"lookup\"")]
#[case("dangling-zone", "\"plateau\", \"medina\"", "\"plateau\", \"yoff\"")]
#[case("circular", "weight = 3", "weight = 3\nparent = \"lookups\"")]
#[case("zero-weight", "weight = 1", "weight = 0")]
#[case("parts-exceed-quota", "cpu_milli = 32000", "cpu_milli = 64000")]
#[case(
    "quota-never-fits",
    "quota = { cpu_milli = 64000",
    "quota = { cpu_milli = 176001"
)]
#[case("owner-has-parts", "team = \"lookups\"", "team = \"maison\"")]
#[case(
    "job-exceeds-quota",
    "need = { cpu_milli = 1000, memory_mib = 2048",
    "need = { cpu_milli = 1000, memory_mib = 2048, accelerators = 1"
)]
#[case("no-pool-holds-task", "cpu_milli = 1000,", "cpu_milli = 16001,")]
#[case("no-pool-holds-replica", "memory_mib = 4096", "memory_mib = 61441")]
#[case(
    "needs-nothing",
    "need = { cpu_milli = 1000, memory_mib = 2048 }",
    "need = {}"
)]
#[case("too-many-tasks", "tasks = 200", "tasks = 10001")]
#[case("no-tasks", "tasks = 200", "tasks = 0")]
#[case(
    "no-run-time",
    "expected_run_millis = 60000",
    "expected_run_millis = 0"
)]
#[case(
    "objective-beyond-timeout",
    "latency_millis = 100",
    "latency_millis = 501"
)]
#[case(
    "no-error-budget",
    "good_per_million = 999000",
    "good_per_million = 1000000"
)]
#[case("unknown-method", "\"HEAD\"", "\"LOOKUP\"")]
#[case("method-twice", "\"HEAD\"", "\"GET\"")]
#[case("no-timeout", "timeout_millis = 500", "timeout_millis = 0")]
#[case("no-replicas", "count = 4", "count = 0")]
#[case("limit-of-nothing", "in_flight = 256", "in_flight = 0")]
#[case("retries-beyond-all", "queue = 32", "retry_percent = 101")]
#[case("drained-twice", "[\"vm-7\"]", "[\"vm-7\", \"vm-7\"]")]
#[case("pool-without-zone", "zones = [\"plateau\", \"medina\"]", "zones = []")]
#[case(
    "pool-zone-twice",
    "\"plateau\", \"medina\"",
    "\"plateau\", \"plateau\""
)]
#[case(
    "pool-of-nothing",
    "capacity = { cpu_milli = 16000, memory_mib = 61440 }",
    "capacity = {}"
)]
#[case("pool-without-workers", "workers = 11", "workers = 0")]
fn each_kind_of_error_matches_its_snapshot(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
) {
    let problems = parse(&sources(from, to)).unwrap_err();
    for problem in &problems.0 {
        assert!(problem.line > 0, "no line: {problem}");
        assert!(!problem.field.is_empty(), "no field: {problem}");
        assert!(!problem.remedy.is_empty(), "no remedy: {problem}");
    }
    insta::assert_snapshot!(name, problems.to_string());
}

#[test]
fn all_problems_are_reported_at_once() {
    let mut sources = sources("weight = 3", "weight = 0");
    sources[1].text = WORKLOADS.replace("tasks = 200", "tasks = 0");
    sources.push(source("broken.toml", "[zone"));
    insta::assert_snapshot!("all-at-once", parse(&sources).unwrap_err().to_string());
}

#[test]
fn a_diff_lists_each_changed_object_and_field() {
    let old = valid_set();
    let mut new = old.clone();
    let plateau = "plateau".parse().unwrap();
    new.zones.get_mut(&plateau).unwrap().state = ZoneState::Out;
    new.services.values_mut().next().unwrap().timeout_millis = 800;
    new.limits.clear();
    new.teams.insert(
        "yards".parse().unwrap(),
        old.teams.values().next().unwrap().clone(),
    );
    insta::assert_snapshot!("difference", diff(&old, &new).to_string());
    assert!(diff(&old, &old).is_empty());
}

#[test]
fn read_dir_reads_subdirectories_and_only_toml_files() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::create_dir(directory.path().join("dakar")).unwrap();
    for (file, text) in [
        ("teams.toml", TEAMS),
        ("dakar/work.toml", WORKLOADS),
        ("places.toml", ZONES_AND_POOLS),
    ] {
        std::fs::write(directory.path().join(file), text).unwrap();
    }
    std::fs::write(directory.path().join("notes.txt"), "not TOML").unwrap();
    let sources = read_dir(directory.path()).unwrap();
    assert_eq!(parse(&sources).unwrap(), valid_set());
    let empty = tempfile::tempdir().unwrap();
    let none = read_dir(empty.path()).unwrap_err();
    assert!(none.to_string().contains("it holds no .toml file"));
}

#[test]
fn each_of_many_invalid_objects_is_reported_with_its_line() {
    let mut text = String::new();
    for number in 0..300 {
        text.push_str(&format!("[zone.zone-{number}]\nregoin = \"dakar\"\n"));
    }
    let problems = parse(&[source("zones.toml", text)]).unwrap_err();
    let mut named = std::collections::BTreeSet::new();
    for problem in &problems.0 {
        let number: usize = problem.field["zone.zone-".len()..]
            .trim_end_matches(".regoin")
            .parse()
            .unwrap();
        let header = number * 2 + 1;
        assert!((header..header + 2).contains(&problem.line), "{problem}");
        named.insert(number);
    }
    assert_eq!(named.len(), 300);
}
