//! Accepting jobs and cancellations.
//!
//! Both are accepted by one transaction, whether or not the cell has an owner
//! at that moment; the owner takes them from its inbox.

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

/// The longest program text of a job, in bytes.
const MAX_PROGRAM_BYTES: usize = 64 * 1024;

/// How often an unknown outcome is looked up before it is reported as unknown.
const SETTLE_TRIES: u32 = 3;
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// How long a nudge to another entry may take.
const NUDGE_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// [`Verdict::Done`] once the job is accepted.
    pub verdict: Verdict,
    /// Why it was refused or is in doubt.
    pub reason: String,
    /// The cells that took it.
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
    /// Accepts a job, spread over cells by their room, exactly once by its name.
    pub async fn submit(&self, spec: JobSpec) -> SubmitOutcome {
        let view = (self.setup.config)();
        if let Err(reason) = check(&spec, &view.objects) {
            return SubmitOutcome::refused(reason);
        }
        let shares = self.shares(&spec);
        if shares.is_empty() {
            return SubmitOutcome::refused("no cell is known yet; try again once workers reported");
        }
        self.submit_shares(shares, spec).await
    }

    /// Accepts a job for one cell, exactly once by its name.
    pub async fn submit_to(&self, submit: Submit) -> SubmitOutcome {
        let part = TaskRange::whole(&submit.spec);
        let cell = submit.cell;
        self.submit_shares(vec![CellShare { cell, part }], submit.spec)
            .await
    }

    async fn submit_shares(&self, shares: Vec<CellShare>, spec: JobSpec) -> SubmitOutcome {
        let key = AcceptedJob {
            shares,
            spec: spec.clone(),
            at: self.now(),
        };
        let outcome = self.create(&key).await;
        let submitted = conclude(&spec, outcome);
        for cell in &submitted.cells {
            self.nudge_owner(cell, &spec).await;
        }
        submitted
    }

    /// Splits a job over the cells by their room, and counts it against that.
    fn shares(&self, spec: &JobSpec) -> Vec<CellShare> {
        let mut shared = self.shared();
        let known: Vec<CellName> = shared.known.iter().cloned().collect();
        for cell in known {
            shared.rooms.entry(cell).or_default();
        }
        let shares = cell::spread(spec, &shared.rooms);
        for share in &shares {
            if let Some(room) = shared.rooms.get_mut(&share.cell) {
                deduct_capacity(room, spec.need, u64::from(share.part.len()));
            }
        }
        shares
    }

    /// Creates the key of a job, or finds the one that exists.
    ///
    /// The transaction creates a key, so repeating it settles a lost answer.
    async fn create(&self, key: &AcceptedJob) -> Result<Option<AcceptedJob>, StoreError> {
        let mut may_have_run = false;
        let mut tries = 0;
        loop {
            let mut error = match self.setup.store.txn(key.accept_txn()).await {
                Ok(reply) if reply.succeeded => return Ok(Some(key.clone())),
                Ok(reply) => return Ok(existing(&reply)),
                Err(error) => error,
            };
            may_have_run |= error.verdict != Verdict::NotRun;
            tries += 1;
            if tries == SETTLE_TRIES {
                if may_have_run {
                    error.verdict = Verdict::MayHaveRun;
                }
                return Err(error);
            }
            smol::Timer::after(SETTLE_PAUSE).await;
        }
    }

    /// Takes a submit that another entry passed on: the cell is owned here.
    pub async fn on_submit_call(&self, submit: Submit) -> SubmitReply {
        if self.nudge(&submit.cell) {
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
        let Some(key) = self.job_key(job).await? else {
            return Ok(CancelReply {
                verdict: Verdict::NotRun,
                known: false,
            });
        };
        let txn = key.cancel_txn(self.now());
        let mut tries = 0;
        let reply = loop {
            tries += 1;
            match self.setup.store.txn(txn.clone()).await {
                // Writing a cancellation twice changes nothing.
                Err(_) if tries < SETTLE_TRIES => {}
                ended => break ended?,
            }
            smol::Timer::after(SETTLE_PAUSE).await;
        };
        if !reply.succeeded {
            return Ok(CancelReply {
                verdict: Verdict::NotRun,
                known: false,
            });
        }
        for share in &key.shares {
            self.nudge_cancel(&share.cell, job).await;
        }
        Ok(CancelReply {
            verdict: Verdict::Done,
            known: true,
        })
    }

    /// Takes a cancellation that another entry passed on.
    pub fn on_cancel_call(&self, cancel: &Cancel) -> CancelReply {
        for slot in self.slots() {
            slot.nudge();
        }
        tracing::debug!(job = %cancel.job, "told of a cancellation");
        CancelReply {
            verdict: Verdict::Done,
            known: true,
        }
    }

    async fn job_key(&self, job: &JobName) -> Result<Option<AcceptedJob>, StoreError> {
        let range = KeyRange::one(keys::job(job));
        let reply = self.setup.store.range(range, 1).await?;
        let Some(kv) = reply.kvs.first() else {
            return Ok(None);
        };
        serde_json::from_slice(&kv.value)
            .map(Some)
            .map_err(|error| StoreError::not_run(format!("{} can't be read: {error}", kv.key)))
    }

    /// Makes the driver of a cell read its inbox; whether it is owned here.
    fn nudge(&self, cell: &CellName) -> bool {
        let slot = self.shared().slots.get(cell).cloned();
        let Some(slot) = slot else {
            return false;
        };
        slot.nudge();
        true
    }

    /// Tells the owner of a cell that its inbox holds a job; it would find it
    /// by itself a little later.
    async fn nudge_owner(&self, cell: &CellName, spec: &JobSpec) {
        if self.nudge(cell) {
            return;
        }
        let Some(peer) = self.owner_peer(cell) else {
            return;
        };
        let submit = Submit {
            cell: cell.clone(),
            spec: spec.clone(),
        };
        if let Err(error) = peer.call::<SubmitCall>(submit, NUDGE_TIMEOUT).await {
            tracing::debug!(%cell, %error, "the owner was not told");
        }
    }

    async fn nudge_cancel(&self, cell: &CellName, job: &JobName) {
        if self.nudge(cell) {
            return;
        }
        let Some(peer) = self.owner_peer(cell) else {
            return;
        };
        let cancel = Cancel { job: job.clone() };
        if let Err(error) = peer.call::<CancelCall>(cancel, NUDGE_TIMEOUT).await {
            tracing::debug!(%cell, %error, "the owner was not told");
        }
    }

    fn owner_peer(&self, cell: &CellName) -> Option<Peer> {
        let owner = self.owner_seen(cell)?;
        if owner.entry == self.setup.entry {
            return None;
        }
        Some(Peer::new(owner.address, self.setup.secrets.clone()))
    }
}

fn existing(reply: &TxnReply) -> Option<AcceptedJob> {
    let kv = reply.otherwise.first()?.first()?;
    serde_json::from_slice(&kv.value).ok()
}

fn conclude(spec: &JobSpec, outcome: Result<Option<AcceptedJob>, StoreError>) -> SubmitOutcome {
    match outcome {
        Ok(Some(key)) if key.spec == *spec => SubmitOutcome {
            verdict: Verdict::Done,
            reason: String::new(),
            cells: key.shares.into_iter().map(|share| share.cell).collect(),
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

/// Refuses what can never run, with the reason.
fn check(spec: &JobSpec, objects: &ObjectSet) -> Result<(), String> {
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
    let fits_a_pool = |need: Resources| {
        objects.pools.is_empty() || objects.pools.values().any(|pool| need.fits(pool.capacity))
    };
    if !fits_a_pool(spec.need) {
        return Err(format!(
            "no worker pool has workers that hold {}",
            spec.need
        ));
    }
    Ok(())
}
