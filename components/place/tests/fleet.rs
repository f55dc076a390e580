//! Tests placement, eviction and the queue of a cell.
#![allow(clippy::unwrap_used, reason = "a test may panic")]
#![allow(dead_code, reason = "other test files use the rest of the helpers")]

mod common;

use common::{batch_request, reservation, run, worker};
use kernel::{Resources, TaskClass, Time, Urgency};
use place::{Decision, Fleet, Queue, ReserveError, UnplacedReason};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CORES_4: Resources = Resources::new(4000, 8192, 1);
const CORE: Resources = Resources::new(1000, 1024, 0);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn now() -> Time {
    Time::from_secs(1000)
}

/// Creates a fleet whose workers are full of normal batch tasks, one core each.
fn full_fleet(workers: u32) -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..workers {
        fleet.upsert(worker(number, CORES_4));
        for index in 0..4 {
            let run = run("statements", number * 4 + index);
            let request = batch_request(&run, "royalties", CORE);
            let started = Time::from_secs(u64::from(number * 4 + index));
            let vm = worker(number, CORES_4).vm;
            fleet
                .reserve(&run, &vm, reservation(&request, started))
                .unwrap();
        }
    }
    fleet
}

#[test]
fn a_task_that_fits_is_bound_and_a_full_worker_rejects_the_next() {
    let mut fleet = Fleet::new();
    fleet.upsert(worker(0, CORE));
    let first = run("statements", 0);
    let request = batch_request(&first, "royalties", CORE);
    let vm = worker(0, CORE).vm;
    assert_eq!(
        fleet.place(now(), &request, &mut rng()),
        Decision::Bind(vm.clone())
    );
    fleet
        .reserve(&first, &vm, reservation(&request, now()))
        .unwrap();
    let second = run("statements", 1);
    let rejected = fleet.reserve(&second, &vm, reservation(&request, now()));
    assert!(matches!(
        rejected,
        Err(ReserveError::InsufficientCapacity { .. })
    ));
    assert_eq!(
        fleet.place(
            now(),
            &batch_request(&second, "royalties", CORE),
            &mut rng()
        ),
        Decision::Wait(UnplacedReason::NoCapacity)
    );
    fleet.release(&first);
    assert_eq!(fleet.free_on(&vm), Some(CORE));
}

#[test]
fn closed_and_avoided_workers_are_skipped() {
    let mut fleet = Fleet::new();
    let mut closed = worker(0, CORES_4);
    closed.open = false;
    fleet.upsert(closed);
    let mut request = batch_request(&run("statements", 0), "royalties", CORE);
    assert_eq!(
        fleet.place(now(), &request, &mut rng()),
        Decision::Wait(UnplacedReason::NoWorker)
    );
    fleet.upsert(worker(1, CORES_4));
    request.avoid.push(worker(1, CORES_4).vm);
    assert_eq!(
        fleet.place(now(), &request, &mut rng()),
        Decision::Wait(UnplacedReason::Avoided)
    );
}

#[test]
fn a_task_larger_than_every_worker_is_rejected_once_the_largest_worker_is_stable() {
    let mut fleet = Fleet::new();
    let request = batch_request(&run("statements", 0), "royalties", CORES_4.plus(CORE));
    assert_eq!(
        fleet.place(now(), &request, &mut rng()),
        Decision::Wait(UnplacedReason::NoWorker)
    );
    fleet.upsert(worker(0, CORES_4));
    assert_eq!(
        fleet.place(now(), &request, &mut rng()),
        Decision::Wait(UnplacedReason::TooLarge)
    );
    let later = now() + place::fleet::REJECT_TOO_LARGE_AFTER;
    assert_eq!(
        fleet.place(later, &request, &mut rng()),
        Decision::Reject(UnplacedReason::TooLarge)
    );
}

#[test]
fn an_urgent_task_evicts_the_youngest_victim_and_keeps_the_freed_capacity() {
    let mut fleet = full_fleet(3);
    let mut urgent = batch_request(&run("rebooking", 0), "bookings", CORE);
    urgent.urgency = Urgency::Urgent;
    let decision = fleet.place(now(), &urgent, &mut rng());
    let youngest = run("statements", 11);
    let vm = worker(2, CORES_4).vm;
    assert_eq!(
        decision,
        Decision::Evict {
            vm: vm.clone(),
            victims: vec![youngest.clone()]
        }
    );
    assert_eq!(
        fleet.place(now(), &urgent, &mut rng()),
        Decision::Wait(UnplacedReason::Evicting)
    );
    fleet.release(&youngest);
    let other = batch_request(&run("statements", 99), "royalties", CORE);
    assert_eq!(
        fleet.place(now(), &other, &mut rng()),
        Decision::Wait(UnplacedReason::NoCapacity)
    );
    assert_eq!(fleet.place(now(), &urgent, &mut rng()), Decision::Bind(vm));
}

#[test]
fn an_urgent_task_never_evicts_a_latency_critical_task() {
    let mut fleet = Fleet::new();
    fleet.upsert(worker(0, CORE));
    let replica = run("directory", 0);
    let mut serving = batch_request(&replica, "bookings", CORE);
    serving.class = TaskClass::LatencyCritical;
    let vm = worker(0, CORE).vm;
    fleet
        .reserve(&replica, &vm, reservation(&serving, now()))
        .unwrap();
    let mut urgent = batch_request(&run("rebooking", 0), "bookings", CORE);
    urgent.urgency = Urgency::Urgent;
    assert_eq!(
        fleet.place(now(), &urgent, &mut rng()),
        Decision::Wait(UnplacedReason::NoCapacity)
    );
}

#[test]
fn the_queue_returns_urgent_tasks_first_then_those_of_the_team_with_the_smaller_share() {
    let mut fleet = Fleet::new();
    fleet.upsert(worker(0, CORES_4));
    let held = run("statements", 0);
    let vm = worker(0, CORES_4).vm;
    let first = batch_request(&held, "royalties", CORE);
    fleet
        .reserve(&held, &vm, reservation(&first, now()))
        .unwrap();
    let objects = kernel::ObjectSet::default();
    let mut queue = Queue::new();
    queue.push(
        batch_request(&run("statements", 1), "royalties", CORE),
        Time(1),
    );
    queue.push(
        batch_request(&run("invoices", 0), "accounts", CORE),
        Time(2),
    );
    let mut urgent = batch_request(&run("statements", 2), "royalties", CORE);
    urgent.urgency = Urgency::Urgent;
    queue.push(urgent, Time(3));
    let mut order = Vec::new();
    while let Some(request) = queue.next(now(), &objects, &fleet) {
        order.push(request.run.to_string());
    }
    assert_eq!(order, ["statements/2@1", "invoices/0@1", "statements/1@1"]);
}

#[test]
fn the_earliest_deadline_of_a_team_comes_first_and_a_team_at_its_quota_waits() {
    let fleet = full_fleet(1);
    let mut larger_fleet = fleet.clone();
    larger_fleet.upsert(worker(1, CORES_4));
    let mut objects = kernel::ObjectSet::default();
    let mut queue = Queue::new();
    for (index, finish_by) in [(0, None), (1, Some(900)), (2, Some(500))] {
        let mut waiting = batch_request(&run("invoices", index), "accounts", CORE);
        waiting.finish_by = finish_by.map(Time::from_secs);
        queue.push(waiting, Time(1));
    }
    queue.push(
        batch_request(&run("statements", 90), "royalties", CORE),
        Time(0),
    );
    let team = kernel::object::Team {
        weight: 1,
        quota: CORES_4,
        parent: None,
    };
    objects.teams.insert("royalties".parse().unwrap(), team);
    let mut order = Vec::new();
    while let Some(request) = queue.next(now(), &objects, &larger_fleet) {
        order.push(request.run.task.to_string());
    }
    assert_eq!(order, ["invoices/2", "invoices/1", "invoices/0"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_loop_over_the_queue_ends_although_unplaceable_tasks_are_pushed_back() {
    let mut fleet = full_fleet(2);
    let objects = kernel::ObjectSet::default();
    let mut queue = Queue::new();
    for index in 0..50 {
        let mut urgent = batch_request(&run("rebooking", index), "bookings", CORE);
        urgent.urgency = Urgency::Urgent;
        queue.push(urgent, now());
        queue.push(
            batch_request(&run("invoices", index), "accounts", CORE),
            now(),
        );
    }
    let mut evictions = 0;
    let mut placements = 0;
    while let Some(request) = queue.next(now(), &objects, &fleet) {
        placements += 1;
        if let Decision::Evict { victims, .. } = fleet.place(now(), &request, &mut rng()) {
            evictions += victims.len();
        }
        queue.push(request, now());
    }
    // Each urgent task is tried once. Only eight victims are available.
    assert_eq!((placements, evictions, queue.len()), (50, 8, 100));
}

#[test]
fn one_victim_is_preferred_to_two_cheaper_ones() {
    let mut fleet = Fleet::new();
    for number in 0..2 {
        fleet.upsert(worker(number, Resources::new(4000, 8192, 0)));
    }
    let mut reserve = |index: u32, vm: u32, cores: u64, started: u64| {
        let need = Resources::new(cores * 1000, 1024, 0);
        let run = run("statements", index);
        let request = batch_request(&run, "royalties", need);
        let reserved = reservation(&request, Time::from_secs(started));
        fleet.reserve(&run, &common::vm(vm), reserved).unwrap();
    };
    // Two small young tasks on one worker, a large old one on the other.
    reserve(0, 0, 2, 990);
    reserve(1, 0, 2, 990);
    reserve(2, 1, 4, 10);
    let mut urgent = batch_request(
        &run("rebooking", 0),
        "bookings",
        Resources::new(4000, 1024, 0),
    );
    urgent.urgency = Urgency::Urgent;
    let decision = fleet.place(now(), &urgent, &mut rng());
    let expected = Decision::Evict {
        vm: common::vm(1),
        victims: vec![run("statements", 2)],
    };
    assert_eq!(decision, expected);
}

#[test]
fn replicas_of_a_service_spread_over_zones_and_racks() {
    let mut fleet = Fleet::new();
    for number in 0..12 {
        fleet.upsert(worker(number, CORES_4));
    }
    let mut zones = std::collections::BTreeMap::new();
    for index in 0..8 {
        let replica = run("directory", index);
        let mut request = batch_request(&replica, "bookings", CORE);
        request.class = TaskClass::LatencyCritical;
        let Decision::Bind(vm) = fleet.place(now(), &request, &mut rng()) else {
            panic!("there is free capacity");
        };
        let zone = fleet.worker(&vm).unwrap().zone.clone();
        *zones.entry(zone).or_insert(0) += 1;
        fleet
            .reserve(&replica, &vm, reservation(&request, now()))
            .unwrap();
    }
    let counts: Vec<i32> = zones.into_values().collect();
    assert_eq!(counts, [2, 2, 2, 2]);
}

#[test]
fn capacity_beside_free_accelerators_is_kept_for_tasks_that_need_them() {
    let mut fleet = Fleet::new();
    fleet.upsert(worker(0, CORES_4));
    let cpu_only = batch_request(
        &run("statements", 0),
        "royalties",
        Resources::new(3000, 1024, 0),
    );
    assert_eq!(
        fleet.place(now(), &cpu_only, &mut rng()),
        Decision::Wait(UnplacedReason::AcceleratorsKept)
    );
    let mut with_accelerator = cpu_only.clone();
    with_accelerator.need.accelerators = 1;
    assert_eq!(
        fleet.place(now(), &with_accelerator, &mut rng()),
        Decision::Bind(common::vm(0))
    );
}

#[test]
fn all_filters_and_scores_are_registered() {
    use kernel::plugin::registered;
    let filters = registered::<place::plugin::Filter>();
    let scores = registered::<place::plugin::Score>();
    let filters: Vec<&str> = filters.iter().map(|filter| filter.name).collect();
    let scores: Vec<&str> = scores.iter().map(|score| score.name).collect();
    assert_eq!(filters, ["accelerators", "avoid", "open"]);
    assert_eq!(scores, ["accelerators", "best-fit", "harm", "spread"]);
}

fn resources() -> impl Strategy<Value = Resources> {
    (0u64..4000, 0u64..8192, 0u32..3)
        .prop_map(|(cpu, memory, accelerators)| Resources::new(cpu, memory, accelerators))
}

#[derive(Clone, Debug)]
enum Operation {
    Upsert(u32, Resources),
    Remove(u32),
    Reserve(u32, u32, Resources),
    Place(u32, Resources, bool),
    Release(u32),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0u32..4, resources()).prop_map(|(vm, capacity)| Operation::Upsert(vm, capacity)),
        (0u32..4).prop_map(Operation::Remove),
        (0u32..20, 0u32..4, resources())
            .prop_map(|(run, vm, need)| Operation::Reserve(run, vm, need)),
        (0u32..20, resources(), any::<bool>())
            .prop_map(|(run, need, urgent)| Operation::Place(run, need, urgent)),
        (0u32..20).prop_map(Operation::Release),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reservations_never_exceed_capacity(
        operations in prop::collection::vec(operation(), 1..120),
    ) {
        let mut fleet = Fleet::new();
        let mut rng = rng();
        let mut capacity = std::collections::BTreeMap::new();
        let mut held = std::collections::BTreeMap::new();
        for operation in operations {
            match operation {
                Operation::Upsert(vm, size) => {
                    // Remove the worker first, so that its capacity never
                    // shrinks below its reservations.
                    fleet.remove(&worker(vm, size).vm);
                    held.retain(|_, (at, _)| *at != vm);
                    fleet.upsert(worker(vm, size));
                    capacity.insert(vm, size);
                }
                Operation::Remove(vm) => {
                    fleet.remove(&worker(vm, CORE).vm);
                    capacity.remove(&vm);
                    held.retain(|_, (at, _)| *at != vm);
                }
                Operation::Reserve(index, vm, need) => {
                    let run = run("job", index);
                    let request = batch_request(&run, "team", need);
                    let at = worker(vm, CORE).vm;
                    let previous = held.get(&index).copied();
                    if fleet.reserve(&run, &at, reservation(&request, now())).is_ok()
                        && previous.is_none_or(|(at, _)| at != vm)
                    {
                        held.insert(index, (vm, need));
                    }
                }
                Operation::Place(index, need, urgent) => {
                    let run = run("job", index);
                    if held.contains_key(&index) {
                        continue;
                    }
                    let mut request = batch_request(&run, "team", need);
                    if urgent {
                        request.urgency = Urgency::Urgent;
                    }
                    if let Decision::Bind(vm) = fleet.place(now(), &request, &mut rng) {
                        // A worker chosen by placement always has enough
                        // capacity.
                        fleet.reserve(&run, &vm, reservation(&request, now())).unwrap();
                        let number = vm.as_str()[3..].parse().unwrap();
                        held.insert(index, (number, need));
                    }
                }
                Operation::Release(index) => {
                    fleet.release(&run("job", index));
                    held.remove(&index);
                }
            }
            for (vm, size) in &capacity {
                let used = held
                    .values()
                    .filter(|(at, _)| at == vm)
                    .fold(Resources::default(), |sum, (_, need)| sum.plus(*need));
                prop_assert!(used.fits(*size), "{used} on vm-{vm} of {size}");
                prop_assert_eq!(fleet.free_on(&worker(*vm, *size).vm), Some(size.minus(used)));
            }
        }
    }
}
