//! Sessions with the owner of a cell.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{job, objects, run, session::Session, vm_info};
use kernel::{TaskState, Time, object::ZoneState};
use proto::messages::{Order, TaskPhase};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn both_in() -> std::sync::Arc<kernel::ObjectSet> {
    objects(&[("plateau", ZoneState::In), ("yoff", ZoneState::In)])
}

fn starts(orders: &[Order]) -> Vec<String> {
    let mut runs = Vec::new();
    for order in orders {
        if let Order::Start(start) = order {
            runs.push(start.run.to_string());
        }
    }
    runs
}

#[test]
fn a_job_from_submit_to_its_end() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND);
    session.beat(&vm, 1, &[]);
    let first = run("night", 0, 1);
    session.beat(&vm, 1, &[(first.clone(), TaskPhase::Running)]);
    session.pass(SECOND);
    session.beat(&vm, 1, &[(first.clone(), TaskPhase::Succeeded)]);
    session.pass(SECOND);
    session.beat(&vm, 1, &[(first, TaskPhase::Succeeded)]);
    insta::assert_snapshot!(session.log);
}

#[test]
fn a_zone_goes_out_while_a_task_runs_there() {
    let mut session = Session::start(both_in());
    let out = vm_info("vm-1", "plateau", "plateau", 4);
    let other = vm_info("vm-2", "yoff", "plateau", 4);
    session.beat(&out, 0, &[]);
    session.beat(&out, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND / 2);
    session.beat(&out, 1, &[]);
    let first = run("night", 0, 1);
    session.beat(&out, 1, &[(first.clone(), TaskPhase::Running)]);
    session.beat(&other, 0, &[]);
    session.beat(&other, 1, &[]);
    session.config(objects(&[
        ("plateau", ZoneState::Out),
        ("yoff", ZoneState::In),
    ]));
    session.beat(&out, 1, &[(first.clone(), TaskPhase::Running)]);
    session.beat(&out, 1, &[(first.clone(), TaskPhase::Stopped)]);
    session.pass(SECOND / 2);
    session.beat(&out, 1, &[(first, TaskPhase::Stopped)]);
    session.beat(&other, 1, &[]);
    insta::assert_snapshot!(session.log);
}

#[test]
fn nothing_starts_before_its_binding_is_durable() {
    let mut session = Session::start(both_in());
    session.durable_at_once = false;
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.commit();
    session.pass(SECOND);
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), Vec::<String>::new());
    session.commit();
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), ["night/0@1"]);
}

#[test]
fn nothing_starts_without_proof_of_the_configuration() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND);
    session.pass_unproved(2 * SECOND);
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), ["night/0@1"], "proof of 2 s ago");
    session.pass_unproved(SECOND);
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), Vec::<String>::new());
    session.prove();
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), ["night/0@1"]);
}

#[test]
fn a_silent_workers_task_is_bound_again_only_after_its_lease() {
    let mut session = Session::start(both_in());
    let lost = vm_info("vm-1", "plateau", "plateau", 4);
    let other = vm_info("vm-2", "yoff", "plateau", 4);
    session.beat(&lost, 0, &[]);
    session.beat(&lost, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND / 2);
    session.beat(&lost, 1, &[]);
    let granted = session.now;
    let mut bound_again = None;
    while bound_again.is_none() && session.now < granted + 60 * SECOND {
        session.pass(SECOND / 2);
        let answer = session.beat(&other, 1, &[]);
        if !starts(&answer.orders).is_empty() {
            bound_again = Some(session.now);
        }
    }
    let bound_again: Time = bound_again.unwrap();
    assert!(bound_again >= granted + Duration::from_millis(10_500));
    assert!(bound_again <= granted + 15 * SECOND);
}

#[test]
fn a_new_owner_adopts_what_reports_and_waits_for_what_does_not() {
    let mut session = Session::start(both_in());
    let here = vm_info("vm-1", "plateau", "plateau", 2);
    let silent = vm_info("vm-2", "yoff", "plateau", 2);
    for vm in [&here, &silent] {
        session.beat(vm, 0, &[]);
        session.beat(vm, 1, &[]);
    }
    session.submit(job("night", 2, 2));
    session.pass(SECOND / 2);
    for vm in [&here, &silent] {
        session.beat(vm, 1, &[]);
    }
    let on_here = session
        .owner
        .state()
        .bound()
        .find(|(_, _, binding)| binding.vm == here.vm)
        .map(|(run, _, _)| run)
        .unwrap();
    let wait = 100 * SECOND;
    session.take_over(2, session.now + wait);
    let answer = session.beat(&here, 1, &[(on_here.clone(), TaskPhase::Running)]);
    assert_eq!(answer.renewed.len(), 1, "adopted at once");
    let taken = session.now;
    while session.now + SECOND < taken + wait {
        session.pass(SECOND);
        session.beat(&here, 2, &[(on_here.clone(), TaskPhase::Running)]);
    }
    assert_eq!(session.owner.state().bound().count(), 2, "waits");
    session.pass(3 * SECOND);
    assert_eq!(session.owner.state().bound().count(), 1, "lost");
}

#[test]
fn an_owner_that_meets_a_higher_epoch_steps_down() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 2);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 2, &[]);
    assert!(session.owner.has_ended());
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(answer, cell::Answer::default());
}

#[test]
fn a_late_end_of_an_older_attempt_is_refused() {
    let mut session = Session::start(both_in());
    let lost = vm_info("vm-1", "plateau", "plateau", 2);
    let other = vm_info("vm-2", "yoff", "plateau", 2);
    session.beat(&lost, 0, &[]);
    session.beat(&lost, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND / 2);
    session.beat(&lost, 1, &[]);
    for _ in 0..15 {
        session.pass(SECOND);
        session.beat(&other, 1, &[]);
    }
    let first = run("night", 0, 1);
    let answer = session.beat(&lost, 1, &[(first.clone(), TaskPhase::Succeeded)]);
    assert_eq!(answer.recorded, [first]);
    let task = session
        .owner
        .state()
        .task(&run("night", 0, 2).task)
        .unwrap();
    assert_eq!((task.state, task.attempt.0), (TaskState::Bound, 2));
}

#[rstest]
#[case::by_room(10, &[("a", 4, 8, 0), ("b", 4, 2, 0)], &[("a", 8), ("b", 2)])]
#[case::rounded(3, &[("a", 4, 4, 0), ("b", 4, 4, 0)], &[("a", 2), ("b", 1)])]
#[case::beyond_the_room(10, &[("a", 4, 4, 0), ("b", 4, 0, 0)], &[("a", 7), ("b", 3)])]
#[case::too_small_workers(4, &[("a", 0, 9, 0), ("b", 4, 1, 0)], &[("b", 4)])]
#[case::others_wait_there(4, &[("a", 4, 4, 4), ("b", 4, 4, 0)], &[("b", 4)])]
#[case::nowhere(4, &[("a", 0, 0, 9), ("b", 0, 0, 1)], &[("b", 4)])]
#[case::no_cell(4, &[], &[])]
fn a_job_is_spread_over_cells(
    #[case] tasks: u32,
    #[case] rooms: &[(&str, u64, u64, u64)],
    #[case] expected: &[(&str, u32)],
) {
    let cores = |cores: u64| kernel::Resources::new(cores * 1_000, cores * 2_048, 0);
    let rooms = rooms.iter().map(|(cell, largest, free, waiting)| {
        let room = proto::messages::CellRoom {
            free: cores(*free),
            largest: cores(*largest),
            waiting: *waiting,
        };
        (common::cell_name(cell), room)
    });
    let shares = cell::spread(&job("night", tasks, 1), &rooms.collect());
    let mut next = 0;
    let mut found = Vec::new();
    for share in &shares {
        assert_eq!(share.part.from, next, "no gap and no overlap");
        next = share.part.until;
        found.push((share.cell.as_str(), share.part.len()));
    }
    assert_eq!(found, expected);
}

#[test]
fn the_journal_gives_the_same_state_again() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 30, 1));
    session.submit(job("day", 3, 1));
    session.pass(SECOND);
    session.cancel("day");
    for index in 0..4 {
        session.beat(&vm, 1, &[(run("night", index, 1), TaskPhase::Succeeded)]);
        session.pass(SECOND);
    }
    let mut groups = Vec::new();
    for group in &session.groups {
        let key = format!("{:012}-{:012}", group.epoch.0, group.seq);
        groups.push((key, serde_json::to_vec(group).unwrap()));
    }
    let replayed = cell::recover(None, &[], &groups).unwrap();
    assert_eq!(&replayed.state, session.owner.state());
    let chunks = replayed.state.to_chunks();
    let chunks: Vec<_> = chunks
        .into_iter()
        .enumerate()
        .map(|(number, chunk)| (format!("{number:06}"), chunk))
        .collect();
    let head = cell::SnapshotHead {
        epoch: kernel::Epoch(1),
        seq: replayed.next_seq - 1,
        chunks: chunks.len(),
    };
    let folded = cell::recover(Some(head), &chunks, &groups).unwrap();
    assert_eq!(folded.state, replayed.state);
    assert_eq!(folded.next_seq, replayed.next_seq);
}
