//! The operators' port of a running entry.

use std::sync::Arc;

use conf::settings::EntrySettings;
use kernel::secret::Secrets;
use observe::Health;
use prometheus_client::registry::Registry;
use proto::messages::EventQuery;
use report::Period;
use smol::{Task, net::TcpListener};

use super::Components;
use crate::{
    accounts,
    operator::{self, Context, JobsContext, ProcessRevision, Revisions},
    system::SystemService,
};

/// Creates the context that operators' requests are answered from.
pub(super) fn context(
    settings: &EntrySettings,
    components: &Components,
    secrets: Secrets,
) -> Context {
    let (revisions, zones) = (
        Arc::clone(&components.system),
        Arc::clone(&components.system),
    );
    let accounting = components.clone();
    Context {
        secrets,
        body_bytes: settings.limits.operator_body_bytes,
        clock: components.clock,
        store: Arc::clone(&components.store),
        config: Arc::clone(&components.system.config),
        revisions: Box::new(move || known_revisions(&revisions)),
        zone_of: Box::new(move |vm| {
            zones.members.with(|members| {
                let member = members.get(vm)?;
                Some(member.update.info.zone.clone())
            })
        }),
        accounts: Box::new(move |period| {
            let components = accounting.clone();
            Box::pin(async move { gather_accounts(&components, period).await })
        }),
        jobs: Some(Arc::new(JobsContext {
            cells: Arc::clone(&components.system.cells),
            peers: Arc::clone(&components.system.peers),
            secrets: components.system.secrets.clone(),
        })),
    }
}

/// Gathers the accounts of all entries and cells, as far as they can be read.
async fn gather_accounts(components: &Components, period: Period) -> report::Accounts {
    let system = &components.system;
    let query = EventQuery {
        from: period.from,
        until: period.until,
    };
    let others = system.peers.other_entries().into_iter();
    let peers = accounts::PeerAddresses {
        entries: others.map(|entry| (entry.name, entry.system)).collect(),
    };
    let gathering = accounts::GatherRequest {
        store: &*components.store,
        own: system.accounts.event_reply(system.cells.events(&query)),
        peers: &peers,
        secrets: &system.secrets,
        period,
        now: components.clock.now(),
    };
    accounts::gather(gathering).await
}

fn known_revisions(system: &SystemService) -> Revisions {
    let here = system.config.in_force().revision;
    let mut entries = Vec::new();
    for entry in system.peers.live_entries() {
        let peer_state = system.lock_peer_states().get(&entry.name).copied();
        let revision = match entry.name == system.peers.own_record().name {
            true => here,
            false => peer_state.map(|state| state.revision).unwrap_or_default(),
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

/// Serves operators' requests and the process's readiness and metrics pages.
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
