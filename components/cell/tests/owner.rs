//! Sessions with the owner of a cell.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use cell::{Event, InboxItem, MovedTask, TaskRange};
use common::{job, objects, run, session::Session, urgent, vm_info};
use kernel::{
    Cause, EndpointInfo, EndpointLoad, EventKind, Resources, TaskRun, TaskState, Time, VmInfo,
    object::ZoneState,
};
use proto::messages::{JobQuery, Order, TaskPhase, TaskReport, Usage};
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
        .bound_attempts()
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
    assert_eq!(session.owner.state().bound_attempts().count(), 2, "waits");
    session.pass(3 * SECOND);
    assert_eq!(session.owner.state().bound_attempts().count(), 1, "lost");
}

#[test]
fn an_owner_cut_off_from_the_store_renews_leases_up_to_its_grace_only() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND);
    session.beat(&vm, 1, &[]);
    let running = [(run("night", 0, 1), TaskPhase::Running)];
    let proved = session.now;
    let grace = cell::Timing::default().owner_grace;
    while session.now + SECOND < proved + grace {
        session.pass_unproved(SECOND);
        let answer = session.beat(&vm, 1, &running);
        assert_eq!(answer.renewed.len(), 1, "{}", session.now);
    }
    session.pass_unproved(SECOND);
    let answer = session.beat(&vm, 1, &running);
    assert_eq!(answer.renewed, Vec::new());
}

#[test]
fn a_new_owner_orders_nothing_from_an_agent_that_does_not_obey_it_yet() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.pass(SECOND);
    assert_eq!(session.owner.state().bound_attempts().count(), 1);
    session.take_over(2, session.now + 100 * SECOND);
    let answer = session.beat(&vm, 1, &[]);
    assert_eq!(starts(&answer.orders), Vec::<String>::new());
    let answer = session.beat(&vm, 2, &[]);
    assert_eq!(starts(&answer.orders), ["night/0@1"]);
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
        let room = proto::messages::CellCapacity {
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

fn beside_endpoint(vm: &str) -> VmInfo {
    let mut info = vm_info(vm, "plateau", "plateau", 4);
    info.endpoints.push(EndpointInfo {
        service: "lookups".parse().unwrap(),
        slots: 8,
        connections: 64,
    });
    info
}

fn latency(micros: u64) -> Vec<EndpointLoad> {
    vec![EndpointLoad {
        service: "lookups".parse().unwrap(),
        in_flight: 1,
        queued: 0,
        latency_micros: micros,
    }]
}

fn using(run: &TaskRun, phase: TaskPhase, cores: u64) -> TaskReport {
    TaskReport {
        run: run.clone(),
        phase,
        checkpoint: None,
        usage: Some(Usage {
            used: Resources::new(cores * 1000, 512, 0),
            age_millis: 0,
        }),
    }
}

/// A service beside two tasks is quick, then three times as slow, then quick
/// again; gives all orders about the tasks' speed.
fn disturbed_session(spec: kernel::JobSpec) -> (Session, Vec<String>) {
    let mut session = Session::start(both_in());
    let vm = beside_endpoint("vm-1");
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    let name = spec.name.to_string();
    session.submit(spec);
    session.pass(SECOND);
    session.beat(&vm, 1, &[]);
    let runs = [run(&name, 0, 1), run(&name, 1, 1)];
    let mut phases = [TaskPhase::Running; 2];
    let mut paces = Vec::new();
    for second in 0..150u64 {
        let base = if (20..26).contains(&second) {
            30_000
        } else {
            10_000
        };
        session.load = latency(base + second % 2);
        let reports = runs.iter().zip(phases);
        let reports = reports.map(|(run, phase)| using(run, phase, 2)).collect();
        let answer = session.beat_with(&vm, 1, reports);
        for order in answer.orders {
            let (number, phase, line) = match &order {
                Order::Throttle(run) => (run.task.index, TaskPhase::Throttled, "throttle"),
                Order::Unthrottle(run) => (run.task.index, TaskPhase::Running, "unthrottle"),
                other => panic!("{other:?}"),
            };
            phases[number as usize] = phase;
            paces.push(format!("{second} {line} {number}"));
        }
        session.pass(SECOND);
    }
    (session, paces)
}

#[test]
fn a_batch_task_is_throttled_for_a_service_and_let_go_when_it_is_calm() {
    let (session, paces) = disturbed_session(job("scans", 2, 2));
    let lines: Vec<&str> = paces
        .iter()
        .map(|line| line.split_once(' ').unwrap().1)
        .collect();
    assert!(lines.contains(&"throttle 0"), "{paces:?}");
    let first: Vec<&&str> = lines.iter().filter(|line| line.ends_with('0')).collect();
    assert_eq!(first, [&"throttle 0", &"unthrottle 0"], "{paces:?}");
    let event = session
        .owner
        .state()
        .ledger
        .recent_events()
        .find(|event| event.kind == EventKind::Throttled)
        .unwrap();
    assert_eq!(event.cause, Cause::Interference);
    assert_eq!(event.beneficiary.service, Some("lookups".parse().unwrap()));
    assert_eq!(event.payer.team, Some("royalties".parse().unwrap()));
    assert!(event.amount.millis >= 60_000, "{:?}", event.amount);
}

#[test]
fn urgent_and_latency_critical_tasks_are_never_throttled() {
    let (_, paces) = disturbed_session(urgent(job("scans", 2, 2)));
    assert_eq!(paces, Vec::<String>::new());
    let serving = kernel::JobSpec {
        class: kernel::TaskClass::LatencyCritical,
        ..job("scans", 2, 2)
    };
    let (_, paces) = disturbed_session(serving);
    assert_eq!(paces, Vec::<String>::new());
}

#[test]
fn what_a_job_used_is_reserved_for_the_next_of_its_family() {
    let mut session = Session::start(both_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.beat(&vm, 0, &[]);
    session.beat(&vm, 1, &[]);
    session.submit(job("night-1", 1, 1));
    session.pass(SECOND);
    session.beat(&vm, 1, &[]);
    let first = run("night-1", 0, 1);
    for phase in [TaskPhase::Running, TaskPhase::Running, TaskPhase::Succeeded] {
        session.beat_with(&vm, 1, vec![using(&first, phase, 3)]);
        session.pass(SECOND);
    }
    session.submit(job("night-2", 1, 1));
    session.pass(SECOND);
    let state = session.owner.state();
    let task = state.task(&run("night-2", 0, 1).task).unwrap();
    assert_eq!(task.bound.unwrap().reserved.cpu_milli, 3000);
}

#[test]
fn at_most_a_quarter_of_the_workers_is_put_aside() {
    let mut session = Session::start(both_in());
    let vms: Vec<VmInfo> = (0..8)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    for epoch in [0, 1] {
        for vm in &vms {
            session.beat(vm, epoch, &[]);
        }
    }
    for number in 0..60 {
        session.submit(job(&format!("job{number}x"), 1, 1));
    }
    for _ in 0..40 {
        session.pass(SECOND);
        for vm in &vms {
            let answer = session.beat(vm, 1, &[]);
            for order in answer.orders {
                if let Order::Start(start) = order {
                    session.beat(vm, 1, &[(start.run, TaskPhase::Failed)]);
                }
            }
        }
    }
    assert_eq!(session.owner.state().quarantined.len(), 2);
}

/// Two cells with tasks of one team and what they were told of each other.
#[test]
fn a_quota_holds_over_cells_that_tell_one_another_what_they_hold() {
    let mut set = both_in().as_ref().clone();
    let team = set.teams.get_mut(&"royalties".parse().unwrap()).unwrap();
    team.quota = Resources::new(4000, 65_536, 0);
    let set = std::sync::Arc::new(set);
    let vm = vm_info("vm-1", "plateau", "plateau", 8);
    let mut sessions = [Session::start(set.clone()), Session::start(set)];
    let mut told: [std::sync::Arc<kernel::TeamSums>; 2] = Default::default();
    let held = |session: &Session| session.owner.state().bound_attempts().count();
    for second in 0..12 {
        for (number, session) in sessions.iter_mut().enumerate() {
            // Each session believes that it is the cell "plateau".
            let sums = std::collections::BTreeMap::from([
                (common::cell_name("plateau"), told[number].clone()),
                (common::cell_name("yoff"), told[1 - number].clone()),
            ]);
            session.give(cell::Event::TeamSums(sums));
            session.beat(&vm, u64::from(second > 0), &[]);
            if second == 2 {
                session.submit(job("night", 8, 1));
            }
            session.pass(SECOND);
        }
        for (number, session) in sessions.iter().enumerate() {
            told[number] = std::sync::Arc::new(session.owner.team_sums());
        }
        let all: usize = sessions.iter().map(held).sum();
        assert!(all <= 4, "{all} tasks at {second} s");
    }
    assert_eq!(sessions.iter().map(held).sum::<usize>(), 4);
}

/// How many tasks of one job a list shows, by state.
fn listed(session: &Session, inbox: &[InboxItem]) -> Vec<(TaskState, u32)> {
    let parts = session.owner.jobs(&JobQuery::default(), inbox);
    let counts = parts.iter().flat_map(|part| &part.counts);
    counts.map(|count| (count.state, count.count)).collect()
}

#[test]
fn a_list_shows_what_still_waits_in_the_inbox_once() {
    let mut session = Session::start(both_in());
    let spec = job("night", 10, 2);
    let part = TaskRange { from: 0, until: 6 };
    let at = session.now;
    let own = InboxItem::Job {
        spec: spec.clone(),
        part,
        at,
    };
    let moved = InboxItem::Moved {
        spec,
        at,
        tasks: vec![MovedTask {
            index: 8,
            attempt: kernel::Attempt(2),
            checkpoint: None,
            failed_on: Vec::new(),
        }],
    };
    let inbox = [own.clone(), moved.clone()];
    assert_eq!(listed(&session, &inbox[1..]), [(TaskState::Waiting, 1)]);
    assert_eq!(listed(&session, &inbox), [(TaskState::Waiting, 7)]);
    session.give(Event::Inbox(vec![("own".to_owned(), own)]));
    assert_eq!(listed(&session, &inbox), [(TaskState::Waiting, 7)]);
    session.give(Event::Inbox(vec![("moved".to_owned(), moved)]));
    assert_eq!(listed(&session, &inbox), [(TaskState::Waiting, 7)]);
    assert_eq!(listed(&session, &[]), [(TaskState::Waiting, 7)]);
}
