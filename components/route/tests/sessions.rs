//! Recorded sessions of the router and of membership, and tests of single modules.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{fmt::Write, net::SocketAddr, time::Duration};

use kernel::{
    EndpointInfo, EndpointLoad, Incarnation, ObjectSet, Resources, Revision, Time, VmInfo,
    object::Limit,
};
use route::{
    AttemptNumber, AttemptOutcome, Candidate, CandidateTracker, Event, Members, Policy, Request,
    RequestKey, Router, VmHeartbeat,
    admission::{Admission, AdmissionDecision, Ticket},
    record::{BeginResult, Fingerprint, ProbeResult, RECORD_LIFETIME, RecordKey, Records},
    request::Usability,
};
use rstest::rstest;
use serde::Serialize;

const START: Time = Time::from_secs(1_000);

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        zone: format!("zone-{number}").parse().unwrap(),
        slots: 8,
        reported_load: 0,
        reported_at: START,
        usability: Usability::Normal,
        usable_since: Time::ZERO,
        records_held_until: Time::MAX,
        lost_records_until: Time::ZERO,
        lost_records_before: None,
    }
}

/// A router with a transcript of its events and actions.
struct Session {
    now: Time,
    router: Router,
    text: String,
}

impl Session {
    fn new(limit: Limit, candidates: Vec<Candidate>) -> Self {
        let policy = Policy {
            limit,
            objective: Duration::from_millis(100),
        };
        let mut router = Router::new(policy, 1);
        router.handle(START, Event::Endpoints(candidates));
        Self {
            now: START,
            router,
            text: String::new(),
        }
    }

    fn after(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(millis);
        self
    }

    fn event(&mut self, event: Event) -> &mut Self {
        let at = self.now.since(START).as_millis();
        writeln!(self.text, "{at} ms {}", json(&event)).unwrap();
        for action in self.router.handle(self.now, event) {
            writeln!(self.text, "    {}", json(&action)).unwrap();
        }
        self
    }

    fn arrives(&mut self, key: u64, idempotent: bool, id: Option<&str>) -> &mut Self {
        let deadline = self.now + Duration::from_secs(1);
        self.event(Event::Arrived(Request {
            key: RequestKey(key),
            id: id.map(|id| id.parse().unwrap()),
            idempotent,
            deadline,
        }))
    }

    fn ends(&mut self, key: u64, attempt: u32, outcome: AttemptOutcome) -> &mut Self {
        self.event(Event::AttemptEnded {
            key: RequestKey(key),
            attempt: AttemptNumber(attempt),
            outcome,
        })
    }

    fn note(&mut self, note: &str) -> &mut Self {
        writeln!(self.text, "# {note}").unwrap();
        self
    }

    /// Answers lookups without recording them, so that the latency quantiles are known.
    fn warm_up(&mut self, lookups: u64) -> &mut Self {
        let text = self.text.len();
        for key in 1_000..1_000 + lookups {
            self.arrives(key, true, None);
            self.after(10).ends(key, 1, GOOD);
        }
        self.text.truncate(text);
        self
    }
}

const GOOD: AttemptOutcome = AttemptOutcome::Answered {
    failed: false,
    load: 0,
};

#[test]
fn session_of_lookups() {
    let mut session = Session::new(Limit::default(), (1..=3).map(candidate).collect());
    session
        .warm_up(60)
        .note("a lookup is answered")
        .arrives(1, true, None)
        .after(10)
        .ends(1, 1, GOOD)
        .note("a lookup that did not run is retried on another endpoint")
        .arrives(2, true, None)
        .after(1)
        .ends(2, 1, AttemptOutcome::Overloaded { load: 9 })
        .after(10)
        .ends(2, 2, GOOD)
        .note("a slow lookup is hedged; the later answer is ignored")
        .arrives(3, true, None)
        .after(40)
        .event(Event::Due(RequestKey(3)))
        .after(10)
        .ends(3, 2, GOOD)
        .after(100)
        .ends(3, 1, GOOD)
        .note("a lookup without an answer ends at its deadline")
        .arrives(4, true, None)
        .after(1_000)
        .event(Event::Due(RequestKey(4)))
        .note("a caller disconnects")
        .arrives(5, true, None)
        .after(5)
        .event(Event::CallerGone(RequestKey(5)))
        .note("an answer after the latency objective counts as late");
    session.arrives(6, true, None).after(150).ends(6, 1, GOOD);
    insta::assert_snapshot!(session.text);
}

#[test]
fn session_of_bookings() {
    let mut candidates: Vec<Candidate> = (1..=3).map(candidate).collect();
    let mut session = Session::new(Limit::default(), candidates.clone());
    session
        .warm_up(60)
        .note("a booking that may have run is not retried, although the budget allows it")
        .arrives(1, false, None)
        .after(1)
        .ends(1, 1, AttemptOutcome::Unknown)
        .note("a booking that did not run is retried")
        .arrives(2, false, None)
        .after(1)
        .ends(2, 1, AttemptOutcome::Unreachable)
        .after(10)
        .ends(2, 2, GOOD)
        .note("a booking with an id goes to its home, and so does its repeat")
        .arrives(3, false, Some("booking-7"))
        .after(10)
        .ends(3, 1, GOOD)
        .arrives(4, false, Some("booking-7"))
        .after(10)
        .ends(4, 1, GOOD);
    let home = session
        .text
        .lines()
        .rfind(|line| line.contains("\"send\""))
        .unwrap();
    let home = candidates
        .iter()
        .position(|c| home.contains(c.vm.as_str()))
        .unwrap();
    candidates[home].usability = Usability::RecordsOnly;
    session
        .note("the home is leaving: it is probed before another endpoint runs the booking")
        .event(Event::Endpoints(candidates.clone()))
        .arrives(5, false, Some("booking-7"))
        .after(1)
        .ends(5, 1, AttemptOutcome::NotHere)
        .after(10)
        .ends(5, 2, GOOD)
        .note("the probe finds the record")
        .arrives(6, false, Some("booking-7"))
        .after(1)
        .ends(6, 1, GOOD);
    candidates[home].usability = Usability::Gone;
    candidates[home].lost_records_until = Time::MAX;
    session
        .note("the home is removed together with its records")
        .event(Event::Endpoints(candidates))
        .arrives(7, false, Some("booking-7"));
    insta::assert_snapshot!(session.text);
}

#[test]
fn session_of_refusals() {
    let limit = Limit {
        in_flight: 2,
        ..Limit::default()
    };
    let mut session = Session::new(limit, Vec::new());
    session
        .note("there is no endpoint")
        .arrives(1, true, None)
        .event(Event::Endpoints(vec![candidate(1)]))
        .note("the limit is used up")
        .arrives(2, true, None)
        .arrives(3, true, None)
        .arrives(4, true, None)
        .after(10)
        .ends(2, 1, GOOD)
        .ends(3, 1, GOOD)
        .note("every endpoint is overloaded: the request is refused at once")
        .arrives(5, true, None)
        .after(1)
        .ends(5, 1, AttemptOutcome::Overloaded { load: 80 });
    insta::assert_snapshot!(session.text);
}

/// A planned stop at low traffic: the retry budget is empty, the other endpoints are healthy.
#[test]
fn redirects_from_leaving_endpoints_use_no_retry_budget() {
    let limit = Limit {
        retry_percent: 0,
        ..Limit::default()
    };
    let mut session = Session::new(limit, (1..=5).map(candidate).collect());
    for key in 1..=10 {
        session.arrives(key, false, None);
        session.ends(key, 1, AttemptOutcome::Unreachable);
    }
    let before = session.text.len();
    session.arrives(20, false, None);
    for attempt in 1..=3 {
        session.ends(20, attempt, AttemptOutcome::Leaving);
    }
    session.ends(20, 4, GOOD);
    let text = &session.text[before..];
    assert!(text.contains(r#""result":{"answer":4}"#), "{text}");
}

fn info(vm: &str, incarnation: u64) -> VmInfo {
    VmInfo {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        zone: "plateau".parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        cell: "cell-1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        capacity: Resources::NONE,
        endpoints: vec![EndpointInfo {
            service: "directory".parse().unwrap(),
            slots: 8,
            connections: 64,
        }],
    }
}

fn heartbeat_of(vm: &str, incarnation: u64, sequence: u64) -> VmHeartbeat {
    VmHeartbeat {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        info: None,
        leaving: false,
        revision: Revision(1),
        load: vec![EndpointLoad {
            service: "directory".parse().unwrap(),
            in_flight: 1,
            queued: 0,
            latency_micros: 0,
        }],
    }
}

fn heartbeat_with_info(vm: &str, incarnation: u64, sequence: u64) -> VmHeartbeat {
    VmHeartbeat {
        info: Some(info(vm, incarnation)),
        ..heartbeat_of(vm, incarnation, sequence)
    }
}

/// Membership at one entry with a transcript.
struct MembershipSession {
    now: Time,
    members: Members,
    text: String,
}

impl MembershipSession {
    fn heartbeat(&mut self, beat: VmHeartbeat) -> &mut Self {
        let (vm, incarnation, number) = (beat.vm.clone(), beat.incarnation.0, beat.sequence);
        let leaving = if beat.leaving { " leaving" } else { "" };
        let outcome = self.members.on_heartbeat(self.now, beat);
        self.log(&format!(
            "{vm} incarnation {incarnation} heartbeat {number}{leaving}: {}",
            json(&outcome)
        ))
    }

    fn advance(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(millis);
        for change in self.members.tick(self.now) {
            self.log(&json(&change));
        }
        self
    }

    fn log(&mut self, line: &str) -> &mut Self {
        let at = self.now.since(START).as_millis();
        writeln!(self.text, "{at} ms {line}").unwrap();
        self
    }

    fn list(&mut self) -> &mut Self {
        for member in self.members.iter() {
            let (vm, incarnation) = (&member.update.info.vm, member.update.info.incarnation.0);
            let by = member
                .reported_by
                .as_ref()
                .map_or("itself", |entry| entry.as_str());
            let standing = json(&member.standing);
            writeln!(
                self.text,
                "    {vm} incarnation {incarnation} {standing} reported by {by}"
            )
            .unwrap();
        }
        self
    }
}

#[test]
fn session_of_membership() {
    let mut session = MembershipSession {
        now: START,
        members: Members::new(),
        text: String::new(),
    };
    session
        .heartbeat(heartbeat_of("vm-1", 1, 1))
        .heartbeat(heartbeat_with_info("vm-1", 1, 2))
        .heartbeat(heartbeat_with_info("vm-2", 1, 1))
        .advance(1_000)
        .heartbeat(heartbeat_of("vm-1", 1, 3))
        .heartbeat(heartbeat_of("vm-1", 1, 3))
        .heartbeat(heartbeat_of("vm-1", 1, 2))
        .list()
        .advance(2_500)
        .list()
        .log("vm-2 sends a heartbeat again")
        .heartbeat(heartbeat_of("vm-2", 1, 2))
        .list()
        .log("vm-1 is leaving; a later heartbeat without the flag does not change this");
    let leaving = VmHeartbeat {
        leaving: true,
        ..heartbeat_of("vm-1", 1, 4)
    };
    session
        .heartbeat(leaving)
        .heartbeat(heartbeat_of("vm-1", 1, 5))
        .list();
    session.log("vm-2 refuses a request because it is leaving");
    let vm = "vm-2".parse().unwrap();
    session.members.on_leaving(&vm, Incarnation(1));
    session
        .list()
        .log("vm-2 restarts; an update of its old incarnation arrives late");
    session
        .heartbeat(heartbeat_with_info("vm-2", 2, 1))
        .heartbeat(heartbeat_of("vm-2", 1, 9))
        .list()
        .log("another entry reports vm-3");
    let mut other = Members::new();
    other.on_heartbeat(session.now, heartbeat_with_info("vm-3", 1, 1));
    let changes = other.changes_since(0);
    let entry = "entry-2".parse().unwrap();
    session
        .members
        .on_exchange(session.now, &entry, changes.vms);
    session.list().advance(4_000).advance(8_000).list();
    session.log("removed VMs are remembered, then forgotten");
    session
        .advance(u64::try_from(RECORD_LIFETIME.as_millis()).unwrap())
        .list();
    insta::assert_snapshot!(session.text);
}

#[test]
fn changes_since_a_version_are_partial_or_complete_on_request() {
    let mut members = Members::new();
    members.on_heartbeat(START, heartbeat_with_info("vm-1", 1, 1));
    members.on_heartbeat(START, heartbeat_with_info("vm-2", 1, 1));
    let first = members.changes_since(0);
    assert!(first.complete);
    assert_eq!(first.vms.len(), 2);
    let nothing = members.changes_since(first.upto);
    assert!(nothing.vms.is_empty() && !nothing.complete);
    let changed_load = VmHeartbeat {
        load: Vec::new(),
        ..heartbeat_of("vm-2", 1, 2)
    };
    members.on_heartbeat(START, changed_load);
    let second = members.changes_since(first.upto);
    assert_eq!(second.vms.len(), 1);
    assert_eq!(second.vms[0].info.vm.as_str(), "vm-2");
    let again = members.changes_since(first.upto);
    assert_eq!(
        again, second,
        "the updates of a failed exchange are returned again"
    );
    let from_restarted_entry = members.changes_since(second.upto + 100);
    assert!(from_restarted_entry.complete);
}

#[test]
fn a_skipped_revision_restarts_usable_since_of_every_endpoint() {
    let mut members = Members::new();
    members.on_heartbeat(START, heartbeat_with_info("vm-1", 1, 1));
    let mut tracker = CandidateTracker::new("directory".parse().unwrap());
    let objects = ObjectSet::default();
    let later = START + Duration::from_secs(2);
    let mut usable_since = |now, revision| {
        let candidates = tracker.update(now, &members, &objects, Revision(revision));
        candidates[0].usable_since
    };
    assert_eq!(usable_since(START, 1), START);
    assert_eq!(usable_since(later, 2), START);
    assert_eq!(usable_since(later, 4), later);
}

#[rstest]
#[case::free_slot(0, 0, 100, Some(AdmissionDecision::Start(Ticket(9))))]
#[case::too_little_time_to_run(0, 0, 9, Some(AdmissionDecision::TooLate(Ticket(9))))]
#[case::queued(2, 0, 100, None)]
#[case::too_little_time_to_queue(2, 0, 19, Some(AdmissionDecision::TooLate(Ticket(9))))]
#[case::queue_full(2, 2, 100, Some(AdmissionDecision::QueueFull(Ticket(9))))]
fn admission_depends_on_slots_queue_and_remaining_time(
    #[case] running: u64,
    #[case] waiting: u64,
    #[case] remaining_millis: u64,
    #[case] expected: Option<AdmissionDecision>,
) {
    let mut admission = Admission::new(2, 2);
    let far = START + Duration::from_secs(60);
    admission.on_arrival(START, Ticket(100), far);
    admission.on_departure(START, Ticket(100), Some(Duration::from_millis(20)));
    for ticket in 0..running + waiting {
        admission.on_arrival(START, Ticket(ticket), far);
    }
    let deadline = START + Duration::from_millis(remaining_millis);
    assert_eq!(admission.on_arrival(START, Ticket(9), deadline), expected);
}

#[test]
fn a_queued_request_past_its_deadline_never_starts() {
    let mut admission = Admission::new(1, 4);
    let soon = START + Duration::from_millis(10);
    let far = START + Duration::from_secs(60);
    assert!(admission.on_arrival(START, Ticket(1), far).is_some());
    assert!(admission.on_arrival(START, Ticket(2), soon).is_none());
    assert!(admission.on_arrival(START, Ticket(3), far).is_none());
    let left = admission.on_departure(soon, Ticket(1), Some(Duration::from_millis(10)));
    let expected = vec![
        AdmissionDecision::TooLate(Ticket(2)),
        AdmissionDecision::Start(Ticket(3)),
    ];
    assert_eq!(left, expected);
}

fn key(id: u64) -> RecordKey {
    RecordKey {
        service: "directory".parse().unwrap(),
        id: format!("booking-{id}").parse().unwrap(),
    }
}

const CONTENT: Fingerprint = Fingerprint(1);

#[test]
fn records_stay_within_limits_and_keep_ids_for_their_lifetime() {
    let mut records = Records::new(3, 100);
    for id in 0..3 {
        assert_eq!(records.begin(START, &key(id), CONTENT), BeginResult::Run);
        records.record_answer(START, &key(id), id, 40);
    }
    assert!(records.answer_bytes() <= 100);
    assert_eq!(
        records.begin(START, &key(0), CONTENT),
        BeginResult::MayHaveRun
    );
    assert_eq!(
        records.begin(START, &key(2), CONTENT),
        BeginResult::Answered(2)
    );
    assert_eq!(records.begin(START, &key(3), CONTENT), BeginResult::Full);
    assert_eq!(records.probe(START, &key(3), CONTENT), ProbeResult::Full);
    let other = Fingerprint(2);
    assert_eq!(records.begin(START, &key(2), other), BeginResult::IdReused);
    let mut now = START;
    for _ in 0..RECORD_LIFETIME.as_secs() {
        assert_eq!(records.len(), 3);
        now = now + Duration::from_secs(1);
        records.expire(now);
    }
    assert!(records.is_empty());
    assert_eq!(records.answer_bytes(), 0);
}

#[test]
fn records_do_not_age_while_the_agent_is_paused() {
    let mut records = Records::new(3, 100);
    assert_eq!(records.begin(START, &key(1), CONTENT), BeginResult::Run);
    records.record_answer(START, &key(1), 7, 8);
    let resumed = START + RECORD_LIFETIME * 2;
    assert_eq!(
        records.begin(resumed, &key(1), CONTENT),
        BeginResult::Answered(7)
    );
}
