//! Tells the other entries what this one hears of VMs and cells.
//!
//! Each entry calls every other one on a fixed beat with what changed since
//! the last call that succeeded, so endpoints spread without the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use kernel::{EntryName, Incarnation};
use proto::{Peer, messages::Exchange, methods::ExchangeCall};

use crate::{
    peers::EntryRecord,
    system::{EntryNews, System},
};

/// How long another entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One other entry and what it was told.
#[derive(Debug)]
struct Line {
    incarnation: Incarnation,
    peer: Peer,
    told: u64,
}

/// Exchanges with all other entries every `interval`, forever.
pub(crate) async fn run(system: Arc<System>, interval: Duration) {
    let mut lines: BTreeMap<EntryName, Line> = BTreeMap::new();
    loop {
        let others = system.peers.others();
        lines.retain(|name, _| others.iter().any(|other| other.name == *name));
        let mut round = Vec::new();
        for other in others {
            let line = line_to(&mut lines, &system, other);
            round.push(tell(&system, line));
        }
        for (name, told) in join_all(round).await {
            if let Some(line) = lines.get_mut(&name) {
                line.told = told;
            }
        }
        smol::Timer::after(interval).await;
    }
}

/// The line to `other`, from the start again if its process is a new one.
fn line_to(
    lines: &mut BTreeMap<EntryName, Line>,
    system: &System,
    other: EntryRecord,
) -> (EntryName, Peer, u64) {
    let fresh = || Line {
        incarnation: other.incarnation,
        peer: Peer::new(other.system, system.secrets.clone()),
        told: 0,
    };
    let line = lines.entry(other.name.clone()).or_insert_with(fresh);
    if line.incarnation != other.incarnation {
        *line = fresh();
    }
    (other.name, line.peer.clone(), line.told)
}

/// Makes one call; gives how far the other entry has been told.
async fn tell(system: &System, line: (EntryName, Peer, u64)) -> (EntryName, u64) {
    let (name, peer, told) = line;
    let outgoing = system.members.outgoing(told);
    let exchange = Exchange {
        vms: outgoing.vms,
        complete: outgoing.complete,
        ..system.introduce()
    };
    match peer.call::<ExchangeCall>(exchange, TIMEOUT).await {
        Ok(reply) if reply.need_complete => (name, 0),
        Ok(reply) => {
            note_revision(system, &reply.exchange);
            system.cells.heard(reply.exchange.cells);
            system.cells.heard_teams(reply.exchange.teams);
            (name, outgoing.upto)
        }
        Err(error) => {
            tracing::debug!(entry = %name, %error, "exchange failed");
            (name, told)
        }
    }
}

fn note_revision(system: &System, exchange: &Exchange) {
    let mut heard = system.lock_heard();
    if let Some(EntryNews { revision, .. }) = heard.get_mut(&exchange.entry) {
        *revision = (*revision).max(exchange.revision);
    }
}
