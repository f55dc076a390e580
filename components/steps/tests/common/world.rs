//! Owners, keepers and workers in virtual time, with faults from a seed.
//!
//! Each rule on tasks is checked when a worker begins a run, and at the end.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, Time, VmName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steps::{
    AgentState, Event, Job, Outcome, Owner, Progress, TaskKey, Timing,
    message::{AgentReport, OrderResult, Orders, OrdersReply, Refusal, ReportPoll, RunKey},
    owner::{Handover, RecordWrite},
};

use super::{config, entry, info, vm, worker::Worker};

const STEP: Duration = Duration::from_millis(10);
const LOOK_EVERY: Duration = Duration::from_millis(40);
const ATTEND_TIMEOUT: Duration = Duration::from_millis(400);

/// What is on its way.
enum Mail {
    Attend(u64, VmName, Box<ReportPoll>),
    Report(u64, VmName, Box<AgentReport>),
    NoReport(u64, VmName),
    Orders(u64, VmName, Box<Orders>),
    Ordered(u64, VmName, Box<Orders>, Option<OrdersReply>),
    LateStart(VmName, u64, RunKey, u64, u64),
    Written(u64, u64, Vec<RecordWrite>),
    Elect,
}

/// What the store holds of a job.
#[derive(Clone)]
struct Stored {
    job: Arc<Job>,
    progress: Option<(Progress, i64)>,
    outcome: Option<Outcome>,
    cancelled: bool,
}

struct Machine {
    keeper: AgentState,
    worker: Worker,
    cut_until: Time,
    next_look: Time,
    next_beat: Time,
    lives: u64,
}

pub(crate) struct Faults {
    /// The chance of each kind of fault in a second.
    pub(crate) per_second: f64,
    /// Until when faults come.
    pub(crate) until: Time,
}

pub(crate) struct World {
    rng: ChaCha8Rng,
    pub(crate) now: Time,
    timing: Timing,
    faults: Faults,
    mail: Vec<(Time, Mail)>,
    owner: Option<Owner>,
    attending: BTreeSet<VmName>,
    writing: bool,
    /// An owner that is cut off from the store and goes on for a while.
    zombie: Option<(Owner, Time)>,
    /// What the last owner left that stopped in order.
    note: Option<Handover>,
    epoch: u64,
    revision: i64,
    store: BTreeMap<JobName, Stored>,
    store_down_until: Time,
    machines: BTreeMap<VmName, Machine>,
    /// Ends that were done, by task: the worker, its life and the end's number.
    done: BTreeMap<TaskKey, Vec<(VmName, u64, u64)>>,
    noted_done: BTreeSet<TaskKey>,
    poison: BTreeSet<JobName>,
    pub(crate) broken: Vec<String>,
    pub(crate) starts: usize,
}

impl World {
    pub(crate) fn new(seed: u64, machines: usize, faults: Faults) -> Self {
        let now = Time::from_secs(1_000);
        let timing = Timing::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut made = BTreeMap::new();
        for number in 0..machines {
            let rate = rng.random_range(0.985..=1.0);
            let machine = Machine {
                keeper: AgentState::new(timing, now),
                worker: Worker::new(info(&format!("w-{number}-0"), 1), now, rate),
                cut_until: Time::ZERO,
                next_look: now,
                next_beat: now,
                lives: 1,
            };
            made.insert(vm(number), machine);
        }
        Self {
            rng,
            now,
            timing,
            faults,
            mail: vec![(now, Mail::Elect)],
            owner: None,
            attending: BTreeSet::new(),
            writing: false,
            zombie: None,
            note: None,
            epoch: 0,
            revision: 0,
            store: BTreeMap::new(),
            store_down_until: Time::ZERO,
            machines: made,
            done: BTreeMap::new(),
            noted_done: BTreeSet::new(),
            poison: BTreeSet::new(),
            broken: Vec::new(),
            starts: 0,
        }
    }

    pub(crate) fn submit(&mut self, job: Arc<Job>, is_poison: bool) {
        if is_poison {
            self.poison.insert(job.name.clone());
        }
        let stored = Stored {
            job: Arc::clone(&job),
            progress: None,
            outcome: None,
            cancelled: false,
        };
        self.store.insert(job.name.clone(), stored);
        let progress = None;
        self.tell(Event::Job { job, progress });
    }

    pub(crate) fn cancel(&mut self, name: &JobName) {
        if let Some(stored) = self.store.get_mut(name) {
            stored.cancelled = true;
        }
        self.tell(Event::Cancelled(name.clone()));
    }

    pub(crate) fn outcome(&self, name: &JobName) -> Option<Outcome> {
        self.store.get(name).and_then(|stored| stored.outcome)
    }

    pub(crate) fn run_until(&mut self, end: Time) {
        while !end.passed(self.now) {
            self.now = self.now + STEP;
            self.inject();
            self.deliver();
            self.work();
            self.tell(Event::Tick);
            self.drive();
        }
    }

    fn tell(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = &mut self.owner {
            owner.handle(now, now, event);
        }
    }

    fn post(&mut self, after: Duration, mail: Mail) {
        self.mail.push((self.now + after, mail));
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..30))
    }

    fn chance(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }

    /// A fault now and then.
    fn inject(&mut self) {
        if self.faults.until.passed(self.now) {
            return;
        }
        let part = self.faults.per_second * STEP.as_secs_f64();
        let secs =
            |rng: &mut ChaCha8Rng, most: f64| Duration::from_secs_f64(rng.random_range(0.2..most));
        if self.chance(part) {
            self.lose_owner();
        }
        if self.chance(part) {
            self.store_down_until = self.now + secs(&mut self.rng, 4.0);
        }
        let names: Vec<VmName> = self.machines.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let (cut, silent, crash, restart) = (
                self.chance(part),
                self.chance(part),
                self.chance(part),
                self.chance(part),
            );
            let span = secs(&mut self.rng, 9.0);
            let rate = self.rng.random_range(0.985..=1.0);
            let timing = self.timing;
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if cut {
                machine.cut_until = now + span;
            }
            if silent {
                machine.worker.silent_until = now + span;
            }
            if crash {
                machine.lives += 1;
                let fresh = info(&format!("w-{name}-{}", machine.lives), machine.lives);
                machine.worker = Worker::new(fresh, now, rate);
            }
            if restart {
                machine.keeper = AgentState::new(timing, now);
            }
        }
    }

    /// The owner is lost: dead, or cut off from the store and going on.
    fn lose_owner(&mut self) {
        let Some(owner) = self.owner.take() else {
            return;
        };
        if self.chance(0.3) {
            // Without its last records, which it may have had no time to write.
            self.note = Some(owner.handover(self.now));
        } else if self.chance(0.5) {
            self.zombie = Some((owner, self.now + self.timing.ownership));
        }
        self.attending.clear();
        self.writing = false;
        let pause = Duration::from_millis(self.rng.random_range(300..3_000));
        self.post(pause, Mail::Elect);
    }

    fn elect(&mut self) {
        if !self.store_down_until.passed(self.now) {
            self.post(Duration::from_millis(200), Mail::Elect);
            return;
        }
        self.epoch += 1;
        let mut owner = Owner::new(entry(self.epoch), self.epoch, self.timing, self.now);
        let now = self.now;
        owner.handle(now, now, Event::Config(config()));
        if let Some(note) = self.note.clone() {
            owner.handle(now, now, Event::HandedOver(note));
        }
        for (name, stored) in &self.store {
            if let Some(outcome) = stored.outcome {
                owner.handle(now, now, Event::Ended(name.clone(), outcome));
                continue;
            }
            let job = Arc::clone(&stored.job);
            let progress = stored.progress.clone();
            owner.handle(now, now, Event::Job { job, progress });
            if stored.cancelled {
                owner.handle(now, now, Event::Cancelled(name.clone()));
            }
        }
        for name in self.machines.keys() {
            owner.handle(now, now, Event::Vm(name.clone()));
        }
        self.owner = Some(owner);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut later = Vec::new();
        for (at, mail) in std::mem::take(&mut self.mail) {
            match at.passed(now) {
                true => due.push((at, mail)),
                false => later.push((at, mail)),
            }
        }
        self.mail = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, mail) in due {
            self.take(mail);
        }
    }

    fn is_current(&self, epoch: u64) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|owner| owner.epoch() == epoch)
    }

    /// Tells the owner or the zombie of that epoch.
    fn tell_epoch(&mut self, epoch: u64, event: Event) {
        let now = self.now;
        if self.is_current(epoch) {
            self.tell(event);
        } else if let Some((zombie, _)) = &mut self.zombie
            && zombie.epoch() == epoch
        {
            zombie.handle(now, now, event);
        }
    }

    fn take(&mut self, mail: Mail) {
        let delay = self.delay();
        let is_lost = !self.faults.until.passed(self.now) && self.chance(0.01);
        match mail {
            Mail::Elect => self.elect(),
            Mail::Attend(epoch, name, attend) => {
                let now = self.now;
                let machine = self.machines.get_mut(&name).unwrap();
                if !machine.cut_until.passed(now) || is_lost {
                    return self.post(ATTEND_TIMEOUT, Mail::NoReport(epoch, name));
                }
                machine.keeper.accept_poll(&attend);
                let report = Box::new(machine.keeper.report(now));
                self.post(delay, Mail::Report(epoch, name, report));
            }
            Mail::Report(epoch, name, report) => {
                self.attending.remove(&name);
                self.tell_epoch(epoch, Event::Report { vm: name, report });
            }
            Mail::NoReport(epoch, name) => {
                self.attending.remove(&name);
                self.tell_epoch(epoch, Event::Unreachable(name));
            }
            Mail::Orders(epoch, name, orders) => self.carry_out(epoch, name, orders, is_lost),
            Mail::Ordered(epoch, vm, orders, reply) => {
                self.tell_epoch(epoch, Event::OrdersAnswered { vm, orders, reply });
            }
            Mail::LateStart(name, born, key, epoch, until) => {
                // Another life of the worker refuses what was meant for this one.
                if self.machines[&name].worker.info.incarnation.started_at == born {
                    self.start_at(&name, &key, epoch, until);
                }
            }
            Mail::Written(epoch, last, changes) => self.written(epoch, last, changes),
        }
    }

    fn carry_out(&mut self, epoch: u64, name: VmName, orders: Box<Orders>, is_lost: bool) {
        let now = self.now;
        let delay = self.delay();
        if !self.machines[&name].cut_until.passed(now) {
            return self.post(ATTEND_TIMEOUT, Mail::Ordered(epoch, name, orders, None));
        }
        let obeys = self
            .machines
            .get_mut(&name)
            .unwrap()
            .keeper
            .accept_header(&orders.header);
        let fenced = OrderResult::Refused(Refusal::Fenced);
        let mut starts = Vec::new();
        for start in &orders.starts {
            if !obeys {
                starts.push(fenced);
                continue;
            }
            let machine = self.machines.get_mut(&name).unwrap();
            let admitted = match machine.keeper.admit(now, &orders) {
                Ok(admitted) => admitted,
                Err(refusal) => {
                    starts.push(OrderResult::Refused(refusal));
                    continue;
                }
            };
            if machine.worker.info.incarnation != orders.incarnation {
                starts.push(OrderResult::Refused(Refusal::Worker));
                continue;
            }
            let is_silent = !machine.worker.silent_until.passed(now);
            let is_late = !self.faults.until.passed(now) && self.rng.random_bool(0.02);
            if is_silent || is_late {
                let after = Duration::from_millis(self.rng.random_range(500..6_000));
                let key = start.key.clone();
                let born = orders.incarnation.started_at;
                let (epoch, until) = (admitted.epoch, admitted.until_millis);
                let late = Mail::LateStart(name.clone(), born, key, epoch, until);
                self.post(after, late);
                starts.push(OrderResult::Unsettled);
                continue;
            }
            starts.push(self.start_at(&name, &start.key, admitted.epoch, admitted.until_millis));
        }
        let machine = self.machines.get_mut(&name).unwrap();
        let mut stops = Vec::new();
        for key in &orders.stops {
            let is_same = machine.worker.info.incarnation == orders.incarnation;
            stops.push(match () {
                () if !obeys => fenced,
                () if !machine.worker.silent_until.passed(now) => OrderResult::Unsettled,
                () if !is_same => OrderResult::Refused(Refusal::Worker),
                () => machine.worker.stop(now, key, orders.header.epoch),
            });
        }
        let reply = OrdersReply {
            epoch: machine.keeper.epoch(),
            poll: machine.keeper.last_poll_number(),
            starts,
            stops,
        };
        let reply = (!is_lost).then_some(reply);
        self.post(delay, Mail::Ordered(epoch, name, orders, reply));
    }

    fn start_at(&mut self, name: &VmName, key: &RunKey, epoch: u64, until: u64) -> OrderResult {
        let now = self.now;
        let is_poison = self.poison.contains(&key.task.job);
        let work = 100 + u64::from(key.task.index % 5) * 120;
        let machine = self.machines.get_mut(name).unwrap();
        let (result, is_new) = machine
            .worker
            .start(now, key, epoch, until, (work, is_poison));
        if is_new {
            self.starts += 1;
            self.check_start(name, key);
        }
        result
    }

    /// The rules on a run that begins.
    fn check_start(&mut self, name: &VmName, key: &RunKey) {
        let task = &key.task;
        let at = self.now;
        let Some(stored) = self.store.get(&task.job) else {
            self.broken
                .push(format!("{at}: {task} was never asked for"));
            return;
        };
        let step = &stored.job.steps[usize::from(task.step)];
        for &after in &step.after {
            for index in 0..stored.job.steps[usize::from(after)].count {
                let mut before = task.clone();
                (before.step, before.index) = (after, index);
                if !self.done.contains_key(&before) {
                    self.broken
                        .push(format!("{at}: {task} started before {before} was done"));
                }
            }
        }
        if step.copies {
            return;
        }
        if self.noted_done.contains(task) {
            self.broken
                .push(format!("{at}: {task} started after it was done"));
        }
        for (other, machine) in &self.machines {
            let mut runs = machine.worker.runs();
            if runs.any(|run| run.task == *task && (other != name || run.run != key.run)) {
                self.broken
                    .push(format!("{at}: {task} runs on {name} and on {other}"));
            }
        }
    }

    /// Workers work, keepers look at them.
    fn work(&mut self) {
        let now = self.now;
        for (name, machine) in &mut self.machines {
            for end in machine.worker.advance(now) {
                if end.how == steps::message::RunEnd::Done {
                    let ends = self.done.entry(end.key.task.clone()).or_default();
                    ends.push((
                        name.clone(),
                        machine.worker.info.incarnation.started_at,
                        end.number,
                    ));
                }
            }
            if machine.next_beat.passed(now) && machine.worker.silent_until.passed(now) {
                machine.next_beat = now + Duration::from_millis(700);
                let beat = machine.worker.heartbeat();
                machine.keeper.apply_heartbeat(beat);
            }
            if !machine.next_look.passed(now) {
                continue;
            }
            machine.next_look = now + LOOK_EVERY;
            let Some(look) = machine.keeper.next_poll(now, false) else {
                continue;
            };
            match machine.worker.look(now, &look) {
                Ok(seen) => drop(machine.keeper.apply_reply(now, &look, seen)),
                Err(why) => machine.keeper.apply_error(now, &look, why),
            }
        }
        for (task, ends) in &self.done {
            let is_noted = ends.iter().any(|(name, born, number)| {
                let worker = &self.machines[name].worker;
                worker.info.incarnation.started_at == *born && worker.is_noted(*number)
            });
            if is_noted {
                self.noted_done.insert(task.clone());
            }
        }
    }

    /// Owners call, and write their records.
    fn drive(&mut self) {
        let now = self.now;
        if self
            .zombie
            .as_ref()
            .is_some_and(|(_, until)| until.passed(now))
        {
            self.zombie = None;
        }
        if let Some((mut zombie, until)) = self.zombie.take() {
            let epoch = zombie.epoch();
            zombie.handle(now, now, Event::Tick);
            for name in self.machines.keys().cloned().collect::<Vec<_>>() {
                // It goes on asking, and what it says renews leases for a while.
                if self.chance(0.05)
                    && let Some(attend) = zombie.next_report_poll(now, &name)
                {
                    let delay = self.delay();
                    self.post(delay, Mail::Attend(epoch, name, Box::new(attend)));
                }
            }
            for name in zombie.vms_with_orders() {
                if let Some(orders) = zombie.take_orders(now, &name) {
                    let delay = self.delay();
                    self.post(delay, Mail::Orders(epoch, name, Box::new(orders)));
                }
            }
            if zombie.deposed_by().is_none() {
                self.zombie = Some((zombie, until));
            }
        }
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        let epoch = owner.epoch();
        if self.store_down_until.passed(now) {
            owner.handle(now, now, Event::OwnershipProved(now));
        }
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            if self.attending.insert(name.clone())
                && let Some(attend) = owner.next_report_poll(now, &name)
            {
                let delay = self.delay();
                self.post(delay, Mail::Attend(epoch, name, Box::new(attend)));
            }
        }
        for name in owner.vms_with_orders() {
            if let Some(orders) = owner.take_orders(now, &name) {
                let delay = self.delay();
                self.post(delay, Mail::Orders(epoch, name, Box::new(orders)));
            }
        }
        if !self.writing && owner.has_changes() && self.store_down_until.passed(now) {
            self.writing = true;
            let last = owner.last_change();
            let changes = owner.take_changes();
            let delay = self.delay();
            self.post(delay, Mail::Written(epoch, last, changes));
        }
        self.owner = Some(owner);
    }

    fn written(&mut self, epoch: u64, last: u64, changes: Vec<RecordWrite>) {
        // The store compares the epoch, so an earlier owner writes nothing.
        if epoch != self.epoch {
            return;
        }
        for change in &changes {
            self.revision += 1;
            let stored = self.store.get_mut(&change.job).unwrap();
            stored.progress = Some((change.progress.clone(), self.revision));
            if change.progress.outcome.is_some() {
                stored.outcome = change.progress.outcome;
            }
            if change.progress.outcome == Some(Outcome::Completed) {
                let job = Arc::clone(&stored.job);
                self.check_complete(&job);
            }
            if let Some(owner) = &mut self.owner {
                owner.record_written(&change.job, self.revision);
            }
        }
        self.writing = false;
        if let Some(owner) = &mut self.owner {
            owner.confirm_durable(last);
        }
    }

    fn check_complete(&mut self, job: &Job) {
        for (number, step) in (0u16..).zip(&job.steps) {
            for index in 0..step.count {
                let task = TaskKey {
                    job: job.name.clone(),
                    occurrence: 0,
                    step: number,
                    index,
                };
                if !self.done.contains_key(&task) {
                    self.broken
                        .push(format!("{} shown as completed without {task}", job.name));
                }
            }
        }
    }
}
