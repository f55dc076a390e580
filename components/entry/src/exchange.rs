//! Tells the other entries what this one hears of VMs and cells.
//!
//! Each entry calls every other one on a fixed beat with what changed since
//! the last call that succeeded, so endpoints spread without the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use kernel::{EntryName, Incarnation, Revision};
use proto::{Peer, messages::Exchange, methods::ExchangeCall};

use crate::{
    peers::EntryRecord,
    system::{EntryNews, System, whole_config},
};

/// How long another entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One other entry and what it was told.
#[derive(Clone, Debug)]
struct Line {
    incarnation: Incarnation,
    peer: Peer,
    told: u64,
    /// It said that it has no configuration.
    needs_config: bool,
}

/// What a call to another entry brought.
struct Told {
    name: EntryName,
    upto: u64,
    needs_config: bool,
}

/// Exchanges with all other entries every `interval`, forever.
pub(crate) async fn run(system: Arc<System>, interval: Duration) {
    let mut lines: BTreeMap<EntryName, Line> = BTreeMap::new();
    loop {
        let others = system.peers.other_entries();
        lines.retain(|name, _| others.iter().any(|other| other.name == *name));
        let own = system.introduce();
        let mut round = Vec::new();
        for other in others {
            let name = other.name.clone();
            let line = line_to(&mut lines, &system, other);
            round.push(tell(&system, &own, name, line));
        }
        for told in join_all(round).await {
            if let Some(line) = lines.get_mut(&told.name) {
                line.told = told.upto;
                line.needs_config = told.needs_config;
            }
        }
        smol::Timer::after(interval).await;
    }
}

/// The line to `other`, from the start again if its process is a new one.
fn line_to(lines: &mut BTreeMap<EntryName, Line>, system: &System, other: EntryRecord) -> Line {
    let fresh = || Line {
        incarnation: other.incarnation,
        peer: Peer::new(other.system, system.secrets.clone()),
        told: 0,
        needs_config: false,
    };
    let line = lines.entry(other.name).or_insert_with(fresh);
    if line.incarnation != other.incarnation {
        *line = fresh();
    }
    line.clone()
}

/// Makes one call with what this entry says of itself, `own`; gives how far the
/// other entry has been told.
async fn tell(system: &System, own: &Exchange, name: EntryName, line: Line) -> Told {
    let outgoing = system.members.updates_since(line.told);
    let exchange = Exchange {
        vms: outgoing.vms,
        complete: outgoing.complete,
        config: line.needs_config.then(|| whole_config(system)).flatten(),
        ..own.clone()
    };
    let mut told = Told {
        name,
        upto: line.told,
        needs_config: line.needs_config,
    };
    match line.peer.call::<ExchangeCall>(exchange, TIMEOUT).await {
        Ok(reply) => {
            told.needs_config = reply.exchange.revision == Revision(0);
            if reply.need_complete {
                told.upto = 0;
                return told;
            }
            told.upto = outgoing.upto;
            note_revision(system, &reply.exchange);
            system.cells.apply_peer_cells(reply.exchange.cells);
            system.cells.apply_peer_team_sums(reply.exchange.teams);
        }
        Err(error) => tracing::debug!(entry = %told.name, %error, "exchange failed"),
    }
    told
}

fn note_revision(system: &System, exchange: &Exchange) {
    let mut heard = system.lock_heard();
    if let Some(EntryNews { revision, .. }) = heard.get_mut(&exchange.entry) {
        *revision = (*revision).max(exchange.revision);
    }
}
