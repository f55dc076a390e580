//! The RPCs that an entry serves for agents and other entries.

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

/// The state of another entry as reported by its exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerState {
    /// The incarnation whose VMs were received completely.
    pub(crate) incarnation: Incarnation,
    /// The revision in force there.
    pub(crate) revision: Revision,
}

/// The state from which an entry serves RPCs.
pub(crate) struct SystemService {
    pub(crate) clock: Clock,
    pub(crate) secrets: Secrets,
    pub(crate) peers: Arc<Peers>,
    pub(crate) members: Arc<Members>,
    pub(crate) cells: Arc<Cells>,
    pub(crate) config: Arc<ConfigFollower>,
    pub(crate) accounts: Accounts,
    pub(crate) peer_states: Mutex<BTreeMap<EntryName, PeerState>>,
}

/// Returns the RPC router of an entry.
pub(crate) fn router(system: &Arc<SystemService>) -> Router {
    let (for_heartbeats, for_exchanges) = (Arc::clone(system), Arc::clone(system));
    let (for_submits, for_cancels) = (Arc::clone(system), Arc::clone(system));
    let (for_jobs, for_events) = (Arc::clone(system), Arc::clone(system));
    Router::new()
        .on::<HeartbeatCall, _, _>(move |heartbeat| {
            let system = Arc::clone(&for_heartbeats);
            async move { Ok(system.heartbeat(&heartbeat)) }
        })
        .on::<ExchangeCall, _, _>(move |exchange| {
            let system = Arc::clone(&for_exchanges);
            async move { Ok(system.exchange(exchange).await) }
        })
        .on::<SubmitCall, _, _>(move |submit| {
            let cells = Arc::clone(&for_submits.cells);
            async move { Ok(cells.on_submit_call(submit).await) }
        })
        .on::<CancelCall, _, _>(move |cancel| {
            let cells = Arc::clone(&for_cancels.cells);
            async move { Ok(cells.on_cancel_call(&cancel)) }
        })
        .on::<JobsCall, _, _>(move |query| {
            let cells = Arc::clone(&for_jobs.cells);
            async move { Ok::<JobReply, RpcError>(cells.jobs(&query).await) }
        })
        .on::<EventsCall, _, _>(move |query| {
            let events: EventReply = for_events
                .accounts
                .event_reply(for_events.cells.events(&query));
            async move { Ok::<_, RpcError>(events) }
        })
}

impl SystemService {
    pub(crate) fn lock_peer_states(&self) -> MutexGuard<'_, BTreeMap<EntryName, PeerState>> {
        self.peer_states
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let received = self.clock.now();
        if let Some(info) = &heartbeat.info {
            self.cells.add_known_cell(&info.cell);
        }
        let outcome = self.members.on_heartbeat(heartbeat);
        let cell_reply = self.cells.on_heartbeat(heartbeat, received);
        let in_force = self.config.in_force();
        let proof_age_millis = in_force
            .proved_at
            .map(|at| received.since(at).as_millis() as u64);
        HeartbeatReply {
            need_info: outcome == HeartbeatOutcome::NeedInfo || cell_reply.need_info,
            entries: self.peers.live_addresses(),
            owner: cell_reply.owner,
            epoch: cell_reply.epoch,
            renewed: cell_reply.renewed,
            orders: cell_reply.orders,
            recorded: cell_reply.recorded,
            config: self.newer_config(heartbeat, in_force.revision, &in_force.objects),
            proof_age_millis,
        }
    }

    fn newer_config(
        &self,
        heartbeat: &Heartbeat,
        revision: Revision,
        objects: &ObjectSet,
    ) -> Option<ConfigUpdate> {
        if heartbeat.revision >= revision {
            return None;
        }
        let info = self.info_of(&heartbeat.vm)?;
        Some(ConfigUpdate {
            revision,
            objects: agent_objects(&info, objects),
        })
    }

    fn info_of(&self, vm: &VmName) -> Option<VmInfo> {
        self.members
            .with(|members| members.get(vm).map(|member| member.update.info.clone()))
    }

    /// Applies the VMs and cells that another entry sent.
    pub(crate) fn apply_exchange(&self, exchange: Exchange) {
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
        let need_complete = self.record_peer_state(&exchange);
        if !need_complete {
            self.apply_exchange(exchange);
        }
        ExchangeReply {
            exchange: self.own_exchange(),
            need_complete,
        }
    }

    /// Records the state of the sender. Returns true if the sender has to send all
    /// its VMs because its incarnation is unknown here.
    fn record_peer_state(&self, exchange: &Exchange) -> bool {
        let mut peer_states = self.lock_peer_states();
        let known = peer_states
            .get(&exchange.entry)
            .is_some_and(|state| state.incarnation == exchange.incarnation);
        if !known && !exchange.complete {
            return true;
        }
        let state = PeerState {
            incarnation: exchange.incarnation,
            revision: exchange.revision,
        };
        peer_states.insert(exchange.entry.clone(), state);
        false
    }

    /// Returns the exchange that describes this entry, without VMs.
    pub(crate) fn own_exchange(&self) -> Exchange {
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

/// Returns the configuration in force with all objects; `None` if there is none.
pub(crate) fn config_update(system: &SystemService) -> Option<ConfigUpdate> {
    let in_force = system.config.in_force();
    (in_force.revision > Revision(0)).then(|| ConfigUpdate {
        revision: in_force.revision,
        objects: ObjectSet::clone(&in_force.objects),
    })
}

/// Returns the objects that an agent needs: all availability zones, its services
/// and their limits. This keeps heartbeat replies small with hundreds of teams.
fn agent_objects(info: &VmInfo, objects: &ObjectSet) -> ObjectSet {
    let mut needed = ObjectSet {
        zones: objects.zones.clone(),
        ..ObjectSet::default()
    };
    for endpoint in &info.endpoints {
        let Some(service) = objects.services.get(&endpoint.service) else {
            continue;
        };
        let limit_name = service.limit.clone();
        needed
            .services
            .insert(endpoint.service.clone(), service.clone());
        let Some(limit_name) = limit_name else {
            continue;
        };
        if let Some(object) = objects.limits.get(&limit_name) {
            needed.limits.insert(limit_name, object.clone());
        }
    }
    needed
}
