//! Runs tasks at the worker: passes events and the time to [`RunTracker`] and
//! carries out its actions.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{Clock, Epoch, Resources, TaskRun};
use proto::messages::{HeartbeatReply, TaskReport};
use smol::channel::{Receiver, Sender};

use crate::{
    runs::{Action, Event, RunTracker},
    worker::{Worker, WorkerError},
};

/// Runs the tasks of one VM.
pub struct TaskRunner {
    runs: Mutex<RunTracker>,
    worker: Option<Arc<dyn Worker>>,
    clock: Clock,
    report_tx: Sender<()>,
    report_rx: Receiver<()>,
}

impl std::fmt::Debug for TaskRunner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TaskRunner").finish_non_exhaustive()
    }
}

impl TaskRunner {
    /// Runs tasks at `worker`, which has `capacity`; without a worker it runs none.
    #[must_use]
    pub fn new(worker: Option<Arc<dyn Worker>>, capacity: Resources, clock: Clock) -> Arc<Self> {
        let (report_tx, report_rx) = smol::channel::bounded(1);
        Arc::new(Self {
            runs: Mutex::new(RunTracker::new(capacity)),
            worker,
            clock,
            report_tx,
            report_rx,
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut RunTracker) -> T) -> T {
        f(&mut self.runs.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the reports for the next heartbeat, or `None` before the worker has
    /// listed its attempts.
    #[must_use]
    pub fn reports(&self) -> Option<Vec<TaskReport>> {
        if self.worker.is_none() {
            return Some(Vec::new());
        }
        let now = self.clock.now();
        self.with(|runs| runs.has_listed().then(|| runs.reports(now)))
    }

    /// Returns the highest epoch whose reply was applied.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.with(|runs| runs.epoch())
    }

    /// Whether every attempt that the agent tracks has ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.with(|runs| runs.is_idle())
    }

    /// Waits until an event requires a report before the next regular heartbeat.
    pub async fn report_requested(&self) {
        let _ = self.report_rx.recv().await;
    }

    /// Applies the reply to the heartbeat that was sent at `sent_at`.
    pub fn apply_reply(self: &Arc<Self>, sent_at: kernel::Time, reply: HeartbeatReply) {
        self.handle(Event::Reply {
            sent_at,
            reply: Box::new(reply),
        });
    }

    /// Sets whether operators allow new tasks on the VM.
    pub fn set_accepts_work(self: &Arc<Self>, accepts_work: bool) {
        self.handle(Event::AcceptWork(accepts_work));
    }

    /// Refuses all new tasks from now on.
    pub fn leave(self: &Arc<Self>) {
        self.handle(Event::Leave);
    }

    /// Lists the worker's attempts every `interval`, forever.
    pub async fn run(self: Arc<Self>, interval: Duration) {
        let Some(worker) = self.worker.clone() else {
            return smol::future::pending().await;
        };
        loop {
            let asked_at = self.clock.now();
            match worker.list().await {
                Ok(runs) => self.handle(Event::Listed { asked_at, runs }),
                Err(error) => tracing::warn!(%error, "can't list the worker's attempts"),
            }
            self.handle(Event::Tick);
            smol::Timer::after(interval).await;
        }
    }

    fn handle(self: &Arc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self.with(|runs| runs.handle(now, event));
        for action in actions {
            if action == Action::Report {
                let _ = self.report_tx.try_send(());
                continue;
            }
            let tasks = Arc::clone(self);
            smol::spawn(async move { tasks.execute(action).await }).detach();
        }
    }

    async fn execute(self: Arc<Self>, action: Action) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        if let Err(error) = self.try_execute(&worker, &action).await {
            tracing::warn!(?action, %error, "the call to the worker for an action failed");
        }
    }

    async fn try_execute(
        self: &Arc<Self>,
        worker: &Arc<dyn Worker>,
        action: &Action,
    ) -> Result<(), WorkerError> {
        match action {
            Action::Start(run, start) => {
                let result = worker.start(run, start).await;
                self.on_start_result(run, result)
            }
            Action::Renew(run, until) => worker.renew(run, *until).await,
            Action::Throttle(run, on) => worker.throttle(run, *on).await,
            Action::Evict(run) => {
                let worker_run = worker.evict(run).await?;
                self.handle(Event::Stopped(worker_run));
                Ok(())
            }
            Action::Stop(run) => {
                let worker_run = worker.stop(run).await?;
                self.handle(Event::Stopped(worker_run));
                Ok(())
            }
            Action::Forget(run) => worker.forget(run).await,
            Action::Report => Ok(()),
        }
    }

    fn on_start_result(
        self: &Arc<Self>,
        run: &TaskRun,
        result: Result<(), WorkerError>,
    ) -> Result<(), WorkerError> {
        match result {
            Ok(()) => {
                tracing::info!(task = %run.task, attempt = run.attempt.0, "attempt started");
                self.handle(Event::Started(run.clone()));
                Ok(())
            }
            Err(WorkerError::Refused(reason)) => {
                self.handle(Event::StartRefused(run.clone()));
                Err(WorkerError::Refused(reason))
            }
            Err(error) => Err(error),
        }
    }
}
