//! Sends updates of VMs and cells to the other entries.
//!
//! Each entry calls every other entry at a fixed interval with the changes since
//! the last call that succeeded, so endpoints become known without the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use kernel::{EntryName, Incarnation, Revision};
use proto::{Peer, messages::Exchange, methods::ExchangeCall};

use crate::{
    peers::EntryRecord,
    system::{PeerState, SystemService, config_update},
};

/// The timeout of a call to another entry.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection to another entry and the progress of updates to it.
#[derive(Clone, Debug)]
struct PeerLink {
    incarnation: Incarnation,
    peer: Peer,
    /// The version of this entry's updates that the other entry has; 0 if none.
    acked_version: u64,
    /// The other entry replied that it has no configuration.
    needs_config: bool,
}

/// The result of a call to another entry.
struct ExchangeOutcome {
    name: EntryName,
    acked_version: u64,
    needs_config: bool,
}

/// Exchanges with all other entries every `interval`, forever.
pub(crate) async fn run(system: Arc<SystemService>, interval: Duration) {
    let mut links: BTreeMap<EntryName, PeerLink> = BTreeMap::new();
    loop {
        let others = system.peers.other_entries();
        links.retain(|name, _| others.iter().any(|other| other.name == *name));
        let own = system.own_exchange();
        let mut calls = Vec::new();
        for other in others {
            let name = other.name.clone();
            let link = link_to(&mut links, &system, other);
            calls.push(exchange_with(&system, &own, name, link));
        }
        for outcome in join_all(calls).await {
            if let Some(link) = links.get_mut(&outcome.name) {
                link.acked_version = outcome.acked_version;
                link.needs_config = outcome.needs_config;
            }
        }
        smol::Timer::after(interval).await;
    }
}

/// Returns the link to `other`. Resets it if the incarnation of `other` changed.
fn link_to(
    links: &mut BTreeMap<EntryName, PeerLink>,
    system: &SystemService,
    other: EntryRecord,
) -> PeerLink {
    let fresh = || PeerLink {
        incarnation: other.incarnation,
        peer: Peer::new(other.system, system.secrets.clone()),
        acked_version: 0,
        needs_config: false,
    };
    let link = links.entry(other.name).or_insert_with(fresh);
    if link.incarnation != other.incarnation {
        *link = fresh();
    }
    link.clone()
}

/// Calls another entry with `own` and the updates that it lacks. Returns the
/// version of the updates that it has afterwards.
async fn exchange_with(
    system: &SystemService,
    own: &Exchange,
    name: EntryName,
    link: PeerLink,
) -> ExchangeOutcome {
    let outgoing = system.members.updates_since(link.acked_version);
    let exchange = Exchange {
        vms: outgoing.vms,
        complete: outgoing.complete,
        config: link.needs_config.then(|| config_update(system)).flatten(),
        ..own.clone()
    };
    let mut outcome = ExchangeOutcome {
        name,
        acked_version: link.acked_version,
        needs_config: link.needs_config,
    };
    match link
        .peer
        .call::<ExchangeCall>(exchange, EXCHANGE_TIMEOUT)
        .await
    {
        Ok(reply) => {
            outcome.needs_config = reply.exchange.revision == Revision(0);
            if reply.need_complete {
                outcome.acked_version = 0;
                return outcome;
            }
            outcome.acked_version = outgoing.upto;
            record_revision(system, &reply.exchange);
            system.cells.apply_peer_cells(reply.exchange.cells);
            system.cells.apply_peer_team_sums(reply.exchange.teams);
        }
        Err(error) => tracing::debug!(entry = %outcome.name, %error, "exchange failed"),
    }
    outcome
}

fn record_revision(system: &SystemService, exchange: &Exchange) {
    let mut peer_states = system.lock_peer_states();
    if let Some(PeerState { revision, .. }) = peer_states.get_mut(&exchange.entry) {
        *revision = (*revision).max(exchange.revision);
    }
}
