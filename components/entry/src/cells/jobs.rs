//! Accepts jobs and cancellations.
//!
//! One transaction accepts a job or a cancellation, whether or not the cell has
//! an owner at that moment. The owner reads both from the cell's inbox.

use std::time::Duration;

use cell::{AcceptedJob, CellShare, TaskRange, spread::deduct_capacity};
use kernel::{CellName, JobName, JobSpec, ObjectSet, Resources, Verdict, task::MAX_TASKS_PER_JOB};
use proto::{
    Peer,
    messages::{Cancel, CancelReply, Submit, SubmitReply},
    methods::{CancelCall, SubmitCall},
};
use store::{KeyRange, StoreError, TxnReply, keys};

use super::Cells;

/// The maximum length of a job's program text.
const MAX_PROGRAM_BYTES: usize = 64 * 1024;

/// How many times a write is attempted before its outcome is reported as unknown.
const RESOLVE_ATTEMPTS: u32 = 3;
const RESOLVE_PAUSE: Duration = Duration::from_millis(100);

/// The timeout of a notification to another entry.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);

/// The outcome of submitting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// [`Verdict::Done`] once the job is accepted.
    pub verdict: Verdict,
    /// Why the job was refused or its outcome is unknown; empty if accepted.
    pub reason: String,
    /// The cells among which the job's tasks are divided.
    pub cells: Vec<CellName>,
}

impl SubmitOutcome {
    fn refused(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason: reason.into(),
            cells: Vec::new(),
        }
    }
}

impl Cells {
    /// Accepts a job and spreads it over cells by their capacity. The job's name
    /// makes a repeated submit have no further effect.
    pub async fn submit(&self, spec: JobSpec) -> SubmitOutcome {
        let view = (self.setup.config)();
        if let Err(reason) = validate(&spec, &view.objects) {
            return SubmitOutcome::refused(reason);
        }
        let shares = self.allocate_shares(&spec);
        if shares.is_empty() {
            return SubmitOutcome::refused(
                "no cell is known yet; try again once workers have reported",
            );
        }
        self.submit_shares(shares, spec).await
    }

    /// Accepts a job for one cell. The job's name makes a repeated submit have
    /// no further effect.
    pub async fn submit_to(&self, submit: Submit) -> SubmitOutcome {
        let part = TaskRange::whole(&submit.spec);
        let cell = submit.cell;
        self.submit_shares(vec![CellShare { cell, part }], submit.spec)
            .await
    }

    async fn submit_shares(&self, shares: Vec<CellShare>, spec: JobSpec) -> SubmitOutcome {
        let accepted = AcceptedJob {
            shares,
            spec: spec.clone(),
            at: self.now(),
        };
        let outcome = self.create_job_key(&accepted).await;
        let submitted = submit_outcome(&spec, outcome);
        for cell in &submitted.cells {
            self.notify_owner_of_submit(cell, &spec).await;
        }
        submitted
    }

    /// Splits a job over the cells by their capacity and deducts each share.
    fn allocate_shares(&self, spec: &JobSpec) -> Vec<CellShare> {
        let mut shared = self.shared();
        let known: Vec<CellName> = shared.known_cells.iter().cloned().collect();
        for cell in known {
            shared.capacities.entry(cell).or_default();
        }
        let shares = cell::spread(spec, &shared.capacities);
        for share in &shares {
            if let Some(capacity) = shared.capacities.get_mut(&share.cell) {
                deduct_capacity(capacity, spec.need, u64::from(share.part.len()));
            }
        }
        shares
    }

    /// Creates the key of a job, or returns the existing one.
    ///
    /// The transaction requires that the key is absent, so repeating it after a
    /// lost reply shows whether it took effect.
    async fn create_job_key(
        &self,
        accepted: &AcceptedJob,
    ) -> Result<Option<AcceptedJob>, StoreError> {
        let mut may_have_run = false;
        let mut attempts = 0;
        loop {
            let mut error = match self.setup.store.txn(accepted.accept_txn()).await {
                Ok(reply) if reply.succeeded => return Ok(Some(accepted.clone())),
                Ok(reply) => return Ok(existing_job(&reply)),
                Err(error) => error,
            };
            may_have_run |= error.verdict != Verdict::NotRun;
            attempts += 1;
            if attempts == RESOLVE_ATTEMPTS {
                if may_have_run {
                    error.verdict = Verdict::MayHaveRun;
                }
                return Err(error);
            }
            smol::Timer::after(RESOLVE_PAUSE).await;
        }
    }

    /// Handles a submit notification from another entry. Accepts the job if this
    /// entry does not own the cell.
    pub async fn on_submit_call(&self, submit: Submit) -> SubmitReply {
        if self.request_inbox_read(&submit.cell) {
            return SubmitReply {
                verdict: Verdict::Done,
                reason: String::new(),
            };
        }
        let submitted = self.submit_to(submit).await;
        SubmitReply {
            verdict: submitted.verdict,
            reason: submitted.reason,
        }
    }

    /// Accepts the cancellation of a job.
    pub async fn cancel(&self, job: &JobName) -> Result<CancelReply, StoreError> {
        let Some(accepted) = self.accepted_job(job).await? else {
            return Ok(CancelReply {
                verdict: Verdict::NotRun,
                known: false,
            });
        };
        let txn = accepted.cancel_txn(self.now());
        let mut attempts = 0;
        let reply = loop {
            attempts += 1;
            match self.setup.store.txn(txn.clone()).await {
                // The transaction is idempotent, so it can be repeated.
                Err(_) if attempts < RESOLVE_ATTEMPTS => {}
                ended => break ended?,
            }
            smol::Timer::after(RESOLVE_PAUSE).await;
        };
        if !reply.succeeded {
            return Ok(CancelReply {
                verdict: Verdict::NotRun,
                known: false,
            });
        }
        for share in &accepted.shares {
            self.notify_owner_of_cancel(&share.cell, job).await;
        }
        Ok(CancelReply {
            verdict: Verdict::Done,
            known: true,
        })
    }

    /// Handles a cancel notification from another entry.
    pub fn on_cancel_call(&self, cancel: &Cancel) -> CancelReply {
        for slot in self.slots() {
            slot.request_inbox_read();
        }
        tracing::debug!(job = %cancel.job, "received a cancel notification");
        CancelReply {
            verdict: Verdict::Done,
            known: true,
        }
    }

    async fn accepted_job(&self, job: &JobName) -> Result<Option<AcceptedJob>, StoreError> {
        let range = KeyRange::one(keys::job(job));
        let reply = self.setup.store.range(range, 1).await?;
        let Some(kv) = reply.kvs.first() else {
            return Ok(None);
        };
        serde_json::from_slice(&kv.value)
            .map(Some)
            .map_err(|error| StoreError::not_run(format!("{} can't be read: {error}", kv.key)))
    }

    /// Makes the driver of a cell read its inbox. Returns whether this entry
    /// owns the cell.
    fn request_inbox_read(&self, cell: &CellName) -> bool {
        let slot = self.shared().slots.get(cell).cloned();
        let Some(slot) = slot else {
            return false;
        };
        slot.request_inbox_read();
        true
    }

    /// Notifies the owner of a cell that its inbox holds a job. Without the
    /// notification the owner finds the job at its next periodic read.
    async fn notify_owner_of_submit(&self, cell: &CellName, spec: &JobSpec) {
        if self.request_inbox_read(cell) {
            return;
        }
        let Some(peer) = self.peer_of_owner(cell) else {
            return;
        };
        let submit = Submit {
            cell: cell.clone(),
            spec: spec.clone(),
        };
        if let Err(error) = peer.call::<SubmitCall>(submit, NOTIFY_TIMEOUT).await {
            tracing::debug!(%cell, %error, "failed to notify the owner of a submit");
        }
    }

    async fn notify_owner_of_cancel(&self, cell: &CellName, job: &JobName) {
        if self.request_inbox_read(cell) {
            return;
        }
        let Some(peer) = self.peer_of_owner(cell) else {
            return;
        };
        let cancel = Cancel { job: job.clone() };
        if let Err(error) = peer.call::<CancelCall>(cancel, NOTIFY_TIMEOUT).await {
            tracing::debug!(%cell, %error, "failed to notify the owner of a cancellation");
        }
    }

    fn peer_of_owner(&self, cell: &CellName) -> Option<Peer> {
        let owner = self.known_owner(cell)?;
        if owner.entry == self.setup.entry {
            return None;
        }
        Some(Peer::new(owner.address, self.setup.secrets.clone()))
    }
}

fn existing_job(reply: &TxnReply) -> Option<AcceptedJob> {
    let kv = reply.otherwise.first()?.first()?;
    serde_json::from_slice(&kv.value).ok()
}

fn submit_outcome(
    spec: &JobSpec,
    outcome: Result<Option<AcceptedJob>, StoreError>,
) -> SubmitOutcome {
    match outcome {
        Ok(Some(accepted)) if accepted.spec == *spec => SubmitOutcome {
            verdict: Verdict::Done,
            reason: String::new(),
            cells: accepted
                .shares
                .into_iter()
                .map(|share| share.cell)
                .collect(),
        },
        Ok(_) => SubmitOutcome::refused(format!(
            "another job is called {}; choose another name",
            spec.name
        )),
        Err(error) => SubmitOutcome {
            verdict: error.verdict,
            reason: error.message,
            cells: Vec::new(),
        },
    }
}

/// Returns an error with the reason if the job can never run.
fn validate(spec: &JobSpec, objects: &ObjectSet) -> Result<(), String> {
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        return Err(format!(
            "a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {}",
            spec.tasks
        ));
    }
    if spec.program.len() > MAX_PROGRAM_BYTES {
        return Err(format!(
            "the program is longer than {MAX_PROGRAM_BYTES} bytes"
        ));
    }
    let Some(team) = objects.teams.get(&spec.team) else {
        return Err(format!(
            "the team {} is not in the configuration; apply it first",
            spec.team
        ));
    };
    let batch = spec.class == kernel::TaskClass::Batch;
    if batch && !spec.need.fits(team.quota) {
        return Err(format!(
            "one task needs {}, more than the quota of {}: {}",
            spec.need, spec.team, team.quota
        ));
    }
    let fits_any_pool = |need: Resources| {
        objects.pools.is_empty() || objects.pools.values().any(|pool| need.fits(pool.capacity))
    };
    if !fits_any_pool(spec.need) {
        return Err(format!(
            "one task needs {}, more than a worker of any pool has",
            spec.need
        ));
    }
    Ok(())
}
