//! Measures how long a placement takes and how this grows with the cell.
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
        let queued = bench.placements_from_queue()?;
        print_row(workers, "with queue, 780 teams", &queued);
        let urgent = bench.eviction_decisions()?;
        print_row(workers, "urgent, full fleet", &urgent);
    }
    Ok(())
}

fn print_row(workers: u32, operation: &str, durations: &Histogram<u64>) {
    let micros = |quantile| durations.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{workers:>8} {operation:>22} {:>9.1} {:>9.1} {:>14.0}",
        micros(0.5),
        micros(0.99),
        1e9 / durations.mean()
    );
}

struct Bench {
    fleet: Fleet,
    running: Vec<TaskRun>,
    rng: ChaCha8Rng,
    next_index: u32,
    now: Time,
}

impl Bench {
    /// Creates a fleet that is nearly full. Each VM has an endpoint of one
    /// service.
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
            next_index: 0,
            now: Time::from_secs(1_000_000),
        };
        for _ in 0..workers as usize * TASKS_PER_WORKER {
            let request = bench.next_request()?;
            if let Decision::Bind(vm) = bench.fleet.place(bench.now, &request, &mut bench.rng) {
                bench
                    .fleet
                    .reserve(&request.run, &vm, reservation(&request, bench.now))?;
                bench.running.push(request.run);
            }
        }
        Ok(bench)
    }

    fn next_request(&mut self) -> Result<PlacementRequest, Error> {
        self.next_index += 1;
        let cores = self.rng.random_range(1..=2);
        let job = JobName::new(format!("job-{}-x", self.next_index % 400))?;
        Ok(PlacementRequest {
            run: TaskRun {
                task: TaskId {
                    job,
                    index: self.next_index,
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
        let mut durations = Histogram::new(3)?;
        for _ in 0..ROUNDS {
            let request = self.next_request()?;
            let started_at = Instant::now();
            self.release_one();
            self.bind(request)?;
            durations.record(nanos(started_at.elapsed()))?;
        }
        Ok(durations)
    }

    fn bind(&mut self, request: PlacementRequest) -> Result<(), Error> {
        if let Decision::Bind(vm) = self.fleet.place(self.now, &request, &mut self.rng) {
            self.fleet
                .reserve(&request.run, &vm, reservation(&request, self.now))?;
            self.running.push(request.run);
        }
        Ok(())
    }

    /// Measures placements from a queue with waiting tasks of all teams.
    fn placements_from_queue(&mut self) -> Result<Histogram<u64>, Error> {
        let objects = ObjectSet::default();
        let mut queue = Queue::new();
        for _ in 0..20_000 {
            let request = self.next_request()?;
            queue.push(request, self.now);
        }
        let mut durations = Histogram::new(3)?;
        for _ in 0..ROUNDS {
            self.now = self.now + Duration::from_micros(400);
            let arrival = self.next_request()?;
            let started_at = Instant::now();
            self.release_one();
            queue.push(arrival, self.now);
            if let Some(request) = queue.next(self.now, &objects, &self.fleet) {
                self.bind(request)?;
            }
            durations.record(nanos(started_at.elapsed()))?;
        }
        Ok(durations)
    }

    /// Measures decisions for urgent tasks that need more than any worker has
    /// free.
    fn eviction_decisions(&mut self) -> Result<Histogram<u64>, Error> {
        let mut durations = Histogram::new(3)?;
        for _ in 0..ROUNDS / 10 {
            let mut request = self.next_request()?;
            request.urgency = Urgency::Urgent;
            request.need = Resources::new(CAPACITY.cpu_milli / 4, 1024, 0);
            let started_at = Instant::now();
            let decision = self.fleet.place(self.now, &request, &mut self.rng);
            durations.record(nanos(started_at.elapsed()))?;
            if matches!(decision, Decision::Evict { .. }) {
                self.fleet.drop_claim(&request.run.task);
            }
        }
        Ok(durations)
    }
}

fn reservation(request: &PlacementRequest, started: Time) -> Reservation {
    Reservation {
        team: request.team.clone(),
        class: request.class,
        urgency: request.urgency,
        reserved: request.need,
        started,
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX).max(1)
}
