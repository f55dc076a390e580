//! Tests of the owner of a cell, through its events and actions.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use cell::{Event, InboxItem, MovedTask, TaskRange};
use common::{
    job, objects, run,
    session::{Session, restarted},
    urgent, vm_info,
};
use kernel::{
    Cause, EndpointInfo, EndpointLoad, EventKind, Resources, TaskRun, TaskState, Time, VmInfo,
    object::ZoneState,
};
use proto::messages::{JobQuery, Order, TaskPhase, TaskReport, Usage};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn both_zones_in() -> std::sync::Arc<kernel::ObjectSet> {
    objects(&[("plateau", ZoneState::In), ("yoff", ZoneState::In)])
}

fn started_runs(orders: &[Order]) -> Vec<String> {
    let mut runs = Vec::new();
    for order in orders {
        if let Order::Start(start) = order {
            runs.push(start.run.to_string());
        }
    }
    runs
}

#[test]
fn job_runs_from_submission_to_its_recorded_end() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let first = run("night", 0, 1);
    session.heartbeat(&vm, 1, &[(first.clone(), TaskPhase::Running)]);
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[(first.clone(), TaskPhase::Succeeded)]);
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[(first, TaskPhase::Succeeded)]);
    insta::assert_snapshot!(session.log);
}

#[test]
fn task_is_bound_elsewhere_after_its_zone_goes_out() {
    let mut session = Session::start(both_zones_in());
    let out = vm_info("vm-1", "plateau", "plateau", 4);
    let other = vm_info("vm-2", "yoff", "plateau", 4);
    session.heartbeat(&out, 0, &[]);
    session.heartbeat(&out, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND / 2);
    session.heartbeat(&out, 1, &[]);
    let first = run("night", 0, 1);
    session.heartbeat(&out, 1, &[(first.clone(), TaskPhase::Running)]);
    session.heartbeat(&other, 0, &[]);
    session.heartbeat(&other, 1, &[]);
    session.config(objects(&[
        ("plateau", ZoneState::Out),
        ("yoff", ZoneState::In),
    ]));
    session.heartbeat(&out, 1, &[(first.clone(), TaskPhase::Running)]);
    session.heartbeat(&out, 1, &[(first.clone(), TaskPhase::Stopped)]);
    session.advance(SECOND / 2);
    session.heartbeat(&out, 1, &[(first, TaskPhase::Stopped)]);
    session.heartbeat(&other, 1, &[]);
    insta::assert_snapshot!(session.log);
}

#[test]
fn task_starts_only_after_its_binding_is_durable() {
    let mut session = Session::start(both_zones_in());
    session.commits_immediately = false;
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.commit();
    session.advance(SECOND);
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&answer.orders), Vec::<String>::new());
    session.commit();
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&answer.orders), ["night/0@1"]);
}

#[test]
fn task_starts_only_with_a_recent_configuration_proof() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND);
    session.advance_unproved(2 * SECOND);
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(
        started_runs(&answer.orders),
        ["night/0@1"],
        "the proof is 2 s old"
    );
    session.advance_unproved(SECOND);
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&answer.orders), Vec::<String>::new());
    session.prove();
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&answer.orders), ["night/0@1"]);
}

#[test]
fn task_of_an_unresponsive_worker_is_rebound_only_after_its_lease() {
    let mut session = Session::start(both_zones_in());
    let lost = vm_info("vm-1", "plateau", "plateau", 4);
    let other = vm_info("vm-2", "yoff", "plateau", 4);
    session.heartbeat(&lost, 0, &[]);
    session.heartbeat(&lost, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND / 2);
    session.heartbeat(&lost, 1, &[]);
    let granted = session.now;
    let mut rebound_at = None;
    while rebound_at.is_none() && session.now < granted + 60 * SECOND {
        session.advance(SECOND / 2);
        let answer = session.heartbeat(&other, 1, &[]);
        if !started_runs(&answer.orders).is_empty() {
            rebound_at = Some(session.now);
        }
    }
    let rebound_at: Time = rebound_at.unwrap();
    assert!(rebound_at >= granted + Duration::from_millis(10_500));
    assert!(rebound_at <= granted + 15 * SECOND);
}

#[test]
fn new_owner_adopts_reported_tasks_and_waits_for_the_others() {
    let mut session = Session::start(both_zones_in());
    let responsive = vm_info("vm-1", "plateau", "plateau", 2);
    let unresponsive = vm_info("vm-2", "yoff", "plateau", 2);
    for vm in [&responsive, &unresponsive] {
        session.heartbeat(vm, 0, &[]);
        session.heartbeat(vm, 1, &[]);
    }
    session.submit(job("night", 2, 2));
    session.advance(SECOND / 2);
    for vm in [&responsive, &unresponsive] {
        session.heartbeat(vm, 1, &[]);
    }
    let on_responsive = session
        .owner
        .state()
        .bound_attempts()
        .find(|(_, _, binding)| binding.vm == responsive.vm)
        .map(|(run, _, _)| run)
        .unwrap();
    let wait = 100 * SECOND;
    session.take_over(2, session.now + wait);
    let answer = session.heartbeat(
        &responsive,
        1,
        &[(on_responsive.clone(), TaskPhase::Running)],
    );
    assert_eq!(answer.renewed.len(), 1, "adopted immediately");
    let taken = session.now;
    while session.now + SECOND < taken + wait {
        session.advance(SECOND);
        session.heartbeat(
            &responsive,
            2,
            &[(on_responsive.clone(), TaskPhase::Running)],
        );
    }
    assert_eq!(
        session.owner.state().bound_attempts().count(),
        2,
        "kept until the lease expires"
    );
    session.advance(3 * SECOND);
    assert_eq!(
        session.owner.state().bound_attempts().count(),
        1,
        "ended after the lease expired"
    );
}

#[test]
fn owner_without_the_store_renews_leases_only_within_its_grace() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let running = [(run("night", 0, 1), TaskPhase::Running)];
    let proved = session.now;
    let grace = cell::Timing::default().owner_grace;
    while session.now + SECOND < proved + grace {
        session.advance_unproved(SECOND);
        let answer = session.heartbeat(&vm, 1, &running);
        assert_eq!(answer.renewed.len(), 1, "{}", session.now);
    }
    session.advance_unproved(SECOND);
    let answer = session.heartbeat(&vm, 1, &running);
    assert_eq!(answer.renewed, Vec::new());
}

#[test]
fn new_owner_sends_no_start_before_the_agent_confirms_its_epoch() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND);
    assert_eq!(session.owner.state().bound_attempts().count(), 1);
    session.take_over(2, session.now + 100 * SECOND);
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&answer.orders), Vec::<String>::new());
    let answer = session.heartbeat(&vm, 2, &[]);
    assert_eq!(started_runs(&answer.orders), ["night/0@1"]);
}

#[test]
fn owner_steps_down_on_a_higher_epoch() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 2);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 2, &[]);
    assert!(session.owner.has_ended());
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(answer, cell::Answer::default());
}

/// An agent that was stopped in an orderly way and started again in place got no tasks
/// from the same owner, so a rolling restart stalled with tasks waiting.
#[test]
fn an_agent_that_left_gets_tasks_after_its_restart_but_not_before() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.leaving = true;
    session.heartbeat(&vm, 1, &[]);
    session.leaving = false;
    session.submit(job("night", 1, 2));
    session.advance(SECOND);
    let late = session.heartbeat(&vm, 1, &[]);
    assert_eq!(started_runs(&late.orders), Vec::<String>::new());

    let vm = restarted(&vm);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.advance(SECOND);
    let answer = session.heartbeat(&vm, 1, &[]);
    assert_eq!(
        started_runs(&answer.orders),
        [run("night", 0, 1).to_string()]
    );
}

#[test]
fn late_end_of_an_older_attempt_is_ignored() {
    let mut session = Session::start(both_zones_in());
    let lost = vm_info("vm-1", "plateau", "plateau", 2);
    let other = vm_info("vm-2", "yoff", "plateau", 2);
    session.heartbeat(&lost, 0, &[]);
    session.heartbeat(&lost, 1, &[]);
    session.submit(job("night", 1, 2));
    session.advance(SECOND / 2);
    session.heartbeat(&lost, 1, &[]);
    for _ in 0..15 {
        session.advance(SECOND);
        session.heartbeat(&other, 1, &[]);
    }
    let first = run("night", 0, 1);
    let answer = session.heartbeat(&lost, 1, &[(first.clone(), TaskPhase::Succeeded)]);
    assert_eq!(answer.recorded, [first]);
    let task = session
        .owner
        .state()
        .task(&run("night", 0, 2).task)
        .unwrap();
    assert_eq!((task.state, task.attempt.0), (TaskState::Bound, 2));
}

#[rstest]
#[case::by_capacity(10, &[("a", 4, 8, 0), ("b", 4, 2, 0)], &[("a", 8), ("b", 2)])]
#[case::rounded(3, &[("a", 4, 4, 0), ("b", 4, 4, 0)], &[("a", 2), ("b", 1)])]
#[case::beyond_capacity(10, &[("a", 4, 4, 0), ("b", 4, 0, 0)], &[("a", 7), ("b", 3)])]
#[case::some_workers_too_small(4, &[("a", 0, 9, 0), ("b", 4, 1, 0)], &[("b", 4)])]
#[case::with_waiting_tasks(4, &[("a", 4, 4, 4), ("b", 4, 4, 0)], &[("b", 4)])]
#[case::all_workers_too_small(4, &[("a", 0, 0, 9), ("b", 0, 0, 1)], &[("b", 4)])]
#[case::no_cell(4, &[], &[])]
fn job_is_spread_over_cells_by_free_capacity(
    #[case] tasks: u32,
    #[case] capacities: &[(&str, u64, u64, u64)],
    #[case] expected: &[(&str, u32)],
) {
    let cores = |cores: u64| kernel::Resources::new(cores * 1_000, cores * 2_048, 0);
    let capacities = capacities.iter().map(|(cell, largest, free, waiting)| {
        let capacity = proto::messages::CellCapacity {
            free: cores(*free),
            largest: cores(*largest),
            waiting: *waiting,
        };
        (common::cell_name(cell), capacity)
    });
    let shares = cell::spread(&job("night", tasks, 1), &capacities.collect());
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
fn journal_and_snapshot_restore_the_same_state() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 30, 1));
    session.submit(job("day", 3, 1));
    session.advance(SECOND);
    session.cancel("day");
    for index in 0..4 {
        session.heartbeat(&vm, 1, &[(run("night", index, 1), TaskPhase::Succeeded)]);
        session.advance(SECOND);
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
    let compacted = cell::recover(Some(head), &chunks, &groups).unwrap();
    assert_eq!(compacted.state, replayed.state);
    assert_eq!(compacted.next_seq, replayed.next_seq);
}

fn vm_with_endpoint(vm: &str) -> VmInfo {
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

fn usage_report(run: &TaskRun, phase: TaskPhase, cores: u64) -> TaskReport {
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

/// Runs two tasks on the same VM as a service whose latency triples for six seconds, and
/// returns the session with all throttle and unthrottle orders.
fn session_with_slow_service(spec: kernel::JobSpec) -> (Session, Vec<String>) {
    let mut session = Session::start(both_zones_in());
    let vm = vm_with_endpoint("vm-1");
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    let name = spec.name.to_string();
    session.submit(spec);
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let runs = [run(&name, 0, 1), run(&name, 1, 1)];
    let mut phases = [TaskPhase::Running; 2];
    let mut pace_orders = Vec::new();
    for second in 0..150u64 {
        let base = if (20..26).contains(&second) {
            30_000
        } else {
            10_000
        };
        session.load = latency(base + second % 2);
        let reports = runs.iter().zip(phases);
        let reports = reports
            .map(|(run, phase)| usage_report(run, phase, 2))
            .collect();
        let answer = session.heartbeat_with(&vm, 1, reports);
        for order in answer.orders {
            let (number, phase, line) = match &order {
                Order::Throttle(run) => (run.task.index, TaskPhase::Throttled, "throttle"),
                Order::Unthrottle(run) => (run.task.index, TaskPhase::Running, "unthrottle"),
                other => panic!("{other:?}"),
            };
            phases[number as usize] = phase;
            pace_orders.push(format!("{second} {line} {number}"));
        }
        session.advance(SECOND);
    }
    (session, pace_orders)
}

#[test]
fn batch_task_is_throttled_while_a_service_is_slow() {
    let (session, pace_orders) = session_with_slow_service(job("scans", 2, 2));
    let lines: Vec<&str> = pace_orders
        .iter()
        .map(|line| line.split_once(' ').unwrap().1)
        .collect();
    assert!(lines.contains(&"throttle 0"), "{pace_orders:?}");
    let first: Vec<&&str> = lines.iter().filter(|line| line.ends_with('0')).collect();
    assert_eq!(first, [&"throttle 0", &"unthrottle 0"], "{pace_orders:?}");
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
    let (_, pace_orders) = session_with_slow_service(urgent(job("scans", 2, 2)));
    assert_eq!(pace_orders, Vec::<String>::new());
    let latency_critical = kernel::JobSpec {
        class: kernel::TaskClass::LatencyCritical,
        ..job("scans", 2, 2)
    };
    let (_, pace_orders) = session_with_slow_service(latency_critical);
    assert_eq!(pace_orders, Vec::<String>::new());
}

#[test]
fn usage_of_a_job_is_reserved_for_the_next_job_of_its_family() {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 4);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night-1", 1, 1));
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let first = run("night-1", 0, 1);
    for phase in [TaskPhase::Running, TaskPhase::Running, TaskPhase::Succeeded] {
        session.heartbeat_with(&vm, 1, vec![usage_report(&first, phase, 3)]);
        session.advance(SECOND);
    }
    session.submit(job("night-2", 1, 1));
    session.advance(SECOND);
    let state = session.owner.state();
    let task = state.task(&run("night-2", 0, 1).task).unwrap();
    assert_eq!(task.bound.unwrap().reserved.cpu_milli, 3000);
}

#[test]
fn at_most_a_quarter_of_the_workers_is_quarantined() {
    let mut session = Session::start(both_zones_in());
    let vms: Vec<VmInfo> = (0..8)
        .map(|number| vm_info(&format!("vm-{number}"), "plateau", "plateau", 4))
        .collect();
    for epoch in [0, 1] {
        for vm in &vms {
            session.heartbeat(vm, epoch, &[]);
        }
    }
    for number in 0..60 {
        session.submit(job(&format!("job{number}x"), 1, 1));
    }
    for _ in 0..40 {
        session.advance(SECOND);
        for vm in &vms {
            let answer = session.heartbeat(vm, 1, &[]);
            for order in answer.orders {
                if let Order::Start(start) = order {
                    session.heartbeat(vm, 1, &[(start.run, TaskPhase::Failed)]);
                }
            }
        }
    }
    assert_eq!(session.owner.state().quarantined_until.len(), 2);
}

/// Guards against two cells that each grant a team its whole quota: both owners
/// learn the other's sums with a delay.
#[test]
fn quota_holds_across_cells_that_exchange_team_sums() {
    let mut set = both_zones_in().as_ref().clone();
    let team = set.teams.get_mut(&"royalties".parse().unwrap()).unwrap();
    team.quota = Resources::new(4000, 65_536, 0);
    let set = std::sync::Arc::new(set);
    let vm = vm_info("vm-1", "plateau", "plateau", 8);
    let mut sessions = [Session::start(set.clone()), Session::start(set)];
    let mut reported: [std::sync::Arc<kernel::TeamSums>; 2] = Default::default();
    let held = |session: &Session| session.owner.state().bound_attempts().count();
    for second in 0..12 {
        for (number, session) in sessions.iter_mut().enumerate() {
            // Each session is the cell "plateau" in its own view.
            let sums = std::collections::BTreeMap::from([
                (common::cell_name("plateau"), reported[number].clone()),
                (common::cell_name("yoff"), reported[1 - number].clone()),
            ]);
            session.handle(cell::Event::TeamSums(sums));
            session.heartbeat(&vm, u64::from(second > 0), &[]);
            if second == 2 {
                session.submit(job("night", 8, 1));
            }
            session.advance(SECOND);
        }
        for (number, session) in sessions.iter().enumerate() {
            reported[number] = std::sync::Arc::new(session.owner.team_sums());
        }
        let all: usize = sessions.iter().map(held).sum();
        assert!(all <= 4, "{all} tasks at {second} s");
    }
    assert_eq!(sessions.iter().map(held).sum::<usize>(), 4);
}

/// Returns the number of listed tasks by state.
fn listed_counts(session: &Session, inbox: &[InboxItem]) -> Vec<(TaskState, u32)> {
    let parts = session.owner.jobs(&JobQuery::default(), inbox);
    let counts = parts.iter().flat_map(|part| &part.counts);
    counts.map(|count| (count.state, count.count)).collect()
}

#[test]
fn list_counts_each_inbox_item_once() {
    let mut session = Session::start(both_zones_in());
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
    assert_eq!(
        listed_counts(&session, &inbox[1..]),
        [(TaskState::Waiting, 1)]
    );
    assert_eq!(listed_counts(&session, &inbox), [(TaskState::Waiting, 7)]);
    session.handle(Event::Inbox(vec![("own".to_owned(), own)]));
    assert_eq!(listed_counts(&session, &inbox), [(TaskState::Waiting, 7)]);
    session.handle(Event::Inbox(vec![("moved".to_owned(), moved)]));
    assert_eq!(listed_counts(&session, &inbox), [(TaskState::Waiting, 7)]);
    assert_eq!(listed_counts(&session, &[]), [(TaskState::Waiting, 7)]);
}

/// Guards against a planned stop soon after an owner was lost, which hides that this one may
/// still grant leases.
#[test]
fn an_owner_records_no_handover_while_earlier_leases_may_last() {
    for (earlier_leases_end, expected) in [(30, "releases the cell"), (1, "hands over")] {
        let mut session = Session::start(both_zones_in());
        session.take_over(2, session.now + SECOND * earlier_leases_end);
        session.advance(SECOND);
        session.advance(SECOND);
        session.handle(Event::Stop);
        session.handle(Event::Tick);
        assert!(session.owner.has_ended(), "{}", session.log);
        assert!(session.log.contains(expected), "{}", session.log);
    }
}

/// Tasks that were started before go on; a worker may also register anew with less capacity.
#[rstest]
#[case::same_agent(false)]
#[case::restarted_agent(true)]
fn a_worker_with_less_capacity_than_its_tasks_gets_none_until_there_is_room(
    #[case] is_restarted: bool,
) {
    let mut session = Session::start(both_zones_in());
    let vm = vm_info("vm-1", "plateau", "plateau", 6);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    session.submit(job("night", 2, 2));
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let running = |index| (run("night", index, 1), TaskPhase::Running);
    let tasks = [running(0), running(1)];
    session.heartbeat(&vm, 1, &tasks);

    let smaller = vm_info("vm-1", "plateau", "plateau", 3);
    let smaller = match is_restarted {
        true => restarted(&smaller),
        false => smaller,
    };
    session.heartbeat(&smaller, 1, &tasks);
    session.submit(job("day", 1, 1));
    session.advance(SECOND);
    let answer = session.heartbeat(&smaller, 1, &tasks);
    assert_eq!(started_runs(&answer.orders), Vec::<String>::new());
    assert!(
        !answer
            .orders
            .iter()
            .any(|order| matches!(order, Order::Stop(_)))
    );

    let done = (run("night", 0, 1), TaskPhase::Succeeded);
    session.heartbeat(&smaller, 1, &[done.clone(), running(1)]);
    session.advance(SECOND);
    let answer = session.heartbeat(&smaller, 1, &[done, running(1)]);
    assert_eq!(started_runs(&answer.orders), ["day/0@1"]);
}

#[test]
fn a_worker_with_too_few_accelerators_gets_no_tasks_that_need_none() {
    let mut session = Session::start(both_zones_in());
    let with_accelerators = |accelerators| VmInfo {
        capacity: Resources::new(8_000, 65_536, accelerators),
        ..vm_info("vm-1", "plateau", "plateau", 8)
    };
    let vm = with_accelerators(2);
    session.heartbeat(&vm, 0, &[]);
    session.heartbeat(&vm, 1, &[]);
    let mut accelerated = job("night", 2, 2);
    accelerated.need.accelerators = 1;
    session.submit(accelerated);
    session.advance(SECOND);
    session.heartbeat(&vm, 1, &[]);
    let running = |index| (run("night", index, 1), TaskPhase::Running);
    let tasks = [running(0), running(1)];
    session.heartbeat(&vm, 1, &tasks);

    session.heartbeat(&with_accelerators(1), 1, &tasks);
    session.submit(job("day", 1, 1));
    session.advance(SECOND);
    let answer = session.heartbeat(&with_accelerators(1), 1, &tasks);
    assert_eq!(started_runs(&answer.orders), Vec::<String>::new());

    session.heartbeat(&with_accelerators(2), 1, &tasks);
    session.advance(SECOND);
    let answer = session.heartbeat(&with_accelerators(2), 1, &tasks);
    assert_eq!(started_runs(&answer.orders), ["day/0@1"]);
}
