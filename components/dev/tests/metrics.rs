//! `METRICS.md` documents exactly the metrics that the daemons export.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use dev::{Plan, System, client::EntryClient, plan::SERVICE};
use trillium_client::Method;

const PAGE: &str = include_str!("../../../docs/operations/METRICS.md");
const ALERTS: &str = include_str!("../../../docs/operations/alerts.yml");
const PREFIX: &str = "hemlockmoor_";
const TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(50);

/// Returns the words of a text that start with the metrics' prefix.
fn metric_names(text: &str) -> BTreeSet<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let words = text.split(|c| !is_name_char(c));
    words
        .filter(|word| word.starts_with(PREFIX))
        .map(str::to_owned)
        .collect()
}

fn exported_families(page: &str) -> BTreeSet<String> {
    let mut families = BTreeSet::new();
    for line in page.lines() {
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            families.extend(rest.split(' ').next().map(str::to_owned));
        }
    }
    families
}

async fn publish(system: &System, client: &EntryClient) {
    let files = [serde_json::json!({"file": "objects.toml", "text": system.plan.objects()})];
    let body = serde_json::json!({"files": files, "apply_id": "once", "who": "test"});
    let entry = system.running_entries().next().unwrap().operators;
    let path = "/v1/objects/apply";
    let reply = client.operator_request(entry, Method::Post, path, Some(body.to_string()));
    assert_eq!(reply.await.status, 200);
}

/// Sends one request to each entry and returns the metrics that all daemons export.
async fn exported_metrics(system: &System, client: &EntryClient, round: u32) -> BTreeSet<String> {
    let path = format!("/{SERVICE}/players");
    let mut pages: Vec<SocketAddr> = Vec::new();
    for (number, entry) in system.running_entries().enumerate() {
        let id = format!("lookup-{round}-{number}");
        client
            .caller_request(entry.callers, Method::Get, &path, &id, None)
            .await;
        pages.push(entry.operators);
    }
    let agents = system.vms.iter().filter_map(|vm| vm.agent.as_ref());
    pages.extend(agents.map(|agent| agent.health));
    let mut exported = BTreeSet::new();
    for address in pages {
        let reply = client
            .operator_request(address, Method::Get, "/metrics", None)
            .await;
        assert_eq!(reply.status, 200);
        exported.extend(exported_families(&reply.body));
    }
    exported
}

#[test]
fn every_metric_is_documented_and_no_other_is() {
    smol::block_on(async {
        let system = System::start(Plan::default()).await.unwrap();
        let client = EntryClient::default();
        publish(&system, &client).await;
        let documented = metric_names(PAGE);
        let started = Instant::now();
        let mut round = 0;
        loop {
            let exported = exported_metrics(&system, &client, round).await;
            let undocumented: Vec<&String> = exported.difference(&documented).collect();
            assert!(
                undocumented.is_empty(),
                "not in METRICS.md: {undocumented:?}"
            );
            let missing: Vec<&String> = documented.difference(&exported).collect();
            if missing.is_empty() {
                break;
            }
            assert!(started.elapsed() < TIMEOUT, "no daemon exports {missing:?}");
            smol::Timer::after(PAUSE).await;
            round += 1;
        }
        system.stop().await;
    });
}

#[test]
fn alerts_use_documented_metrics_only() {
    let documented = metric_names(PAGE);
    let used = metric_names(ALERTS);
    assert!(!used.is_empty());
    for name in used {
        let family = ["_total", "_bucket", "_count", "_sum"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(&name);
        assert!(documented.contains(family), "{name}");
    }
}
