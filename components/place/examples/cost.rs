//! What a placement costs, and how the cost grows with the cell.
//!
//! `cargo run --release -p place --example cost`

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use kernel::{
    Attempt, JobName, ObjectSet, Resources, TaskClass, TaskId, TaskRun, TeamName, Time, Urgency,
};
use place::{Decision, Fleet, PlacementRequest, Queue, Reservation, Worker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const TEAMS: u32 = 780;
const TASKS_PER_WORKER: usize = 20;
const ROUNDS: usize = 20_000;
const CAPACITY: Resources = Resources::new(32_000, 128 * 1024, 0);
const WITH_ACCELERATORS: Resources = Resources::new(32_000, 128 * 1024, 4);

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    println!("seed {SEED}, {ROUNDS} placements a row, one core");
    println!(
        "{:>8} {:>22} {:>9} {:>9} {:>14}",
        "workers", "what", "p50 us", "p99 us", "per second"
    );
    for workers in [250, 1000, 4900] {
        let mut bench = Bench::new(workers)?;
        let placed = bench.placements()?;
        print_row(workers, "place+reserve+release", &placed);
        let queued = bench.turns()?;
        print_row(workers, "with queue, 780 teams", &queued);
        let urgent = bench.evictions()?;
        print_row(workers, "urgent, full fleet", &urgent);
    }
    Ok(())
}

fn print_row(workers: u32, what: &str, spans: &Histogram<u64>) {
    let micros = |quantile| spans.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{workers:>8} {what:>22} {:>9.1} {:>9.1} {:>14.0}",
        micros(0.5),
        micros(0.99),
        1e9 / spans.mean()
    );
}

struct Bench {
    fleet: Fleet,
    running: Vec<TaskRun>,
    rng: ChaCha8Rng,
    next: u32,
    now: Time,
}

impl Bench {
    /// A fleet that is about full, each worker beside a service's endpoint.
    fn new(workers: u32) -> Result<Self, Error> {
        let mut fleet = Fleet::new();
        for number in 0..workers {
            fleet.upsert(Worker {
                vm: format!("vm-{number}").parse()?,
                zone: format!("zone-{}", number % 7).parse()?,
                rack: format!("rack-{}", number / 3).parse()?,
                capacity: if number % 3 == 0 {
                    WITH_ACCELERATORS
                } else {
                    CAPACITY
                },
                services: vec![format!("service-{}", number % 40).parse()?],
                open: true,
            });
        }
        let mut bench = Self {
            fleet,
            running: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(SEED),
            next: 0,
            now: Time::from_secs(1_000_000),
        };
        for _ in 0..workers as usize * TASKS_PER_WORKER {
            let want = bench.want()?;
            if let Decision::Bind(vm) = bench.fleet.place(bench.now, &want, &mut bench.rng) {
                bench
                    .fleet
                    .reserve(&want.run, &vm, holding(&want, bench.now))?;
                bench.running.push(want.run);
            }
        }
        Ok(bench)
    }

    fn want(&mut self) -> Result<PlacementRequest, Error> {
        self.next += 1;
        let cores = self.rng.random_range(1..=2);
        let job = JobName::new(format!("job-{}-x", self.next % 400))?;
        Ok(PlacementRequest {
            run: TaskRun {
                task: TaskId {
                    job,
                    index: self.next,
                },
                attempt: Attempt(1),
            },
            team: TeamName::new(format!("team-{}", self.rng.random_range(0..TEAMS)))?,
            class: TaskClass::Batch,
            urgency: Urgency::Normal,
            need: Resources::new(cores * 1000, cores * 4096, 0),
            service: None,
            avoid: Vec::new(),
            finish_by: None,
            payers: Vec::new(),
        })
    }

    fn release_one(&mut self) {
        let number = self.rng.random_range(0..self.running.len());
        let run = self.running.swap_remove(number);
        self.fleet.release(&run);
    }

    fn placements(&mut self) -> Result<Histogram<u64>, Error> {
        let mut spans = Histogram::new(3)?;
        for _ in 0..ROUNDS {
            let want = self.want()?;
            let began = Instant::now();
            self.release_one();
            self.bind(want)?;
            spans.record(nanos(began.elapsed()))?;
        }
        Ok(spans)
    }

    fn bind(&mut self, want: PlacementRequest) -> Result<(), Error> {
        if let Decision::Bind(vm) = self.fleet.place(self.now, &want, &mut self.rng) {
            self.fleet
                .reserve(&want.run, &vm, holding(&want, self.now))?;
            self.running.push(want.run);
        }
        Ok(())
    }

    /// The same with tasks of all teams waiting in the queue.
    fn turns(&mut self) -> Result<Histogram<u64>, Error> {
        let objects = ObjectSet::default();
        let mut queue = Queue::new();
        for _ in 0..20_000 {
            let want = self.want()?;
            queue.push(want, self.now);
        }
        let mut spans = Histogram::new(3)?;
        for _ in 0..ROUNDS {
            self.now = self.now + Duration::from_micros(400);
            let arrival = self.want()?;
            let began = Instant::now();
            self.release_one();
            queue.push(arrival, self.now);
            if let Some(want) = queue.next(self.now, &objects, &self.fleet) {
                self.bind(want)?;
            }
            spans.record(nanos(began.elapsed()))?;
        }
        Ok(spans)
    }

    /// Urgent tasks that need more than any worker has free.
    fn evictions(&mut self) -> Result<Histogram<u64>, Error> {
        let mut spans = Histogram::new(3)?;
        for _ in 0..ROUNDS / 10 {
            let mut want = self.want()?;
            want.urgency = Urgency::Urgent;
            want.need = Resources::new(CAPACITY.cpu_milli / 4, 1024, 0);
            let began = Instant::now();
            let decision = self.fleet.place(self.now, &want, &mut self.rng);
            spans.record(nanos(began.elapsed()))?;
            if matches!(decision, Decision::Evict { .. }) {
                self.fleet.drop_claim(&want.run.task);
            }
        }
        Ok(spans)
    }
}

fn holding(want: &PlacementRequest, started: Time) -> Reservation {
    Reservation {
        team: want.team.clone(),
        class: want.class,
        urgency: want.urgency,
        reserved: want.need,
        started,
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX).max(1)
}
