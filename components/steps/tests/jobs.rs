//! Validation of jobs and parsing of task names.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{job, step};
use proptest::prelude::*;
use rstest::rstest;
use steps::{Job, JobError, Step, TaskKey};

fn job_with(steps: Vec<Step>) -> Job {
    (*job("00000000000000aa", "quick", steps)).clone()
}

#[rstest]
#[case::no_step(vec![], JobError::NoStep)]
#[case::no_task(vec![step(0, &[])], JobError::Count { step: 0, count: 0 })]
#[case::itself(vec![step(1, &[0])], JobError::After { step: 0, after: 0 })]
#[case::later(vec![step(1, &[]), step(1, &[2])], JobError::After { step: 1, after: 2 })]
fn inconsistent_jobs_are_rejected(#[case] steps: Vec<Step>, #[case] error: JobError) {
    assert_eq!(job_with(steps).validate(), Err(error));
}

#[test]
fn the_longest_chain_follows_dependencies() {
    let steps = vec![step(2, &[]), step(1, &[]), step(1, &[0, 1]), step(1, &[1])];
    assert_eq!(job_with(steps).longest_chain_millis(), 600);
}

#[rstest]
#[case::whole("5c0e7a21d94b36f8.0.1.17", true)]
#[case::short("5c0e7a21d94b36f8.0.1", false)]
#[case::letters("5c0e7a21d94b36f8.0.x.17", false)]
#[case::negative("5c0e7a21d94b36f8.0.-1.17", false)]
#[case::empty("", false)]
fn task_names_are_parsed_and_written_back(#[case] text: &str, #[case] is_name: bool) {
    let parsed: Result<TaskKey, _> = text.parse();
    assert_eq!(parsed.is_ok(), is_name);
    if let Ok(key) = parsed {
        assert_eq!(key.to_string(), text);
    }
}

proptest! {
    #[test]
    fn task_name_parser_never_panics(text in ".{0,60}") {
        let parsed: Result<TaskKey, _> = text.parse();
        if let Ok(key) = parsed {
            prop_assert_eq!(key.to_string().parse::<TaskKey>().unwrap(), key);
        }
    }
}

/// The name of a job may look like a number; it must stay a text in each encoding.
#[test]
fn a_task_of_a_job_whose_name_has_digits_only_keeps_its_key() {
    for name in ["0000000000000000", "5017321094733016", "9999999999999999"] {
        let key = common::run(name, 1, 17, 5).task;
        assert_eq!(key.to_string(), format!("{name}.0.1.17"));
        assert_eq!(key.to_string().parse::<steps::TaskKey>().unwrap(), key);
        let json = serde_json::to_string(&key).unwrap();
        assert_eq!(json, format!("\"{name}.0.1.17\""));
        assert_eq!(serde_json::from_str::<steps::TaskKey>(&json).unwrap(), key);
        let by_task = std::collections::BTreeMap::from([(key.clone(), 1u64)]);
        let json = serde_json::to_string(&by_task).unwrap();
        let decoded: std::collections::BTreeMap<steps::TaskKey, u64> =
            serde_json::from_str(&json).unwrap();
        assert_eq!(decoded, by_task);
    }
}
