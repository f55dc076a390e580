//! What an entry answers to agents and to other entries.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use kernel::{Clock, EntryName, Incarnation, ObjectSet, Revision, VmInfo, VmName, secret::Secrets};
use proto::{
    Router, RpcError,
    messages::{
        ConfigUpdate, EventReply, Exchange, ExchangeReply, Heartbeat, HeartbeatReply, JobReply,
    },
    methods::{CancelCall, EventsCall, ExchangeCall, HeartbeatCall, JobsCall, SubmitCall},
};
use route::members::HeartbeatOutcome;

use crate::{
    accounts::Accounts, cells::Cells, config::ConfigFollower, members::Members, peers::Peers,
};

/// What is known of another entry from its exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EntryNews {
    /// The life that was heard completely.
    pub(crate) incarnation: Incarnation,
    /// The revision in force there.
    pub(crate) revision: Revision,
}

/// The parts of an entry that answer calls.
pub(crate) struct System {
    pub(crate) clock: Clock,
    pub(crate) secrets: Secrets,
    pub(crate) peers: Arc<Peers>,
    pub(crate) members: Arc<Members>,
    pub(crate) cells: Arc<Cells>,
    pub(crate) config: Arc<ConfigFollower>,
    pub(crate) accounts: Accounts,
    pub(crate) heard: Mutex<BTreeMap<EntryName, EntryNews>>,
}

/// The calls that `system` answers.
pub(crate) fn router(system: &Arc<System>) -> Router {
    let (beating, exchanging) = (Arc::clone(system), Arc::clone(system));
    let (submitting, cancelling) = (Arc::clone(system), Arc::clone(system));
    let (listing, accounting) = (Arc::clone(system), Arc::clone(system));
    Router::new()
        .on::<HeartbeatCall, _, _>(move |beat| {
            let system = Arc::clone(&beating);
            async move { Ok(system.heartbeat(&beat)) }
        })
        .on::<ExchangeCall, _, _>(move |exchange| {
            let system = Arc::clone(&exchanging);
            async move { Ok(system.exchange(exchange).await) }
        })
        .on::<SubmitCall, _, _>(move |submit| {
            let cells = Arc::clone(&submitting.cells);
            async move { Ok(cells.on_submit_call(submit).await) }
        })
        .on::<CancelCall, _, _>(move |cancel| {
            let cells = Arc::clone(&cancelling.cells);
            async move { Ok(cells.on_cancel_call(&cancel)) }
        })
        .on::<JobsCall, _, _>(move |query| {
            let cells = Arc::clone(&listing.cells);
            async move { Ok::<JobReply, RpcError>(cells.jobs(&query).await) }
        })
        .on::<EventsCall, _, _>(move |query| {
            let events: EventReply = accounting
                .accounts
                .event_reply(accounting.cells.events(&query));
            async move { Ok::<_, RpcError>(events) }
        })
}

impl System {
    pub(crate) fn lock_heard(&self) -> MutexGuard<'_, BTreeMap<EntryName, EntryNews>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn heartbeat(&self, beat: &Heartbeat) -> HeartbeatReply {
        let received = self.clock.now();
        if let Some(info) = &beat.info {
            self.cells.add_known_cell(&info.cell);
        }
        let heard = self.members.on_heartbeat(beat);
        let part = self.cells.on_heartbeat(beat, received);
        let in_force = self.config.in_force();
        let proof_age_millis = in_force
            .proved_at
            .map(|at| received.since(at).as_millis() as u64);
        HeartbeatReply {
            need_info: heard == HeartbeatOutcome::NeedInfo || part.need_info,
            entries: self.peers.live_addresses(),
            owner: part.owner,
            epoch: part.epoch,
            renewed: part.renewed,
            orders: part.orders,
            recorded: part.recorded,
            config: self.config_for(beat, in_force.revision, &in_force.objects),
            proof_age_millis,
        }
    }

    fn config_for(
        &self,
        beat: &Heartbeat,
        revision: Revision,
        objects: &ObjectSet,
    ) -> Option<ConfigUpdate> {
        if beat.revision >= revision {
            return None;
        }
        let info = self.info_of(&beat.vm)?;
        Some(ConfigUpdate {
            revision,
            objects: objects_for(&info, objects),
        })
    }

    fn info_of(&self, vm: &VmName) -> Option<VmInfo> {
        self.members
            .with(|members| members.get(vm).map(|member| member.update.info.clone()))
    }

    /// Takes over what another entry told.
    pub(crate) fn hear(&self, exchange: Exchange) {
        for summary in &exchange.vms {
            self.cells.add_known_cell(&summary.info.cell);
        }
        if exchange.complete || !exchange.vms.is_empty() {
            self.members.on_exchange(&exchange.entry, exchange.vms);
        }
        self.cells.apply_peer_cells(exchange.cells);
        self.cells.apply_peer_team_sums(exchange.teams);
    }

    async fn exchange(&self, mut exchange: Exchange) -> ExchangeReply {
        if let Some(update) = exchange.config.take() {
            let objects = Arc::new(update.objects);
            self.config.offer(update.revision, objects).await;
        }
        let need_complete = self.note(&exchange);
        if !need_complete {
            self.hear(exchange);
        }
        ExchangeReply {
            exchange: self.introduce(),
            need_complete,
        }
    }

    /// Notes the life of the telling entry; whether it must tell everything.
    fn note(&self, exchange: &Exchange) -> bool {
        let mut heard = self.lock_heard();
        let known = heard
            .get(&exchange.entry)
            .is_some_and(|news| news.incarnation == exchange.incarnation);
        if !known && !exchange.complete {
            return true;
        }
        let news = EntryNews {
            incarnation: exchange.incarnation,
            revision: exchange.revision,
        };
        heard.insert(exchange.entry.clone(), news);
        false
    }

    /// What this entry says of itself, without the VMs it hears.
    pub(crate) fn introduce(&self) -> Exchange {
        let own = self.peers.own_record();
        Exchange {
            entry: own.name.clone(),
            incarnation: own.incarnation,
            address: own.system,
            revision: self.config.in_force().revision,
            vms: Vec::new(),
            cells: self.cells.owned_cells(),
            teams: self.cells.team_sums(),
            config: None,
            complete: false,
        }
    }
}

/// The configuration in force, if there is one.
pub(crate) fn whole_config(system: &System) -> Option<ConfigUpdate> {
    let in_force = system.config.in_force();
    (in_force.revision > Revision(0)).then(|| ConfigUpdate {
        revision: in_force.revision,
        objects: ObjectSet::clone(&in_force.objects),
    })
}

/// The objects that an agent needs: all availability zones, its services and
/// their limits. It keeps heartbeats small when hundreds of teams exist.
fn objects_for(info: &VmInfo, objects: &ObjectSet) -> ObjectSet {
    let mut needed = ObjectSet {
        zones: objects.zones.clone(),
        ..ObjectSet::default()
    };
    for endpoint in &info.endpoints {
        let Some(service) = objects.services.get(&endpoint.service) else {
            continue;
        };
        let limit = service.limit.clone();
        needed
            .services
            .insert(endpoint.service.clone(), service.clone());
        let Some(limit) = limit else {
            continue;
        };
        if let Some(held) = objects.limits.get(&limit) {
            needed.limits.insert(limit, held.clone());
        }
    }
    needed
}
