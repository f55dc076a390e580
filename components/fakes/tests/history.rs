//! The checker reports a violation of each invariant and accepts a correct run.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use fakes::history::{HistoryEnd, Record, check};
use kernel::{Attempt, RequestId, Resources, Revision, TaskId, TaskRun, Time, Verdict, VmName};
use rstest::rstest;

const CAPACITY: Resources = Resources::new(2000, 1024, 1);
const HALF: Resources = Resources::new(1000, 512, 0);
const MORE_THAN_HALF: Resources = Resources::new(1500, 512, 0);

fn run(job: &str, attempt: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: job.parse().unwrap(),
            index: 0,
        },
        attempt: Attempt(attempt),
    }
}

fn vm(name: &str) -> VmName {
    name.parse().unwrap()
}

fn exists(name: &str) -> Record {
    Record::Vm {
        vm: vm(name),
        zone: "medina".parse().unwrap(),
        capacity: CAPACITY,
    }
}

fn starts(secs: u64, job: &str, attempt: u32, on: &str, reserved: Resources) -> Record {
    Record::Started {
        at: Time::from_secs(secs),
        run: run(job, attempt),
        vm: vm(on),
        reserved,
        resumed_millis: 0,
    }
}

fn stops(secs: u64, job: &str, attempt: u32, on: &str, succeeded: bool) -> Record {
    Record::Stopped {
        at: Time::from_secs(secs),
        run: run(job, attempt),
        vm: vm(on),
        succeeded,
    }
}

fn finished(secs: u64, job: &str, attempt: u32) -> Record {
    Record::Finished {
        at: Time::from_secs(secs),
        run: run(job, attempt),
    }
}

fn zone(secs: u64, open: bool) -> Record {
    Record::Zone {
        at: Time::from_secs(secs),
        zone: "medina".parse().unwrap(),
        open,
    }
}

fn id(name: &str) -> RequestId {
    name.parse().unwrap()
}

fn answered(verdict: Verdict, body: Option<(&str, bool)>) -> Record {
    Record::Answered {
        at: Time::from_secs(9),
        id: id("r1"),
        verdict,
        body: body.map(|(name, whole)| (id(name), whole)),
    }
}

fn executed(secs: u64) -> Record {
    Record::Executed {
        at: Time::from_secs(secs),
        id: id("r1"),
        vm: vm("a"),
        idempotent: false,
    }
}

fn in_force(revision: u64) -> Record {
    Record::InForce {
        at: Time::from_secs(1),
        process: "entry-1".to_owned(),
        revision: Revision(revision),
    }
}

#[rstest]
#[case::over_capacity(vec![
    exists("a"), starts(1, "j", 1, "a", HALF), starts(2, "k", 1, "a", MORE_THAN_HALF)], "holds")]
#[case::two_places(vec![
    starts(1, "j", 1, "a", HALF), starts(2, "j", 2, "b", HALF)], "while")]
#[case::same_attempt_twice(vec![
    starts(1, "j", 1, "a", HALF), stops(2, "j", 1, "a", false), starts(3, "j", 1, "a", HALF)],
    "a second time")]
#[case::older_attempt_after_newer(vec![
    starts(1, "j", 2, "a", HALF), stops(2, "j", 2, "a", false), starts(3, "j", 1, "b", HALF)],
    "starts after")]
#[case::again_after_recorded_success(vec![
    starts(1, "j", 1, "a", HALF), stops(2, "j", 1, "a", true), finished(3, "j", 1),
    starts(4, "j", 2, "a", HALF)], "its end was recorded")]
#[case::late_success_recorded(vec![
    starts(1, "j", 1, "a", HALF), stops(2, "j", 1, "a", true), starts(3, "j", 2, "a", HALF),
    finished(4, "j", 1)], "is recorded after")]
#[case::recorded_twice(vec![
    starts(1, "j", 1, "a", HALF), stops(2, "j", 1, "a", true),
    finished(3, "j", 1), finished(4, "j", 1)], "is recorded after")]
#[case::recorded_without_success(vec![finished(3, "j", 1)], "did not end well")]
#[case::lost(vec![
    Record::Accepted { at: Time::ZERO, task: run("j", 1).task }], "never ended")]
#[case::start_in_zone_out(vec![
    exists("a"), zone(1, false), starts(5, "j", 1, "a", HALF)], "which is out")]
#[case::crossed_answer(vec![answered(Verdict::Done, Some(("r2", true)))], "answer of")]
#[case::half_answer(vec![answered(Verdict::Done, Some(("r1", false)))], "whole: false")]
#[case::false_not_run(vec![executed(1), answered(Verdict::NotRun, None)], "but it ran")]
#[case::twice_run(vec![executed(1), executed(2)], "runs again")]
#[case::work_for_leaving(vec![
    Record::Leaving { at: Time::ZERO, vm: vm("a") }, executed(4)], "leaving")]
#[case::cut_off(vec![Record::CutOff { at: Time::ZERO, id: id("r1") }], "cut r1 off")]
#[case::config_goes_back(vec![in_force(2), in_force(1)], "goes back")]
fn a_broken_invariant_is_found(#[case] records: Vec<Record>, #[case] expected: &str) {
    let violations = check(&records, HistoryEnd::Quiescent);
    assert!(
        violations.iter().any(|line| line.contains(expected)),
        "{expected:?} is not in {violations:?}"
    );
}

#[test]
fn a_run_that_keeps_all_invariants_passes() {
    let records = vec![
        exists("a"),
        exists("b"),
        Record::Accepted {
            at: Time::ZERO,
            task: run("j", 1).task,
        },
        starts(1, "j", 1, "a", HALF),
        zone(2, false),
        stops(3, "j", 1, "a", false),
        zone(4, true),
        starts(8, "j", 2, "b", HALF),
        stops(9, "j", 2, "b", true),
        finished(10, "j", 2),
        executed(5),
        answered(Verdict::Done, Some(("r1", true))),
        in_force(1),
        in_force(2),
    ];
    assert_eq!(check(&records, HistoryEnd::Quiescent), Vec::<String>::new());
}
