//! A VM with a worker, as the owner keeps it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kernel::{Resources, Time};
use serde::{Deserialize, Serialize};

use super::{harm::Harm, health::Health};
use crate::message::{Life, Role, RunKey, Stamp, Start, WorkerInfo};

/// Where a run is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order to start it waits or is on its way.
    Ordered,
    /// The worker took it; looks later than this one show whether it is there.
    Present {
        /// The look.
        after: u64,
    },
    /// It has to be stopped; the order waits, is on its way, or was answered.
    Stopping {
        /// The look after which its absence means that it is gone.
        after: Option<u64>,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) phase: Phase,
    /// When it was ordered, or first seen.
    pub(super) since: Time,
    pub(super) reserved: Resources,
    /// The processor time that it wants, in thousandths of a core, also if it
    /// reserves none.
    pub(super) wants_cpu: u64,
    pub(super) role: Role,
    /// When the order to stop it was last sent.
    pub(super) stop_sent: Option<Time>,
    /// Since when it has used no processor time.
    pub(super) idle_since: Option<Time>,
}

/// How an owner sees a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmStatus {
    /// No answer of its agent under this term yet.
    Unknown,
    /// Its worker takes work.
    Ready,
    /// Its worker is about to leave.
    Draining,
    /// Its worker does not answer.
    Silent,
    /// Its agent does not answer.
    Unreachable,
    /// Nothing runs there any more.
    Empty,
}

/// A VM with what is known of its worker.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub(super) info: Option<WorkerInfo>,
    /// Whether the worker has answered under this term, so that no order of an
    /// earlier one can still be carried out.
    pub(super) attached: bool,
    /// Whether all that may have run there before this term has ended.
    pub(super) written_off: bool,
    pub(super) answering: bool,
    pub(super) unreachable: bool,
    /// When the agent last answered, or the owner first heard of it.
    pub(super) last_answer: Time,
    /// The life of the keeper, and the version of its last report.
    pub(super) keeper: u64,
    pub(super) seen: u64,
    pub(super) stamp: Option<(Stamp, Time)>,
    pub(super) held: BTreeMap<RunKey, Held>,
    pub(super) used: Resources,
    /// The number of the last end that was taken in.
    pub(super) processed: u64,
    /// Ends that may be forgotten once the change is durable.
    pub(super) to_record: VecDeque<(u64, u64)>,
    /// The last end whose record is durable.
    pub(super) recorded: u64,
    /// The last end whose record the keeper was told of.
    pub(super) told: u64,
    pub(super) starts: Vec<Start>,
    pub(super) stops: BTreeSet<RunKey>,
    pub(super) roles: Vec<(RunKey, Role)>,
    /// The version of the images' weights that the keeper was told.
    pub(super) weights_told: u64,
    pub(super) health: Health,
    /// Runs that nobody here knows, and since when they are seen.
    pub(super) strangers: BTreeMap<RunKey, Time>,
    /// No starts before, since the worker refused one for want of room.
    pub(super) full_until: Time,
}

impl Vm {
    pub(super) fn new(now: Time) -> Self {
        Self {
            info: None,
            attached: false,
            written_off: false,
            answering: false,
            unreachable: false,
            last_answer: now,
            keeper: 0,
            seen: 0,
            stamp: None,
            held: BTreeMap::new(),
            used: Resources::NONE,
            processed: 0,
            to_record: VecDeque::new(),
            recorded: 0,
            told: 0,
            starts: Vec::new(),
            stops: BTreeSet::new(),
            roles: Vec::new(),
            weights_told: 0,
            health: Health::default(),
            strangers: BTreeMap::new(),
            full_until: Time::ZERO,
        }
    }

    pub(super) fn life(&self) -> Option<&Life> {
        self.info.as_ref().map(|info| &info.life)
    }

    pub(super) fn status(&self) -> VmStatus {
        let Some(info) = &self.info else {
            return match self.written_off {
                true => VmStatus::Empty,
                false => VmStatus::Unknown,
            };
        };
        if self.unreachable {
            return VmStatus::Unreachable;
        }
        if !self.attached {
            return VmStatus::Unknown;
        }
        if !self.answering {
            return VmStatus::Silent;
        }
        match info.draining {
            true => VmStatus::Draining,
            false => VmStatus::Ready,
        }
    }

    /// Whether its keeper has to be told something.
    pub(super) fn has_orders(&self) -> bool {
        let is_told = self.told >= self.recorded || self.unreachable;
        self.info.is_some() && (!self.starts.is_empty() || !self.stops.is_empty() || !is_told)
    }

    /// What is free for new tasks.
    pub(super) fn room(&self) -> Resources {
        let room = self.info.as_ref().map(|info| info.room);
        room.unwrap_or_default().minus(self.used)
    }

    pub(super) fn hold(&mut self, key: RunKey, held: Held) {
        self.used = self.used.plus(held.reserved);
        if let Some(earlier) = self.held.insert(key, held) {
            self.used = self.used.minus(earlier.reserved);
        }
    }

    pub(super) fn release(&mut self, key: &RunKey) -> Option<Held> {
        let held = self.held.remove(key)?;
        self.used = self.used.minus(held.reserved);
        self.stops.remove(key);
        self.starts.retain(|start| start.key != *key);
        Some(held)
    }

    /// The processor time that tasks which fill want here.
    pub(super) fn filling_cpu(&self) -> u64 {
        let fills = |held: &&Held| matches!(held.role, Role::Fills { .. });
        self.held
            .values()
            .filter(fills)
            .map(|held| held.wants_cpu)
            .sum()
    }

    /// The logarithm of the factor that is expected on the latency of serving
    /// tasks if those that fill ran at full speed.
    pub(super) fn pressure(&self, harm: &Harm) -> f64 {
        let capacity = self
            .info
            .as_ref()
            .map_or(1, |info| info.room.cpu_milli.max(1)) as f64;
        let mut sum = 0.0;
        for held in self.held.values() {
            if let Role::Fills { image } = &held.role {
                sum += harm.weight(image.as_ref()) * held.wants_cpu as f64 / capacity;
            }
        }
        sum
    }

    /// How many serving tasks are here.
    pub(super) fn serving(&self) -> usize {
        let serves = |held: &&Held| matches!(held.role, Role::Serves { .. });
        self.held.values().filter(serves).count()
    }
}
