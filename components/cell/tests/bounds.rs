//! Time bounds that owners must keep, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::{collections::BTreeSet, time::Duration};

use cell::Timing;
use common::{
    cell_name, job, objects, run, session::Session, urgent, vm_info, vm_name, world::World,
    world::timing,
};
use kernel::{JobSpec, Resources, TaskRun, TaskState, Time, VmName, object::ZoneState};
use proto::messages::{Order, TaskPhase};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(10);

/// Tasks of a lost VM restart within a lease and this duration.
const RESTART_BOUND: Duration = Duration::from_secs(5);
const TAKEOVER_BOUND: Duration = Duration::from_secs(10);
/// A zone is used again within this duration after its state is set to `in`.
const ZONE_RETURN_BOUND: Duration = Duration::from_secs(10);

/// The number of tasks that run in [`busy_world`].
const BUSY_TASKS: u32 = 4;
const URGENT_START_BOUND: Duration = Duration::from_millis(6_100);

fn long_job(name: &str, tasks: u32, secs: u64) -> JobSpec {
    JobSpec {
        program: format!("run={}", secs * 1_000),
        ..job(name, tasks, 1)
    }
}

/// Returns a simulation in which four tasks run for a minute in cell-a. Any two of
/// its three VMs have enough capacity for them.
fn busy_world(seed: u64, timing: Timing) -> World {
    let mut world = World::with_timing(seed, 3, timing);
    world.run_for(3 * SECOND);
    world.submit(&cell_name("cell-a"), long_job("night", BUSY_TASKS, 60));
    world.run_for(6 * SECOND);
    assert_eq!(world.starts_since(Time::ZERO).len(), BUSY_TASKS as usize);
    world
}

fn machine(world: &World, vm: &VmName) -> usize {
    let found = world.machines.iter().position(|one| one.info.vm == *vm);
    found.unwrap()
}

/// Returns when each of the lost tasks started again after `since`.
fn restart_times(world: &World, lost: &[TaskRun], since: Time) -> Vec<Time> {
    let starts = world.starts_since(since);
    lost.iter()
        .map(|lost| {
            let start = starts.iter().find(|(_, run, _)| run.task == lost.task);
            start.map_or(Time::MAX, |(at, ..)| *at)
        })
        .collect()
}

/// A fault of a VM.
#[derive(Clone, Copy, Debug)]
enum VmFault {
    Replaced,
    AgentPaused,
}

#[rstest]
fn tasks_of_a_lost_vm_restart_in_time(
    #[values(VmFault::Replaced, VmFault::AgentPaused)] fault: VmFault,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = busy_world(seed, timing());
    let (_, _, vm) = world.starts_since(Time::ZERO).remove(0);
    let lost = machine(&world, &vm);
    let runs = world.running_on(lost);
    assert!(!runs.is_empty());
    let at = world.now;
    let up_at = at + 100 * SECOND;
    match fault {
        VmFault::Replaced => world.machines[lost].replace(at, up_at),
        VmFault::AgentPaused => world.machines[lost].paused_until = up_at,
    }
    world.run_for(60 * SECOND);
    for started in restart_times(&world, &runs, at) {
        assert!(
            started <= at + LEASE + RESTART_BOUND,
            "{started} after {at}"
        );
    }
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

/// A fault of an entry process.
#[derive(Clone, Copy, Debug)]
enum OwnerFault {
    Crashed,
    Paused,
    CutFromStore,
}

#[rstest]
fn cell_of_a_lost_owner_is_taken_over_and_its_tasks_continue(
    #[values(OwnerFault::Crashed, OwnerFault::Paused, OwnerFault::CutFromStore)] fault: OwnerFault,
    #[values(1, 2, 3)] seed: u64,
) {
    let cell = cell_name("cell-a");
    let mut world = busy_world(seed, timing());
    let owner = world.owner_of(&cell).unwrap();
    let at = world.now;
    let up_at = at + 40 * SECOND;
    match fault {
        OwnerFault::Crashed => world.processes[owner].down_until = Some(up_at),
        OwnerFault::Paused => world.processes[owner].paused_until = up_at,
        OwnerFault::CutFromStore => world.processes[owner].store_cut_off_until = up_at,
    }
    world.run_until(at + TAKEOVER_BOUND);
    let next = world.owner_of(&cell).unwrap();
    assert_ne!(next, owner);
    world.run_for(30 * SECOND);
    assert_eq!(
        world.starts_since(at),
        Vec::new(),
        "running tasks are adopted, not restarted"
    );
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[rstest]
fn tasks_leave_a_zone_that_goes_out_and_use_it_again_afterwards(#[values(1, 2, 3)] seed: u64) {
    let mut world = busy_world(seed, timing());
    world.set_zone("plateau", ZoneState::Out);
    world.run_for(10 * SECOND);
    let in_zone: Vec<_> = [0, 1, 4]
        .into_iter()
        .flat_map(|machine| world.running_on(machine))
        .collect();
    assert_eq!(in_zone, Vec::new(), "tasks run in the zone");
    let reopened_at = world.now;
    world.set_zone("plateau", ZoneState::In);
    world.submit(&cell_name("cell-a"), long_job("more", 2, 5));
    world.run_for(ZONE_RETURN_BOUND);
    let used: BTreeSet<_> = world
        .starts_since(reopened_at)
        .into_iter()
        .map(|(_, _, vm)| vm)
        .collect();
    let plateau = ["vm-a1", "vm-a2", "vm-b2"].map(vm_name);
    assert!(plateau.iter().any(|vm| used.contains(vm)), "{used:?}");
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[rstest]
fn running_tasks_survive_ten_minutes_without_the_store(#[values(1, 2)] seed: u64) {
    let mut world = busy_world(seed, Timing::default());
    world.submit(&cell_name("cell-a"), long_job("later", 12, 5));
    let at = world.now;
    world.store_down_until = at + 600 * SECOND;
    world.run_for(5 * SECOND);
    let proof_expired_at = world.now;
    world.run_until(world.store_down_until);
    assert_eq!(
        world.starts_since(proof_expired_at),
        Vec::new(),
        "tasks started without a proof"
    );
    let ended = world.machines.iter_mut().map(|machine| {
        let reported = machine.worker.list(proof_expired_at + 600 * SECOND);
        reported
            .iter()
            .filter(|run| run.phase == TaskPhase::Succeeded)
            .count()
    });
    assert_eq!(
        ended.sum::<usize>(),
        BUSY_TASKS as usize,
        "running tasks must finish"
    );
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
    let night = world
        .tasks()
        .into_iter()
        .filter(|(run, _)| run.task.job.as_str() == "night");
    for (run, state) in night {
        assert_eq!((run.attempt.0, state), (1, TaskState::Finished), "{run}");
    }
}

#[rstest]
fn urgent_tasks_start_in_time_on_full_workers(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 3);
    world.run_for(3 * SECOND);
    for cell in ["cell-a", "cell-b"] {
        world.submit(&cell_name(cell), long_job(&format!("fill-{cell}"), 8, 60));
    }
    world.run_for(6 * SECOND);
    let at = world.now;
    world.submit(&cell_name("cell-a"), urgent(long_job("ticket", 2, 1)));
    world.run_for(URGENT_START_BOUND);
    let mut started = 0;
    for (_, run, _) in world.starts_since(at) {
        started += u32::from(run.task.job.as_str() == "ticket");
    }
    assert_eq!(started, 2);
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[test]
fn waiting_tasks_move_to_a_cell_with_free_capacity() {
    let mut world = World::new(1, 2);
    world.run_for(3 * SECOND);
    world.submit(&cell_name("cell-a"), long_job("night", 9, 30));
    world.run_for(25 * SECOND);
    let vms: BTreeSet<_> = world
        .starts_since(Time::ZERO)
        .into_iter()
        .map(|(_, _, vm)| vm)
        .collect();
    assert!(vms.contains(&vm_name("vm-b1")), "{vms:?}");
    let job = common::job_name("night");
    world.cancel(&job);
    world.run_for(10 * SECOND);
    for index in 0..world.machines.len() {
        assert_eq!(
            world.running_on(index),
            Vec::new(),
            "tasks run after the cancellation"
        );
    }
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

fn heartbeat_all(session: &mut Session, vms: &[kernel::VmInfo]) -> Vec<TaskRun> {
    let mut started = Vec::new();
    for vm in vms {
        let answer = session.heartbeat(vm, 1, &[]);
        for order in answer.orders {
            if let Order::Start(start) = order {
                started.push(start.run);
            }
        }
    }
    started
}

#[test]
fn many_cancellations_do_not_delay_starts() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..10)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    heartbeat_all(&mut session, &vms);
    heartbeat_all(&mut session, &vms);
    for number in 0..50 {
        session.submit(job(&format!("wave-{number}"), 10_000, 64));
    }
    session.advance(SECOND);
    for number in 0..50 {
        session.cancel(&format!("wave-{number}"));
    }
    session.submit(job("work", 40, 1));
    session.advance(SECOND);
    let started = heartbeat_all(&mut session, &vms);
    assert_eq!(started.len(), 40);
    let group_bytes = session
        .groups
        .iter()
        .map(|group| serde_json::to_vec(group).unwrap().len());
    assert!(group_bytes.max().unwrap() < 1_000_000);
}

#[test]
fn job_too_large_for_every_worker_fails_with_a_reason() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.submit(job("huge", 3, 64));
    for _ in 0..120 {
        session.heartbeat(&vm, 1, &[]);
        session.advance(SECOND);
    }
    let task = session.owner.state().task(&run("huge", 2, 1).task).unwrap();
    assert_eq!(task.state, TaskState::Failed);
    assert!(
        task.failure_reason.contains("large enough"),
        "{}",
        task.failure_reason
    );
}

/// Reports the given end for every attempt that one heartbeat of `vm` starts, and
/// returns their number.
fn end_started(session: &mut Session, vm: &kernel::VmInfo, phase: TaskPhase) -> usize {
    let mut ended = 0;
    let answer = session.heartbeat(vm, 1, &[]);
    for order in answer.orders {
        if let Order::Start(start) = order {
            session.heartbeat(vm, 1, &[(start.run, phase)]);
            ended += 1;
        }
    }
    ended
}

#[test]
fn faulty_worker_is_quarantined_and_its_failures_do_not_count() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let faulty = vm_info("vm-1", "plateau", "plateau", 4);
    let healthy = vm_info("vm-2", "plateau", "plateau", 4);
    for vm in [&faulty, &healthy] {
        session.heartbeat(vm, 0, &[]);
        session.heartbeat(vm, 1, &[]);
    }
    for number in 0..20 {
        session.submit(job(&format!("job-{number}"), 2, 1));
    }
    let mut failed = 0;
    for _ in 0..30 {
        session.advance(SECOND);
        failed += end_started(&mut session, &faulty, TaskPhase::Failed);
        end_started(&mut session, &healthy, TaskPhase::Succeeded);
    }
    assert!(
        session
            .owner
            .state()
            .quarantined_until
            .contains_key(&faulty.vm)
    );
    assert!(failed <= 12, "{failed} tasks failed on it");
    for (name, job) in &session.owner.state().jobs {
        for (index, task) in job.all_tasks() {
            assert_eq!(task.state, TaskState::Finished, "{name}/{index}");
        }
    }
}

#[test]
fn task_failing_on_every_worker_fails_without_quarantine() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..4)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    heartbeat_all(&mut session, &vms);
    session.submit(job("bad", 8, 1));
    for _ in 0..40 {
        session.advance(SECOND);
        for vm in &vms {
            end_started(&mut session, vm, TaskPhase::Failed);
        }
    }
    let state = session.owner.state();
    let bad = &state.jobs[&common::job_name("bad")];
    for (index, task) in bad.all_tasks() {
        assert_eq!(task.state, TaskState::Failed, "{index}");
        assert!(
            task.failure_reason.contains("failed"),
            "{}",
            task.failure_reason
        );
    }
    assert!(
        state.quarantined_until.is_empty(),
        "{:?}",
        state.quarantined_until
    );
}

#[test]
fn reservations_never_exceed_the_capacity_of_a_worker() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..3)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    heartbeat_all(&mut session, &vms);
    heartbeat_all(&mut session, &vms);
    for (number, cores) in [3, 2, 1, 1, 3, 2].into_iter().enumerate() {
        session.submit(job(&format!("job-{number}"), 3, cores));
        session.advance(SECOND);
        heartbeat_all(&mut session, &vms);
        for vm in &vms {
            let held = session
                .owner
                .state()
                .bound_attempts()
                .filter(|(_, _, binding)| binding.vm == vm.vm)
                .fold(Resources::NONE, |sum, (_, _, binding)| {
                    sum.plus(binding.reserved)
                });
            assert!(held.fits(vm.capacity), "{} holds {held}", vm.vm);
        }
    }
}
