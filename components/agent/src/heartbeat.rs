//! The agent's signs of life.
//!
//! One heartbeat is in flight at a time, so their answers arrive in order. The
//! owner of the VM's cell gets them; until it is known any entry does.

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
/// How long an entry may take to answer, in intervals.
const TIMEOUT_INTERVALS: u32 = 2;

/// Tells the current load of the endpoints.
pub type LoadSource = Arc<dyn Fn() -> Vec<EndpointLoad> + Send + Sync>;

/// Sends heartbeats and obeys their answers.
pub struct Heartbeats {
    /// The fixed facts of the VM.
    pub info: VmInfo,
    /// Its tasks.
    pub tasks: Arc<TaskRunner>,
    /// Its configuration.
    pub config: Arc<AgentConfig>,
    /// Its endpoints' load.
    pub load: LoadSource,
    /// How often to send.
    pub interval: Duration,
    /// The secrets to send.
    pub secrets: Secrets,
    /// The agent's clock.
    pub clock: Clock,
    leaving: AtomicBool,
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
    /// Heartbeats of the VM that `info` describes.
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

    /// Announces from now on that the agent takes no new work.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// How many heartbeats were answered.
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
            match self.beat(&peer, sequence, need_info).await {
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

    /// Waits for the next turn, or for news that should not wait.
    async fn pause(&self, at_once: bool) {
        smol::Timer::after(MIN_GAP).await;
        if at_once {
            return;
        }
        let turn = async {
            smol::Timer::after(self.interval.saturating_sub(MIN_GAP)).await;
        };
        turn.or(self.tasks.report_requested()).await;
    }

    async fn beat(
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
        let open = in_force.objects.takes_work(&self.info.zone, &self.info.vm);
        self.tasks.set_accepts_work(open);
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
