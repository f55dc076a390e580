//! Handover note that an owner leaves for the next one when it stops in an orderly
//! way.
//!
//! A new owner has no information about VMs that do not answer it, so it waits until
//! nothing can run there any more. The previous owner may have waited for part of that
//! time already, so the note holds the remaining wait for each such VM. The note gives
//! durations rather than times because the clocks of two machines differ; the next
//! owner counts them from the start of its own term, which is later.

use std::time::Duration;

use kernel::{Time, VmName};
use serde::{Deserialize, Serialize};

use super::{Owner, vm::Vm};

/// A VM whose agent does not answer, with the time for which tasks may still run
/// there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Remaining wait in milliseconds.
    pub left_millis: u64,
}

/// Handover note of an owner that has stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Epoch of the owner that wrote the note. Only the owner of the next epoch uses
    /// it.
    pub epoch: u64,
    /// VMs whose agents did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<UnreachableVm>,
}

impl Handover {
    /// Returns this note for the owner after the one of `epoch`, which has called no agent;
    /// `None` if the note was for an earlier owner.
    #[must_use]
    pub fn passed_on(self, epoch: u64) -> Option<Self> {
        let is_for_that_owner = self.epoch + 1 == epoch;
        is_for_that_owner.then_some(Self { epoch, ..self })
    }
}

impl Owner {
    /// Returns the note for the next owner. This owner must send no orders afterwards.
    #[must_use]
    pub fn handover(&self, now: Time) -> Handover {
        let mut unreachable = Vec::new();
        for (name, vm) in &self.vms {
            // This owner may not have noticed yet that an agent is unreachable.
            if !vm.unreachable && vm.has_answered() {
                continue;
            }
            let time_left = match vm.leases_expired {
                true => Duration::ZERO,
                false => self.runs_expire_at(name, vm).remaining(now),
            };
            unreachable.push(UnreachableVm {
                vm: name.clone(),
                left_millis: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
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
            "handover note of the previous owner applied"
        );
        self.handover = Some(handover);
        self.schedule_due = true;
    }

    /// Time until which the previous owner may have let agents renew leases.
    pub(super) fn earlier_renewed_until(&self) -> Time {
        match self.handover {
            Some(_) => self.term_start,
            None => self.term_start + self.timing.renewal,
        }
    }

    /// Time after which nothing can run on a VM whose agent does not answer.
    pub(super) fn runs_expire_at(&self, name: &VmName, vm: &Vm) -> Time {
        let timeout = self.timing.unreachable_agent_timeout();
        if vm.attached {
            return vm.last_answer_at + timeout;
        }
        let time_left = self.handover.as_ref().and_then(|handover| {
            let found = handover.unreachable.iter().find(|known| known.vm == *name);
            found.map(|known| Duration::from_millis(known.left_millis))
        });
        match time_left {
            Some(time_left) if !vm.has_answered() => self.term_start + time_left,
            _ => vm.last_answer_at.max(self.earlier_renewed_until()) + timeout,
        }
    }
}
