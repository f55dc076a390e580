//! Decision state of an agent: which owner's calls it accepts, which starts it admits,
//! when leases expire.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{entry, run, worker_info};
use kernel::Time;
use rstest::rstest;
use steps::{
    AgentState, Timing,
    agent::{Heartbeat, PollError, PollReply, RenewalBound, WorkerPoll},
    crash::SuspectRun,
    message::{
        ActiveRun, ClockReading, EndedRun, OrderResult, Orders, OwnerHeader, Refusal, RunEnd,
        RunKey,
    },
};

const START: Time = Time::from_secs(1_000);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn heartbeat(started_at: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        info: worker_info("w", started_at),
        sequence,
    }
}

fn header(epoch: u64, echo: Option<u64>) -> OwnerHeader {
    let incarnation = worker_info("w", 1).incarnation;
    OwnerHeader {
        epoch,
        owner: entry(epoch),
        echo: echo.map(|millis| ClockReading {
            incarnation,
            millis,
        }),
        recorded: None,
        recorded_crash: None,
    }
}

fn reply(clock_millis: u64) -> PollReply {
    PollReply {
        has_more_ends: false,
        clock_millis,
        started_at: Some(1),
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// An agent whose worker has answered once under epoch 5. The worker's clock shows 10
/// s at `START`.
fn agent() -> AgentState {
    let mut agent = AgentState::new(Timing::default(), START);
    agent.apply_heartbeat(heartbeat(1, 1));
    assert!(agent.accept_header(START, &header(5, None)));
    answer_poll(&mut agent, START, 10_000);
    assert!(agent.accept_header(START, &header(5, Some(10_000))));
    agent
}

fn next_poll(agent: &mut AgentState, now: Time) -> WorkerPoll {
    agent
        .next_poll(now, false)
        .expect("worker and owner are known")
}

fn answer_poll(agent: &mut AgentState, now: Time, clock: u64) -> WorkerPoll {
    let poll = next_poll(agent, now);
    agent.apply_reply(now, &poll, reply(clock));
    poll
}

/// Restarts the worker under its name: its heartbeat arrives, then its answer to the next poll.
fn restart_worker(agent: &mut AgentState, now: Time, beat: Heartbeat) {
    let started_at = beat.info.incarnation.started_at;
    agent.apply_heartbeat(beat);
    let poll = next_poll(agent, now);
    let answer = PollReply {
        started_at: Some(started_at),
        ..reply(1_000)
    };
    agent.apply_reply(now, &poll, answer);
}

fn orders(epoch: u64, start_by_millis: u64) -> Orders {
    Orders {
        header: header(epoch, None),
        incarnation: worker_info("w", 1).incarnation,
        start_by_millis,
        capacity: None,
        starts: Vec::new(),
        stops: vec![run("00000000000000aa", 0, 0, 1)],
    }
}

fn key() -> RunKey {
    run("00000000000000aa", 0, 0, 2)
}

/// A start whose first attempt got no answer stays unsettled when a repeat is refused for
/// lack of room, but not when the worker refuses the run for good.
#[rstest]
#[case(Refusal::Room, 1)]
#[case(Refusal::Old, 0)]
fn the_refusal_of_a_repeat_settles_a_start_only_if_it_holds_for_good(
    #[case] refusal: Refusal,
    #[case] unsettled: usize,
) {
    let mut agent = agent();
    let orders = orders(5, u64::MAX);
    agent.accept_header(at(0), &header(5, Some(10_000)));
    agent.admit(at(0), &orders, &key()).unwrap();
    agent.settle_start(&key(), OrderResult::Unsettled);
    agent.admit(at(10), &orders, &key()).unwrap();
    agent.settle_start(&key(), OrderResult::Refused(refusal));
    assert_eq!(agent.report(at(20)).unsettled.len(), unsettled);
}

#[test]
fn calls_with_a_lower_epoch_are_refused() {
    let mut agent = agent();
    assert!(!agent.accept_header(at(0), &header(4, None)));
    assert_eq!(
        agent.admit(at(0), &orders(4, u64::MAX), &key()),
        Err(Refusal::Fenced)
    );
    assert!(agent.accept_header(at(0), &header(6, None)));
    assert!(agent.is_unconfirmed());
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut agent = agent();
    restart_worker(&mut agent, at(0), heartbeat(2, 1));
    agent.apply_heartbeat(heartbeat(1, 9));
    assert_eq!(
        agent.worker().map(|worker| worker.incarnation.started_at),
        Some(2)
    );
}

#[test]
fn leases_are_limited_by_the_echoed_clock_reading() {
    let mut agent = agent();
    let timing = Timing::default();
    let bound = 10_000 + (timing.contact_grace + timing.lease).as_millis() as u64;
    let first = next_poll(&mut agent, at(100));
    assert_eq!(
        first.until_millis,
        Some(10_098 + timing.lease.as_millis() as u64)
    );
    answer_poll(&mut agent, at(5_000), 15_000);
    let last = next_poll(&mut agent, at(5_100));
    assert_eq!(last.until_millis, Some(bound));
}

#[test]
fn renewal_stops_with_the_echo_or_the_polls_and_returns() {
    let mut agent = agent();
    answer_poll(&mut agent, at(2_900), 12_900);
    assert_eq!(agent.renewal_stop(), None);
    answer_poll(&mut agent, at(3_200), 13_200);
    assert_eq!(agent.renewal_stop(), Some(RenewalBound::OwnerEcho));
    agent.accept_header(at(3_300), &header(5, Some(13_200)));
    agent.check_lease_expiry(at(3_300));
    assert_eq!(agent.renewal_stop(), None);
    for millis in [3_400, 3_500] {
        let poll = next_poll(&mut agent, at(millis));
        agent.apply_error(at(millis), &poll, PollError::Unresponsive);
    }
    assert_eq!(agent.renewal_stop(), Some(RenewalBound::WorkerPolls));
}

#[rstest]
#[case::in_time(1_000, Ok(()))]
#[case::late(1_300, Err(Refusal::Late))]
fn an_order_is_refused_after_its_deadline(
    #[case] after: u64,
    #[case] expected: Result<(), Refusal>,
) {
    let mut agent = agent();
    let admitted = agent.admit(at(after), &orders(5, 11_200), &key());
    assert_eq!(admitted.map(|_| ()), expected);
}

#[test]
fn a_draining_worker_starts_nothing() {
    let mut agent = agent();
    let mut leaving = heartbeat(1, 2);
    leaving.info.draining = true;
    agent.apply_heartbeat(leaving);
    assert_eq!(
        agent.admit(at(10), &orders(5, u64::MAX), &key()),
        Err(Refusal::Worker)
    );
}

/// Guards against leases that never expire: polls that the worker did not answer
/// granted new leases, so a dead worker whose agent still ran was never reported as
/// free of runs (fault-injection run of 2026-12-04, seed 883136681838).
#[test]
fn leases_of_an_unresponsive_worker_expire_while_its_owner_calls() {
    let mut agent = agent();
    let mut clock = 0;
    while clock < 6_000 {
        clock += 200;
        agent.accept_header(at(clock), &header(5, Some(10_000 + clock)));
        let poll = next_poll(&mut agent, at(clock));
        agent.apply_error(at(clock), &poll, PollError::Unresponsive);
    }
    assert!(agent.report(at(clock)).leases_expired);
}

/// Such a poll renews nothing, so leases ended while the worker held it.
#[test]
fn the_poll_after_an_unanswered_one_waits_at_the_worker() {
    let mut agent = agent();
    let lost = agent.next_poll(at(0), true).unwrap();
    assert!(lost.wait_millis > 0);
    agent.apply_error(at(1_600), &lost, PollError::Unresponsive);
    let poll = agent.next_poll(at(1_750), true).unwrap();
    assert_eq!((poll.wait_millis, poll.until_millis), (0, None));
    agent.apply_reply(at(1_751), &poll, reply(11_751));
    let next = agent.next_poll(at(1_752), true).unwrap();
    assert!(next.wait_millis > 0 && next.until_millis > lost.until_millis);
}

/// A worker was taken away with its VM, whose agent was stopped before the leases had
/// expired, so each new owner waited for them from its own start on (day
/// machines-stopped, Brenes seed 2559395759).
#[test]
fn a_stopping_agent_waits_until_nothing_can_run_on_its_vm() {
    let mut agent = agent();
    assert!(!agent.awaits_lease_expiry(), "the worker answers");
    agent.accept_header(at(0), &header(5, Some(10_000)));
    next_poll(&mut agent, at(0));
    let mut waited = Vec::new();
    for clock in (200..6_000).step_by(200) {
        let poll = next_poll(&mut agent, at(clock));
        agent.apply_error(at(clock), &poll, PollError::Unresponsive);
        if agent.awaits_lease_expiry() {
            waited.push(clock);
        }
        let is_lost = agent.has_lost_worker();
        assert_eq!(is_lost, agent.report(at(clock)).leases_expired);
    }
    assert!(agent.has_lost_worker());
    assert_eq!(waited.first(), Some(&400), "a second poll is unanswered");
    let lease = Timing::default().lease + Timing::default().kill_slack;
    assert!(
        waited
            .last()
            .is_some_and(|last| at(*last) >= at(0) + lease - Duration::from_millis(400))
    );
    answer_poll(&mut agent, at(6_000), 16_000);
    assert!(!agent.has_lost_worker(), "the worker answers again");
}

/// Guards against a run that no owner accounts for: a start order arrived after the
/// agent had reported all leases as expired (`explore`, seed 10559).
#[test]
fn nothing_starts_on_an_unresponsive_worker() {
    let mut agent = agent();
    for millis in [100, 200] {
        let poll = next_poll(&mut agent, at(millis));
        agent.apply_error(at(millis), &poll, PollError::Unresponsive);
    }
    assert_eq!(
        agent.admit(at(210), &orders(5, u64::MAX), &key()),
        Err(Refusal::Worker)
    );
    answer_poll(&mut agent, at(300), 10_300);
    assert!(agent.admit(at(310), &orders(5, u64::MAX), &key()).is_ok());
}

#[test]
fn a_restarted_agent_waits_for_earlier_leases() {
    let agent = AgentState::new(Timing::default(), START);
    assert!(!agent.report(at(4_000)).leases_expired);
    assert!(agent.report(at(4_500)).leases_expired);
}

/// Guards against two runs of a task: a restarted agent heard of its worker, got no answer to
/// two polls and reported that all leases there had expired (`explore`, seed 10063).
/// The late heartbeat of an earlier worker made a restarted agent report that nothing ran, while
/// the present worker did.
#[test]
fn a_restarted_agent_that_knows_only_an_earlier_worker_waits_for_earlier_leases() {
    let mut agent = AgentState::new(Timing::default(), START);
    agent.apply_heartbeat(heartbeat(1, 1));
    assert!(agent.accept_header(START, &header(5, None)));
    let poll = next_poll(&mut agent, at(10));
    agent.apply_error(at(10), &poll, PollError::OtherIncarnation);
    assert!(agent.worker().is_none());
    assert!(!agent.report(at(20)).leases_expired);
    assert!(agent.report(at(5_000)).leases_expired);
}

/// The owner stopped a start that no worker could carry out any more again and again, and its
/// task waited until the silent worker was back.
#[test]
fn a_start_without_an_answer_is_settled_once_the_leases_have_expired() {
    let mut agent = agent();
    agent.admit(at(0), &orders(5, u64::MAX), &key()).unwrap();
    agent.settle_start(&key(), OrderResult::Unsettled);
    for _ in 0..2 {
        let poll = next_poll(&mut agent, at(100));
        agent.apply_error(at(100), &poll, PollError::Unresponsive);
    }
    assert_eq!(agent.report(at(100)).unsettled, [key()]);
    agent.check_lease_expiry(at(5_000));
    let report = agent.report(at(5_000));
    assert!(report.leases_expired);
    assert!(report.unsettled.is_empty());
}

/// A start that the worker carried out after a poll, and whose answer arrived before that of the
/// poll, was in no list of the first report to the next owner.
#[test]
fn a_start_that_is_confirmed_before_an_earlier_poll_is_in_the_next_report() {
    let mut agent = agent();
    let orders = orders(5, u64::MAX);
    agent.admit(at(0), &orders, &key()).unwrap();
    assert!(agent.accept_header(at(5), &header(6, None)));
    let poll = next_poll(&mut agent, at(5));
    agent.settle_start(&key(), OrderResult::Done);
    agent.apply_reply(at(10), &poll, reply(10_010));
    let report = agent.report(at(10));
    assert_eq!(report.confirmed_epoch, 6);
    assert_eq!(report.unsettled, [key()]);
    list(&mut agent, at(20), 10_020, &[&key()]);
    assert!(agent.report(at(20)).unsettled.is_empty());
}

#[test]
fn a_restarted_agent_whose_worker_does_not_answer_waits_for_earlier_leases() {
    let mut agent = AgentState::new(Timing::default(), START);
    agent.apply_heartbeat(heartbeat(1, 1));
    assert!(agent.accept_header(START, &header(5, None)));
    for millis in [100, 200, 4_000] {
        let poll = next_poll(&mut agent, at(millis));
        agent.apply_error(at(millis), &poll, PollError::Unresponsive);
    }
    assert!(!agent.report(at(4_000)).leases_expired);
    agent.check_lease_expiry(at(4_500));
    assert!(agent.report(at(4_500)).leases_expired);
}

#[test]
fn a_restarted_agent_refuses_owners_before_the_newest_in_the_store() {
    let mut agent = AgentState::new(Timing::default(), START);
    agent.observe_epoch(5);
    assert!(!agent.accept_header(START, &header(4, None)));
    assert!(agent.accept_header(START, &header(5, None)));
}

/// Guards against a task that stays down for seconds after a start was lost on its way: the
/// owner waits for a list that no longer holds the run it has stopped.
#[test]
fn the_absence_of_a_stopped_run_is_reported_at_once() {
    let mut agent = agent();
    let version = agent.version();
    agent.settle_stop(&key(), OrderResult::Done);
    agent.verify_stops(&[key()]);
    let poll = agent.next_poll(at(100), true).unwrap();
    assert_eq!(poll.wait_millis, 0);
    agent.apply_reply(at(110), &poll, reply(10_110));
    assert_ne!(agent.version(), version, "the owner gets a report");
    let poll = agent.next_poll(at(120), true).unwrap();
    assert_ne!(poll.wait_millis, 0, "one poll is enough");
}

/// Starts a run and lets the worker confirm it.
fn start(agent: &mut AgentState, now: Time, key: &RunKey) {
    agent.accept_header(now, &header(5, Some(10_000)));
    agent.admit(now, &orders(5, u64::MAX), key).unwrap();
    agent.settle_start(key, OrderResult::Done);
}

fn list(agent: &mut AgentState, now: Time, clock: u64, keys: &[&RunKey]) {
    let poll = next_poll(agent, now);
    let row = |key: &&RunKey| ActiveRun {
        key: (*key).clone(),
        checkpoint: None,
        progress_percent: 0,
        measurement: 100,
    };
    let mut reply = reply(clock);
    reply.running = keys.iter().map(row).collect();
    agent.apply_reply(now, &poll, reply);
}

#[test]
fn an_agent_names_the_runs_in_doubt_at_a_crash_until_their_record_is_durable() {
    let mut agent = agent();
    let survived = run("00000000000000aa", 0, 0, 1);
    let ended = run("00000000000000aa", 0, 1, 2);
    let recent = run("00000000000000aa", 0, 2, 3);
    let unconfirmed = run("00000000000000aa", 0, 3, 4);
    start(&mut agent, at(0), &survived);
    start(&mut agent, at(500), &ended);
    list(&mut agent, at(520), 10_520, &[&survived, &ended]);
    list(&mut agent, at(600), 10_600, &[&survived]);
    start(&mut agent, at(700), &recent);
    agent
        .admit(at(710), &orders(5, u64::MAX), &unconfirmed)
        .unwrap();
    agent.settle_start(&unconfirmed, OrderResult::Unsettled);
    restart_worker(&mut agent, at(720), heartbeat(2, 1));
    let crash = agent.report(at(4_000)).crashes.remove(0);
    let suspect = |key: RunKey, is_confirmed: bool| SuspectRun { key, is_confirmed };
    assert_eq!(
        crash.suspects,
        [suspect(recent, true), suspect(unconfirmed, false)]
    );
    let mut header = header(5, None);
    header.recorded_crash = Some((agent.incarnation(), crash.number));
    agent.accept_header(at(4_100), &header);
    assert_eq!(agent.report(at(4_100)).crashes, []);
}

#[test]
fn a_silent_worker_that_answers_again_is_taken_for_crashed() {
    let mut agent = agent();
    let key = key();
    start(&mut agent, at(0), &key);
    let mut now = at(0);
    while agent.report(now).crashes.is_empty() {
        now = now + Duration::from_millis(200);
        assert!(at(20_000) > now, "the leases never expire");
        let poll = next_poll(&mut agent, now);
        agent.apply_error(now, &poll, PollError::Unresponsive);
    }
    answer_poll(
        &mut agent,
        now,
        10_000 + now.since(START).as_millis() as u64,
    );
    assert_eq!(agent.report(now).crashes, []);
}

#[test]
fn the_replacement_of_a_draining_worker_is_no_crash() {
    let mut agent = agent();
    start(&mut agent, at(0), &key());
    let mut draining = heartbeat(1, 2);
    draining.info.draining = true;
    agent.apply_heartbeat(draining);
    restart_worker(&mut agent, at(50), heartbeat(2, 1));
    assert_eq!(agent.worker().map(|worker| worker.draining), Some(false));
    assert_eq!(agent.report(at(100)).crashes, []);
}

/// The owner took the run for active again: it was stopped, and kept its room, until the next list.
#[rstest]
#[case::end_arrives_after_the_list(false)]
#[case::list_arrives_after_the_end(true)]
fn a_run_whose_end_is_known_is_reported_as_active(#[case] is_end_first: bool) {
    let mut agent = agent();
    let key = key();
    let [first, second] = [at(10), at(20)].map(|now| next_poll(&mut agent, now));
    let listed = |key: &RunKey| PollReply {
        running: vec![ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 0,
            measurement: 0,
        }],
        ..reply(10_020)
    };
    let has_ended = PollReply {
        ended: vec![EndedRun {
            number: 1,
            key: key.clone(),
            how: RunEnd::Failed,
            checkpoint: None,
        }],
        ..reply(10_025)
    };
    // The first poll waited at the worker until the run ended.
    if is_end_first {
        agent.apply_reply(at(30), &first, has_ended);
        agent.apply_reply(at(31), &second, listed(&key));
    } else {
        agent.apply_reply(at(30), &second, listed(&key));
        agent.apply_reply(at(31), &first, has_ended);
    }
    let report = agent.report(at(40));
    assert_eq!((report.running.len(), report.ended.len()), (0, 1));
}

/// It may have heard of its worker first by a late heartbeat of an earlier incarnation.
#[test]
fn a_restarted_agent_waits_for_earlier_leases_when_another_incarnation_answers() {
    let mut agent = AgentState::new(Timing::default(), at(0));
    agent.accept_header(at(0), &header(1, None));
    agent.apply_heartbeat(heartbeat(1, 9));
    let poll = next_poll(&mut agent, at(100));
    agent.apply_error(at(110), &poll, PollError::OtherIncarnation);
    assert!(!agent.report(at(4_300)).leases_expired);
    assert!(agent.report(at(4_500)).leases_expired);
}

/// A restarted worker took late orders for its earlier incarnation until an owner had called.
#[test]
fn an_agent_without_an_owner_leaves_its_worker_open_to_late_calls() {
    let mut agent = AgentState::new(Timing::default(), START);
    agent.apply_heartbeat(heartbeat(1, 1));
    let poll = agent.next_poll(START, true).unwrap();
    assert_eq!((poll.epoch, poll.until_millis), (0, None));
}

/// Guards against needless reports: the time for which a worker is still cold is another one in
/// each heartbeat.
#[test]
fn a_countdown_in_heartbeats_is_told_once() {
    let mut agent = AgentState::new(Timing::default(), START);
    let beat = |sequence: u64, cold_until_millis: Option<u64>| {
        let mut beat = heartbeat(1, sequence);
        beat.info.cold_until_millis = cold_until_millis;
        beat.info.drains_until_millis = cold_until_millis;
        beat
    };
    agent.apply_heartbeat(beat(1, Some(8_000)));
    let version = agent.report(START).version;
    agent.apply_heartbeat(beat(2, Some(8_040)));
    assert_eq!(agent.report(START).version, version);
    agent.apply_heartbeat(beat(3, Some(12_000)));
    agent.apply_heartbeat(beat(4, None));
    assert_eq!(agent.report(START).version, version + 2);
    assert_eq!(agent.worker().unwrap().cold_until_millis, None);
}
