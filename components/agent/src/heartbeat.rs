//! Heartbeats of an agent to the entries.
//!
//! One heartbeat is in flight at a time, so replies arrive in order. Heartbeats
//! go to the owner of the VM's cell, or to any entry while the owner is unknown.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_lite::FutureExt;
use kernel::{Clock, EndpointLoad, VmInfo, secret::Secrets};
use proto::{
    Peer, RpcError,
    messages::{Heartbeat, HeartbeatReply},
    methods::HeartbeatCall,
};

use crate::{config::AgentConfig, targets::Targets, tasks::TaskRunner};

/// The shortest time between two heartbeats.
const MIN_GAP: Duration = Duration::from_millis(25);
/// Timeout of a heartbeat, in heartbeat intervals.
const TIMEOUT_INTERVALS: u32 = 2;

/// Returns the current load of the endpoints.
pub type LoadSource = Arc<dyn Fn() -> Vec<EndpointLoad> + Send + Sync>;

/// Sends heartbeats to the entries and applies their replies.
pub struct Heartbeats {
    /// Properties of the VM that stay the same for one incarnation of the agent.
    pub info: VmInfo,
    /// Supplies the reports on tasks and receives the replies.
    pub tasks: Arc<TaskRunner>,
    /// The configuration in force, updated from replies.
    pub config: Arc<AgentConfig>,
    /// Returns the load of the endpoints for the next heartbeat.
    pub load: LoadSource,
    /// Time between two regular heartbeats.
    pub interval: Duration,
    /// Secrets that authenticate the agent to the entries.
    pub secrets: Secrets,
    /// The agent's clock.
    pub clock: Clock,
    /// Whether heartbeats announce that the agent is leaving.
    leaving: AtomicBool,
    /// Number of heartbeats that entries have answered.
    answered: AtomicU64,
}

impl std::fmt::Debug for Heartbeats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Heartbeats")
            .field("info", &self.info)
            .finish_non_exhaustive()
    }
}

impl Heartbeats {
    /// Creates the heartbeats of the VM that `info` describes.
    #[must_use]
    pub fn new(
        info: VmInfo,
        tasks: Arc<TaskRunner>,
        config: Arc<AgentConfig>,
        load: LoadSource,
        interval: Duration,
        secrets: Secrets,
        clock: Clock,
    ) -> Self {
        Self {
            info,
            tasks,
            config,
            load,
            interval,
            secrets,
            clock,
            leaving: AtomicBool::new(false),
            answered: AtomicU64::new(0),
        }
    }

    /// Announces in all further heartbeats that the agent is leaving and takes no new work.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of heartbeats that entries have answered.
    #[must_use]
    pub fn answered_count(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Sends heartbeats forever.
    pub async fn run(&self, mut targets: Targets) {
        let mut sequence = 0;
        let mut need_info = true;
        let mut peer = Peer::new(targets.current(), self.secrets.clone());
        loop {
            if peer.address() != targets.current() {
                peer = Peer::new(targets.current(), self.secrets.clone());
                need_info = true;
            }
            sequence += 1;
            match self.send_heartbeat(&peer, sequence, need_info).await {
                Ok(reply) => {
                    need_info = reply.need_info;
                    self.answered.fetch_add(1, Ordering::Relaxed);
                    let owner = reply.owner.as_ref().map(|owner| owner.address);
                    targets.on_reply(reply.entries, owner);
                }
                Err(error) => {
                    tracing::warn!(entry = %peer.address(), %error, "heartbeat failed");
                    need_info = true;
                    targets.on_failure();
                }
            }
            self.pause(need_info && targets.consecutive_failures() == 0)
                .await;
        }
    }

    /// Waits for the next regular heartbeat, or until the tasks request an early one.
    async fn pause(&self, at_once: bool) {
        smol::Timer::after(MIN_GAP).await;
        if at_once {
            return;
        }
        let regular = async {
            smol::Timer::after(self.interval.saturating_sub(MIN_GAP)).await;
        };
        regular.or(self.tasks.report_requested()).await;
    }

    async fn send_heartbeat(
        &self,
        peer: &Peer,
        sequence: u64,
        need_info: bool,
    ) -> Result<HeartbeatReply, RpcError> {
        let heartbeat = self.compose(sequence, need_info);
        let sent_at = self.clock.now();
        let timeout = self.interval * TIMEOUT_INTERVALS;
        let mut reply = peer.call::<HeartbeatCall>(heartbeat, timeout).await?;
        if let Some(update) = reply.config.take() {
            tracing::info!(revision = update.revision.0, "configuration in force");
            self.config.update(update);
        }
        let in_force = self.config.in_force();
        let accepts_work = in_force.objects.takes_work(&self.info.zone, &self.info.vm);
        self.tasks.set_accepts_work(accepts_work);
        self.tasks.apply_reply(sent_at, reply.clone());
        Ok(reply)
    }

    fn compose(&self, sequence: u64, need_info: bool) -> Heartbeat {
        let tasks = self.tasks.reports();
        Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence,
            info: need_info.then(|| self.info.clone()),
            epoch: self.tasks.epoch(),
            revision: self.config.in_force().revision,
            leaving: self.leaving.load(Ordering::Relaxed),
            load: (self.load)(),
            tasks_unknown: tasks.is_none(),
            tasks: tasks.unwrap_or_default(),
        }
    }
}
