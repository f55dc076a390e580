//! The operators' side of a running entry.

use std::sync::Arc;

use conf::settings::EntrySettings;
use kernel::secret::Secrets;
use observe::Health;
use prometheus_client::registry::Registry;
use proto::messages::EventQuery;
use report::Period;
use smol::{Task, net::TcpListener};

use super::Shared;
use crate::{
    accounts,
    operator::{self, Context, JobsContext, ProcessRevision, Revisions},
    system::System,
};

/// What the operators of an entry are answered from.
pub(super) fn context(settings: &EntrySettings, parts: &Shared, secrets: Secrets) -> Context {
    let (revisions, zones) = (Arc::clone(&parts.system), Arc::clone(&parts.system));
    let accounting = parts.clone();
    Context {
        secrets,
        body_bytes: settings.limits.operator_body_bytes,
        clock: parts.clock,
        store: Arc::clone(&parts.store),
        config: Arc::clone(&parts.system.config),
        revisions: Box::new(move || revisions_of(&revisions)),
        zone_of: Box::new(move |vm| {
            zones.members.with(|members| {
                let member = members.get(vm)?;
                Some(member.update.info.zone.clone())
            })
        }),
        accounts: Box::new(move |period| {
            let parts = accounting.clone();
            Box::pin(async move { accounts_of(&parts, period).await })
        }),
        jobs: Some(Arc::new(JobsContext {
            cells: Arc::clone(&parts.system.cells),
            peers: Arc::clone(&parts.system.peers),
            secrets: parts.system.secrets.clone(),
        })),
    }
}

/// The accounts of all entries and cells, as far as they can be read.
async fn accounts_of(parts: &Shared, period: Period) -> report::Accounts {
    let system = &parts.system;
    let query = EventQuery {
        from: period.from,
        until: period.until,
    };
    let others = system.peers.others().into_iter();
    let peers = accounts::Peers {
        entries: others.map(|entry| (entry.name, entry.system)).collect(),
    };
    let gathering = accounts::Gathering {
        store: &*parts.store,
        own: system.accounts.answer(system.cells.events(&query)),
        peers: &peers,
        secrets: &system.secrets,
        period,
        now: parts.clock.now(),
    };
    accounts::gather(gathering).await
}

fn revisions_of(system: &System) -> Revisions {
    let here = system.config.in_force().revision;
    let mut entries = Vec::new();
    for entry in system.peers.live() {
        let heard = system.lock_heard().get(&entry.name).copied();
        let revision = match entry.name == system.peers.own().name {
            true => here,
            false => heard.map(|news| news.revision).unwrap_or_default(),
        };
        entries.push(ProcessRevision {
            name: entry.name.to_string(),
            revision,
        });
    }
    let vms = system.members.with(|members| {
        members
            .iter()
            .map(|member| ProcessRevision {
                name: member.update.info.vm.to_string(),
                revision: member.update.revision,
            })
            .collect()
    });
    Revisions { here, entries, vms }
}

/// Serves operators' requests and the pages about the process.
pub(super) fn serve(
    listener: TcpListener,
    cx: Context,
    ready: Health,
    registry: Registry,
) -> Task<()> {
    let pages = observe::routes(ready, Arc::new(registry));
    smol::spawn(
        trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .run_async((pages, operator::handler(cx))),
    )
}
