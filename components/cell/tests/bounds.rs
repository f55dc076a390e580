//! The bounds that owners have to keep, in virtual time.

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

/// Its tasks run again within a lease and this after a process died or paused.
const AGAIN_WITHIN: Duration = Duration::from_secs(5);
const OWNED_WITHIN: Duration = Duration::from_secs(10);
/// A zone is in use this long after it came back.
const BACK_WITHIN: Duration = Duration::from_secs(10);

/// The tasks of a busy world.
const TASKS: u32 = 4;
const URGENT_WITHIN: Duration = Duration::from_millis(6_100);

fn long(name: &str, tasks: u32, secs: u64) -> JobSpec {
    JobSpec {
        program: format!("run={}", secs * 1_000),
        ..job(name, tasks, 1)
    }
}

/// A world where four tasks run for a minute in cell-a, which has room for them
/// on any two of its three VMs.
fn busy_world(seed: u64, timing: Timing) -> World {
    let mut world = World::with_timing(seed, 3, timing);
    world.run_for(3 * SECOND);
    world.submit(&cell_name("cell-a"), long("night", TASKS, 60));
    world.run_for(6 * SECOND);
    assert_eq!(world.starts_since(Time::ZERO).len(), TASKS as usize);
    world
}

fn machine(world: &World, vm: &VmName) -> usize {
    let found = world.machines.iter().position(|one| one.info.vm == *vm);
    found.unwrap()
}

/// When each of the tasks started again after `since`.
fn again(world: &World, lost: &[TaskRun], since: Time) -> Vec<Time> {
    let starts = world.starts_since(since);
    lost.iter()
        .map(|lost| {
            let start = starts.iter().find(|(_, run, _)| run.task == lost.task);
            start.map_or(Time::MAX, |(at, ..)| *at)
        })
        .collect()
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Vm,
    AgentPaused,
}

#[rstest]
fn a_lost_vms_tasks_run_again_in_time(
    #[values(Loss::Vm, Loss::AgentPaused)] loss: Loss,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = busy_world(seed, timing());
    let (_, _, vm) = world.starts_since(Time::ZERO).remove(0);
    let lost = machine(&world, &vm);
    let runs = world.running_on(lost);
    assert!(!runs.is_empty());
    let at = world.now;
    let back = at + 100 * SECOND;
    match loss {
        Loss::Vm => world.machines[lost].replace(at, back),
        Loss::AgentPaused => world.machines[lost].paused_until = back,
    }
    world.run_for(60 * SECOND);
    for started in again(&world, &runs, at) {
        assert!(started <= at + LEASE + AGAIN_WITHIN, "{started} after {at}");
    }
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

/// What happens to an entry's process.
#[derive(Clone, Copy, Debug)]
enum Gone {
    Dead,
    Paused,
    CutFromStore,
}

#[rstest]
fn a_lost_owners_cell_is_owned_in_time_and_its_tasks_go_on(
    #[values(Gone::Dead, Gone::Paused, Gone::CutFromStore)] gone: Gone,
    #[values(1, 2, 3)] seed: u64,
) {
    let cell = cell_name("cell-a");
    let mut world = busy_world(seed, timing());
    let owner = world.owner_of(&cell).unwrap();
    let at = world.now;
    let back = at + 40 * SECOND;
    match gone {
        Gone::Dead => world.processes[owner].down_until = Some(back),
        Gone::Paused => world.processes[owner].paused_until = back,
        Gone::CutFromStore => world.processes[owner].cut_until = back,
    }
    world.run_until(at + OWNED_WITHIN);
    let next = world.owner_of(&cell).unwrap();
    assert_ne!(next, owner);
    world.run_for(30 * SECOND);
    assert_eq!(world.starts_since(at), Vec::new(), "adopted, not run again");
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[rstest]
fn tasks_leave_a_zone_that_goes_out_and_may_use_it_once_back(#[values(1, 2, 3)] seed: u64) {
    let mut world = busy_world(seed, timing());
    world.set_zone("plateau", ZoneState::Out);
    world.run_for(10 * SECOND);
    let there: Vec<_> = [0, 1, 4]
        .into_iter()
        .flat_map(|machine| world.running_on(machine))
        .collect();
    assert_eq!(there, Vec::new(), "drained");
    let back = world.now;
    world.set_zone("plateau", ZoneState::In);
    world.submit(&cell_name("cell-a"), long("more", 2, 5));
    world.run_for(BACK_WITHIN);
    let used: BTreeSet<_> = world
        .starts_since(back)
        .into_iter()
        .map(|(_, _, vm)| vm)
        .collect();
    let plateau = ["vm-a1", "vm-a2", "vm-b2"].map(vm_name);
    assert!(plateau.iter().any(|vm| used.contains(vm)), "{used:?}");
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[rstest]
fn ten_minutes_without_the_store_cost_no_running_task(#[values(1, 2)] seed: u64) {
    let mut world = busy_world(seed, Timing::default());
    world.submit(&cell_name("cell-a"), long("later", 12, 5));
    let at = world.now;
    world.outage_until = at + 600 * SECOND;
    world.run_for(5 * SECOND);
    let settled = world.now;
    world.run_until(world.outage_until);
    assert_eq!(
        world.starts_since(settled),
        Vec::new(),
        "no proof, no start"
    );
    let ended = world.machines.iter_mut().map(|machine| {
        let shown = machine.worker.list(settled + 600 * SECOND);
        shown
            .iter()
            .filter(|run| run.phase == TaskPhase::Succeeded)
            .count()
    });
    assert_eq!(
        ended.sum::<usize>(),
        TASKS as usize,
        "what ran has ended well"
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
fn urgent_work_starts_in_time_on_full_workers(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 3);
    world.run_for(3 * SECOND);
    for cell in ["cell-a", "cell-b"] {
        world.submit(&cell_name(cell), long(&format!("fill-{cell}"), 8, 60));
    }
    world.run_for(6 * SECOND);
    let at = world.now;
    world.submit(&cell_name("cell-a"), urgent(long("ticket", 2, 1)));
    world.run_for(URGENT_WITHIN);
    let mut started = 0;
    for (_, run, _) in world.starts_since(at) {
        started += u32::from(run.task.job.as_str() == "ticket");
    }
    assert_eq!(started, 2);
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

#[test]
fn waiting_tasks_move_to_a_cell_with_room() {
    let mut world = World::new(1, 2);
    world.run_for(3 * SECOND);
    world.submit(&cell_name("cell-a"), long("night", 9, 30));
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
            "cancelled in both cells"
        );
    }
    assert_eq!(world.finish(600 * SECOND), Vec::<String>::new());
}

fn beat_all(session: &mut Session, vms: &[kernel::VmInfo]) -> Vec<TaskRun> {
    let mut started = Vec::new();
    for vm in vms {
        let answer = session.beat(vm, 1, &[]);
        for order in answer.orders {
            if let Order::Start(start) = order {
                started.push(start.run);
            }
        }
    }
    started
}

#[test]
fn a_wave_of_cancellations_does_not_hold_up_starts() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..10)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    beat_all(&mut session, &vms);
    beat_all(&mut session, &vms);
    for number in 0..50 {
        session.submit(job(&format!("wave-{number}"), 10_000, 64));
    }
    session.pass(SECOND);
    for number in 0..50 {
        session.cancel(&format!("wave-{number}"));
    }
    session.submit(job("work", 40, 1));
    session.pass(SECOND);
    let started = beat_all(&mut session, &vms);
    assert_eq!(started.len(), 40);
    let group_bytes = session
        .groups
        .iter()
        .map(|group| serde_json::to_vec(group).unwrap().len());
    assert!(group_bytes.max().unwrap() < 1_000_000);
}

#[test]
fn a_job_that_no_worker_can_hold_is_given_up_with_the_reason() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.submit(job("huge", 3, 64));
    for _ in 0..120 {
        session.beat(&vm, 1, &[]);
        session.pass(SECOND);
    }
    let task = session.owner.state().task(&run("huge", 2, 1).task).unwrap();
    assert_eq!(task.state, TaskState::Failed);
    assert!(
        task.failure_reason.contains("large enough"),
        "{}",
        task.failure_reason
    );
}

/// Answers every start on `vm` with the given end, until nothing starts.
fn end_all(session: &mut Session, vm: &kernel::VmInfo, phase: TaskPhase) -> usize {
    let mut ended = 0;
    let answer = session.beat(vm, 1, &[]);
    for order in answer.orders {
        if let Order::Start(start) = order {
            session.beat(vm, 1, &[(start.run, phase)]);
            ended += 1;
        }
    }
    ended
}

#[test]
fn a_worker_that_fails_everything_is_put_aside_and_its_tasks_not_blamed() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let broken = vm_info("vm-1", "plateau", "plateau", 4);
    let sound = vm_info("vm-2", "plateau", "plateau", 4);
    for vm in [&broken, &sound] {
        session.beat(vm, 0, &[]);
        session.beat(vm, 1, &[]);
    }
    for number in 0..20 {
        session.submit(job(&format!("job-{number}"), 2, 1));
    }
    let mut failed = 0;
    for _ in 0..30 {
        session.pass(SECOND);
        failed += end_all(&mut session, &broken, TaskPhase::Failed);
        end_all(&mut session, &sound, TaskPhase::Succeeded);
    }
    assert!(session.owner.state().quarantined.contains_key(&broken.vm));
    assert!(failed <= 12, "{failed} tasks failed on it");
    for (name, job) in &session.owner.state().jobs {
        for (index, task) in job.all_tasks() {
            assert_eq!(task.state, TaskState::Finished, "{name}/{index}");
        }
    }
}

#[test]
fn a_task_that_fails_everywhere_stops_and_puts_no_worker_aside() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..4)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    beat_all(&mut session, &vms);
    session.submit(job("bad", 8, 1));
    for _ in 0..40 {
        session.pass(SECOND);
        for vm in &vms {
            end_all(&mut session, vm, TaskPhase::Failed);
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
    assert!(state.quarantined.is_empty(), "{:?}", state.quarantined);
}

#[test]
fn reservations_never_exceed_a_worker() {
    let mut session = Session::start(objects(&[("plateau", ZoneState::In)]));
    let vms: Vec<_> = (0..3)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    beat_all(&mut session, &vms);
    beat_all(&mut session, &vms);
    for (number, cores) in [3, 2, 1, 1, 3, 2].into_iter().enumerate() {
        session.submit(job(&format!("job-{number}"), 3, cores));
        session.pass(SECOND);
        beat_all(&mut session, &vms);
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
