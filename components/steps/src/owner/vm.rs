//! A VM with a worker, as the owner keeps it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kernel::{Resources, Time};
use serde::{Deserialize, Serialize};

use super::health::Health;
use crate::{
    interference::{Weights, cpu_share, image_name},
    message::{ClockReading, Role, RunKey, StartOrder, WorkerIncarnation, WorkerInfo},
};

/// The part of its target up to which a serving task is loaded by placement: its
/// load may rise before the tasks placed now have ended.
const AIM: f64 = 0.75;
/// The part of its target that a serving task takes undisturbed until its first
/// figure is known.
const USUALLY_UNDISTURBED: f64 = 0.35;
/// What a serving task can bear at least, as a divisor.
const LEAST_BEARABLE: f64 = 0.05;
/// Serving tasks reserve for their highest load and use about half of it; if
/// they use more, those that fill are slower.
const SERVING_USES_ONE_OF: u64 = 2;

/// What a task that fills would find on a VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    /// The part of its full speed.
    pub(super) speed: f64,
    /// The part that it would take of what is scarcest there.
    pub(super) strain: f64,
}

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
    pub(super) role: Role,
    /// Whether an order to start it went unanswered, so that the refusal of a
    /// repeated one does not say that it is not there.
    pub(super) is_doubtful: bool,
    /// When the order to stop it was last sent.
    pub(super) stop_sent: Option<Time>,
    /// The logarithm of a serving task's latency without those that fill, as a
    /// part of its target, once it is known.
    pub(super) undisturbed: Option<f64>,
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
    pub(super) worker_responsive: bool,
    pub(super) unreachable: bool,
    /// When the agent last answered, or the owner first heard of it.
    pub(super) last_answer: Time,
    /// The life of the keeper, and the version of its last report.
    pub(super) keeper: u64,
    pub(super) seen: u64,
    pub(super) clock_reading: Option<(ClockReading, Time)>,
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
    pub(super) starts: Vec<StartOrder>,
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
            worker_responsive: false,
            unreachable: false,
            last_answer: now,
            keeper: 0,
            seen: 0,
            clock_reading: None,
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

    /// Whether its agent has answered under this term.
    pub(super) const fn has_answered(&self) -> bool {
        self.keeper != 0
    }

    pub(super) fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.info.as_ref().map(|info| &info.incarnation)
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
        if !self.worker_responsive {
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
        let room = self.info.as_ref().map(|info| info.capacity);
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

    /// The processor time that the worker has, in thousandths of a core.
    pub(super) fn capacity_milli(&self) -> u64 {
        let room = self.info.as_ref().map(|info| info.capacity);
        room.unwrap_or_default().cpu_milli.max(1)
    }

    /// What a task that fills would find here.
    pub(super) fn prospect(
        &self,
        image: Option<&Arc<str>>,
        cpu_milli: u64,
        weights: &Weights,
    ) -> Prospect {
        let image = image_name(image);
        let capacity = self.capacity_milli();
        let part = cpu_share(cpu_milli, capacity);
        let mut prospect = Prospect {
            speed: 1.0,
            strain: 0.0,
        };
        for held in self.held.values() {
            let Role::Serving { image: serves, .. } = &held.role else {
                continue;
            };
            let serves = image_name(serves.as_ref());
            let whole = weights.get(&serves, &image) * part;
            let left = self.bearable(&serves, held.undisturbed, weights);
            if whole > 0.0 {
                prospect.speed = prospect.speed.min((left / whole).max(0.0));
                let of_left = whole / left.max(LEAST_BEARABLE);
                prospect.strain = prospect.strain.max(of_left.min(1.0));
            }
        }
        let wanted = self.filling_milli() + cpu_milli;
        let free = self.free_milli();
        let share = cpu_share(free, wanted).min(1.0);
        prospect.speed = prospect.speed.min(share);
        prospect.strain = prospect.strain.max(cpu_share(cpu_milli, free).min(1.0));
        prospect
    }

    /// The logarithm of the factor on its latency that a serving image can still
    /// bear if all that fills here works at full speed.
    fn bearable(&self, serves: &Arc<str>, undisturbed: Option<f64>, weights: &Weights) -> f64 {
        let mut left = AIM.ln() - undisturbed.unwrap_or(USUALLY_UNDISTURBED.ln());
        for held in self.held.values() {
            if let Role::BestEffort { image, cpu_milli } = &held.role {
                let image = image_name(image.as_ref());
                left -= weights.get(serves, &image) * cpu_share(*cpu_milli, self.capacity_milli());
            }
        }
        left
    }

    /// The processor time that tasks which fill want here.
    fn filling_milli(&self) -> u64 {
        let mut sum = 0;
        for held in self.held.values() {
            if let Role::BestEffort { cpu_milli, .. } = &held.role {
                sum += cpu_milli;
            }
        }
        sum
    }

    /// The processor time that tasks which fill find here.
    fn free_milli(&self) -> u64 {
        let mut used = 0;
        for held in self.held.values() {
            used += match held.role {
                Role::Serving { .. } => held.reserved.cpu_milli / SERVING_USES_ONE_OF,
                Role::Plain | Role::BestEffort { .. } => held.reserved.cpu_milli,
            };
        }
        self.capacity_milli().saturating_sub(used)
    }
}
