//! What an owner that stops in order tells the next one.
//!
//! A new owner knows nothing of VMs that do not answer it, so it waits as long as
//! anything may run there. The owner before may have waited already: it leaves
//! what is left of that wait. Spans are left, not times, since the clocks of two
//! machines differ; the next owner counts them from the start of its own term,
//! which is later.

use std::time::Duration;

use kernel::{Time, VmName};
use serde::{Deserialize, Serialize};

use super::{Owner, vm::Vm};

/// How long anything may still run on a VM that does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableVm {
    /// The VM.
    pub vm: VmName,
    /// What is left of the wait, in milliseconds.
    pub left_millis: u64,
}

/// The note of an owner that has stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Its term; it tells nothing to later terms than the next one.
    pub epoch: u64,
    /// The VMs that did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<UnreachableVm>,
}

impl Owner {
    /// The note for the next owner; nothing may be ordered after it.
    #[must_use]
    pub fn handover(&self, now: Time) -> Handover {
        let mut unreachable = Vec::new();
        for (name, vm) in &self.vms {
            if !vm.unreachable {
                continue;
            }
            let left = match vm.written_off {
                true => Duration::ZERO,
                false => self.silent_until(name, vm).remaining(now),
            };
            unreachable.push(UnreachableVm {
                vm: name.clone(),
                left_millis: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            });
        }
        Handover {
            epoch: self.epoch,
            unreachable,
        }
    }

    pub(super) fn on_handover(&mut self, handover: Handover) {
        if handover.epoch + 1 != self.epoch {
            return;
        }
        tracing::info!(
            epoch = self.epoch,
            silent = handover.unreachable.len(),
            "the owner before has handed over"
        );
        self.handover = Some(handover);
        self.schedule_due = true;
    }

    /// When the owner before stopped letting keepers renew leases.
    pub(super) fn earlier_renewed_until(&self) -> Time {
        match self.handover {
            Some(_) => self.taken,
            None => self.taken + self.timing.renewal,
        }
    }

    /// When nothing can run any more on a VM that does not answer.
    pub(super) fn silent_until(&self, name: &VmName, vm: &Vm) -> Time {
        let silence = self.timing.unreachable_agent_timeout();
        if vm.attached {
            return vm.last_answer + silence;
        }
        let left = self.handover.as_ref().and_then(|handover| {
            let known = handover
                .unreachable
                .iter()
                .find(|silent| silent.vm == *name);
            known.map(|silent| Duration::from_millis(silent.left_millis))
        });
        match left {
            Some(left) if !vm.has_answered() => self.taken + left,
            _ => vm.last_answer.max(self.earlier_renewed_until()) + silence,
        }
    }
}
