//! Every metric of the daemons is documented, and nothing else is.

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
const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(50);

/// The names of metrics in a text, as words that start with the prefix.
fn names(text: &str) -> BTreeSet<String> {
    let in_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let words = text.split(|c| !in_name(c));
    words
        .filter(|word| word.starts_with(PREFIX))
        .map(str::to_owned)
        .collect()
}

fn families(page: &str) -> BTreeSet<String> {
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

/// What all daemons show, after each entry was asked for something.
async fn shown(system: &System, client: &EntryClient, round: u32) -> BTreeSet<String> {
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
    let mut shown = BTreeSet::new();
    for address in pages {
        let reply = client
            .operator_request(address, Method::Get, "/metrics", None)
            .await;
        assert_eq!(reply.status, 200);
        shown.extend(families(&reply.body));
    }
    shown
}

#[test]
fn every_metric_is_documented_and_no_other_is() {
    smol::block_on(async {
        let system = System::start(Plan::default()).await.unwrap();
        let client = EntryClient::default();
        publish(&system, &client).await;
        let documented = names(PAGE);
        let started = Instant::now();
        let mut round = 0;
        loop {
            let shown = shown(&system, &client, round).await;
            let unknown: Vec<&String> = shown.difference(&documented).collect();
            assert!(unknown.is_empty(), "not in METRICS.md: {unknown:?}");
            let unseen: Vec<&String> = documented.difference(&shown).collect();
            if unseen.is_empty() {
                break;
            }
            assert!(started.elapsed() < LIMIT, "no daemon shows {unseen:?}");
            smol::Timer::after(PAUSE).await;
            round += 1;
        }
        system.stop().await;
    });
}

#[test]
fn alerts_use_documented_metrics_only() {
    let documented = names(PAGE);
    let used = names(ALERTS);
    assert!(!used.is_empty());
    for name in used {
        let family = ["_total", "_bucket", "_count", "_sum"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(&name);
        assert!(documented.contains(family), "{name}");
    }
}
