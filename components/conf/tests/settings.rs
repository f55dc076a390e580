//! Settings are checked as a whole, and every error names its location and a remedy.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use conf::settings::{AgentSettings, EntrySettings, load_agent, load_entry, parse};
use kernel::CellName;
use rstest::rstest;

const ENTRY: &str = r#"name = "entry-1"
zone = "plateau"
system = "127.0.0.1:7001"
callers = "127.0.0.1:7002"
operators = "127.0.0.1:7003"
store = ["127.0.0.1:2379"]
secret_file = "system.secret"
operator_secret_file = "operator.secret"
"#;

const AGENT: &str = r#"vm = "vm-1"
zone = "plateau"
rack = "rack-1"
system = "127.0.0.1:7101"
health = "127.0.0.1:7102"
entries = ["127.0.0.1:7001"]
secret_file = "system.secret"

[[endpoints]]
service = "directory"
address = "127.0.0.1:8080"
slots = 8
connections = 64
"#;

#[test]
fn valid_settings_are_accepted_with_defaults() {
    let entry: EntrySettings = parse("entry.toml", ENTRY).unwrap();
    assert_eq!(entry.timings, Default::default());
    let agent: AgentSettings = parse("agent.toml", AGENT).unwrap();
    assert_eq!(agent.cell_name(), CellName::new("plateau").unwrap());
}

#[rstest]
#[case(
    "127.0.0.1:7001",
    "entry.example:7001",
    "entry.toml:3: system: invalid socket address syntax; write an IP number and a port, such as 127.0.0.1:7001; names are not resolved"
)]
#[case(
    "127.0.0.1:7002",
    "127.0.0.1:7001",
    "entry.toml:4: callers: 127.0.0.1:7001 is also the address of `system`; give each its own port"
)]
#[case(
    "[\"127.0.0.1:2379\"]",
    "[]",
    "entry.toml:6: store: the list is empty; name at least one address"
)]
#[case(
    "operator.secret",
    "system.secret",
    "entry.toml:8: operator_secret_file: operators and processes share one secret; give operators a secret of their own"
)]
#[case(
    "zone =",
    "zon =",
    "entry.toml:2: zon: unknown field `zon`, expected one of `name`, `zone`, `system`, `callers`, `operators`, `store`, `secret_file`, `operator_secret_file`, `timings`, `limits`; correct its name or remove it"
)]
#[case(
    "127.0.0.1:7001",
    "0.0.0.0:7001",
    "entry.toml:3: system: 0.0.0.0:7001 does not say which machine; write the IP number under which other processes reach this one"
)]
fn each_error_of_an_entry_names_line_field_and_remedy(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = ENTRY.replace(from, to);
    let error = parse::<EntrySettings>("entry.toml", &text).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn a_timing_that_contradicts_another_is_rejected() {
    let text = format!("{ENTRY}\n[timings]\nsuspect_millis = 60000\n");
    let error = parse::<EntrySettings>("entry.toml", &text).unwrap_err();
    assert_eq!(
        error.to_string(),
        "entry.toml:10: timings.forget_millis: 60000 is not longer than `suspect_millis`, 60000; choose a value above 60000"
    );
}

#[rstest]
#[case(
    "slots = 8",
    "slots = 0",
    "agent.toml:12: endpoints.0.slots: 0 is out of bounds; choose a value from 1 to 65536"
)]
#[case(
    "rack =",
    "capacity = { cpu_milli = 1000 }\nrack =",
    "agent.toml:3: capacity: there is no worker to hold it; state the address of `worker`, or leave `capacity` out"
)]
fn each_error_of_an_agent_names_line_field_and_remedy(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = AGENT.replace(from, to);
    let error = parse::<AgentSettings>("agent.toml", &text).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

/// Returns the absolute path of a path in the repository.
fn at_root(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

fn files_in(path: &str) -> Vec<PathBuf> {
    let listed = std::fs::read_dir(at_root(path)).unwrap();
    let mut files: Vec<PathBuf> = listed.map(|file| file.unwrap().path()).collect();
    files.sort();
    files
}

#[rstest]
#[case("examples/maison-diagne", 4, "directory")]
#[case("examples/brenes", 3, "depot")]
fn the_example_installations_are_valid_and_consistent(
    #[case] sample: &str,
    #[case] zones: usize,
    #[case] service: &str,
) {
    let sources = conf::read_dir(at_root(&format!("{sample}/objects"))).unwrap();
    let set = conf::parse(&sources).unwrap();
    assert_eq!(set.zones.len(), zones);
    let pool = set.pools.values().next().unwrap();
    assert_eq!(pool.workers, 11);
    let entries = files_in(&format!("{sample}/entries"));
    let entries = entries.iter().map(|file| load_entry(file).unwrap());
    let entries: Vec<EntrySettings> = entries.collect();
    assert!(
        entries
            .iter()
            .all(|entry| set.zones.contains_key(&entry.zone))
    );
    let system: Vec<_> = entries.iter().map(|entry| entry.system).collect();
    let agents = files_in(&format!("{sample}/agents"));
    let agents = agents.iter().map(|file| load_agent(file).unwrap());
    let agents: Vec<AgentSettings> = agents.collect();
    assert_eq!(agents.len(), 11);
    let mut racks: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for agent in &agents {
        racks.entry(&agent.rack).or_default().push(&agent.zone);
        assert!(set.zones.contains_key(&agent.zone));
        assert_eq!(agent.entries, system);
        assert_eq!(agent.capacity, pool.capacity);
        let [endpoint] = &agent.endpoints[..] else {
            panic!("{} has not one endpoint", agent.vm);
        };
        assert_eq!(endpoint.service.as_str(), service);
        assert!(set.services.contains_key(&endpoint.service));
        assert_eq!((endpoint.slots, endpoint.connections), (8, 64));
    }
    for zones_of_rack in racks.values() {
        assert!(zones_of_rack.len() <= 3);
        assert!(zones_of_rack.iter().all(|zone| *zone == zones_of_rack[0]));
    }
    let vms: BTreeSet<_> = agents.iter().map(|agent| &agent.vm).collect();
    let addresses: BTreeSet<_> = agents.iter().map(|agent| agent.system).collect();
    assert_eq!((vms.len(), addresses.len()), (11, 11));
}

/// Adds the paths and values of all fields below `path` to `found`.
fn collect_fields(path: &str, value: &toml::Value, found: &mut BTreeMap<String, String>) {
    match value {
        toml::Value::Table(table) => {
            for (name, value) in table {
                let path = format!("{path}{}{name}", if path.is_empty() { "" } else { "." });
                collect_fields(&path, value, found);
            }
        }
        toml::Value::Array(items) if items.iter().all(toml::Value::is_table) => {
            for item in items {
                collect_fields(path, item, found);
            }
        }
        value => {
            found.insert(path.to_owned(), value.to_string());
        }
    }
}

fn fields_of(settings: &impl serde::Serialize) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let value = toml::Value::try_from(settings).unwrap();
    collect_fields("", &value, &mut found);
    found
}

#[test]
fn every_setting_is_described_with_its_default() {
    let page = std::fs::read_to_string(at_root("docs/SETTINGS.md")).unwrap();
    let entry: EntrySettings = parse("entry.toml", ENTRY).unwrap();
    let agent: AgentSettings = parse("agent.toml", AGENT).unwrap();
    let parsed = |text: &str| text.parse::<toml::Table>().unwrap();
    let mut described = BTreeSet::new();
    for (fields, text) in [
        (fields_of(&entry), parsed(ENTRY)),
        (fields_of(&agent), parsed(AGENT)),
    ] {
        for (field, value) in fields {
            let top = field.split('.').next().unwrap();
            let default = match text.contains_key(top) {
                true => "required".to_owned(),
                false => value,
            };
            let row = format!("| `{field}` | {default} |");
            assert!(page.contains(&row), "docs/SETTINGS.md lacks {row}");
            described.insert(field);
        }
    }
    // Optional fields are absent from the texts above, so their rows are listed here.
    for (field, default) in [("cell", "the zone's name"), ("worker", "none")] {
        assert!(page.contains(&format!("| `{field}` | {default} |")));
        described.insert(field.to_owned());
    }
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    for row in rows {
        let field = row.split('`').next().unwrap();
        assert!(described.contains(field), "there is no setting {field}");
    }
}

/// Appends the text of all sources under a directory of the repository to `text`.
fn append_sources(path: &str, text: &mut String) {
    for file in files_in(path) {
        if file.is_dir() {
            let name = file.file_name().unwrap().to_str().unwrap();
            append_sources(&format!("{path}/{name}"), text);
            continue;
        }
        text.push_str(&std::fs::read_to_string(file).unwrap());
    }
}

/// Returns the expression by which a daemon's source reads a field: a member of its
/// group or of `settings`.
fn read_expression(field: &str) -> String {
    match field.split_once('.') {
        Some(("endpoints", leaf)) => format!("endpoint.{leaf}"),
        Some(("capacity", _)) => "settings.capacity".to_owned(),
        Some(_) => field.to_owned(),
        None => format!("settings.{field}"),
    }
}

/// Fields that are read by another expression than a plain member.
const OTHER_READ_EXPRESSIONS: [(&str, &str); 2] =
    [("cell", "settings.cell_name()"), ("worker", ".worker")];

#[test]
fn every_setting_is_read_by_its_daemon() {
    let entry: EntrySettings = parse("entry.toml", ENTRY).unwrap();
    let agent: AgentSettings = parse("agent.toml", AGENT).unwrap();
    let mut unread = Vec::new();
    for (daemon, fields) in [("entry", fields_of(&entry)), ("agent", fields_of(&agent))] {
        let mut sources = String::new();
        append_sources(&format!("components/{daemon}/src"), &mut sources);
        sources
            .push_str(&std::fs::read_to_string(at_root(&format!("src/cmd/{daemon}.rs"))).unwrap());
        let fields = fields
            .keys()
            .map(|field| (field.clone(), read_expression(field)));
        let mut expected: Vec<(String, String)> = fields.collect();
        if daemon == "agent" {
            let methods = OTHER_READ_EXPRESSIONS.iter();
            expected.extend(methods.map(|(field, read)| ((*field).to_owned(), (*read).to_owned())));
        }
        for (field, read) in expected {
            if !sources.contains(&read) {
                unread.push(format!("{daemon}: {field}"));
            }
        }
    }
    assert!(unread.is_empty(), "no daemon reads {unread:?}");
}
