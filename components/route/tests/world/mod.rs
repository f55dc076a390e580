//! Simulated entries and agents in virtual time, with the messages between them.

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    AvailabilityZoneName, EndpointInfo, Incarnation, ObjectSet, RequestId, Resources, Revision,
    Time, Verdict, VmInfo, VmName,
    object::{AvailabilityZone, Limit, ZoneState},
};
use proptest::sample::Index;
use route::{
    Action, AttemptNumber, AttemptOutcome, CandidateTracker, Event, Members, Policy, Request,
    RequestKey, RequestOutcome, Router, VmHeartbeat,
    record::{
        BeginResult, Fingerprint, ProbeResult, RECORD_LIFETIME, REPEAT_WINDOW, RecordKey, Records,
    },
    request::Recording,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum delay of a message; a later one is lost.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(240);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const SERVICE: &str = "directory";
/// Number of bookings with an id that callers submit or repeat at a time.
pub(crate) const BOOKING_SLOTS: usize = 3;
const START: Time = Time::from_secs(1_700_000_000);

#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// A caller submits or repeats the booking in a slot; the slot after the last one
    /// stands for bookings without an id.
    Submit {
        slot: usize,
        entry: usize,
    },
    /// All messages reach their agents and all running bookings end.
    DeliverAll,
    /// A message reaches its agent.
    Deliver(Index),
    /// A running booking ends and its answer reaches the entry.
    Complete(Index),
    /// A running booking ends and its answer is lost.
    CompleteAndLoseAnswer(Index),
    /// The entry loses the connection on which it sent a message.
    BreakConnection(Index),
    /// A caller disconnects.
    DisconnectCaller(Index),
    /// Time passes, in milliseconds.
    Advance(u64),
    /// Time passes, in seconds; all heartbeats and configuration changes arrive.
    AdvanceConnected(u64),
    Heartbeat {
        agent: usize,
        entry: usize,
    },
    /// The entry sends its membership updates to all others.
    Exchange(usize),
    /// The first agent, still unknown to all entries, starts to send heartbeats.
    Join,
    Restart(usize),
    Leave(usize),
    /// Operators take the agent's zone out or bring it back.
    ToggleZone(usize),
    AdoptConfig(usize),
}

struct Agent {
    vm: VmName,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    /// Whether the agent sends heartbeats.
    joined: bool,
    records: Records<u64>,
}

struct Entry {
    members: Members,
    tracker: CandidateTracker,
    router: Router,
    revision: u64,
    objects: ObjectSet,
}

#[derive(Clone, Debug)]
struct Message {
    entry: usize,
    agent: usize,
    key: RequestKey,
    attempt: AttemptNumber,
    incarnation: Incarnation,
    recording: Recording,
    sent_at: Time,
}

/// One booking of a caller, whatever the number of submissions.
struct Booking {
    id: Option<RequestId>,
    first_submitted_at: Time,
    runs: Vec<u64>,
}

struct Submission {
    booking: usize,
    entry: usize,
    wake_at: Time,
    results: Vec<RequestOutcome>,
    caller_gone: bool,
    runs: u32,
    answers: BTreeMap<AttemptNumber, u64>,
}

pub(crate) struct World {
    now: Time,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    bookings: Vec<Booking>,
    /// Index of the booking in each slot.
    slots: [Option<usize>; BOOKING_SLOTS],
    with_uuids: bool,
    submitted: BTreeMap<RequestKey, Submission>,
    messages: Vec<Message>,
    running: Vec<(Message, u64)>,
    revision: u64,
    zones_out: Vec<bool>,
}

fn service() -> kernel::ServiceName {
    SERVICE.parse().unwrap()
}

fn zone(agent: usize) -> AvailabilityZoneName {
    format!("zone-{agent}").parse().unwrap()
}

fn objects(zones_out: &[bool]) -> ObjectSet {
    let mut objects = ObjectSet::default();
    for (agent, out) in zones_out.iter().enumerate() {
        let object = AvailabilityZone {
            state: if *out { ZoneState::Out } else { ZoneState::In },
            ..AvailabilityZone::default()
        };
        objects.zones.insert(zone(agent), object);
    }
    objects
}

fn uuid_v7(now: Time, number: usize) -> RequestId {
    let millis = now.as_millis();
    let (high, low) = (millis >> 16, millis & 0xffff);
    let text = format!("{high:08x}-{low:04x}-7000-8000-{number:012x}");
    text.parse().unwrap()
}

impl World {
    pub(crate) fn new(agents: usize, entries: usize, with_uuids: bool, established: bool) -> Self {
        let policy = Policy {
            limit: Limit {
                retry_percent: 100,
                ..Limit::default()
            },
            objective: REQUEST_TIMEOUT,
        };
        let mut world = Self {
            now: START,
            agents: Vec::new(),
            entries: Vec::new(),
            bookings: Vec::new(),
            slots: [None; BOOKING_SLOTS],
            with_uuids,
            submitted: BTreeMap::new(),
            messages: Vec::new(),
            running: Vec::new(),
            revision: 1,
            zones_out: vec![false; agents],
        };
        for number in 0..agents {
            world.agents.push(Agent {
                vm: format!("vm-{number}").parse().unwrap(),
                incarnation: Incarnation(1),
                sequence: 0,
                leaving: false,
                joined: true,
                records: Records::default(),
            });
        }
        for number in 0..entries {
            world.entries.push(Entry {
                members: Members::new(),
                tracker: CandidateTracker::new(service()),
                router: Router::new(policy.clone(), number as u64),
                revision: 1,
                objects: objects(&world.zones_out),
            });
        }
        world.agents[0].joined = false;
        world.heartbeats();
        if established {
            world.now = world.now + RECORD_LIFETIME;
        }
        world.heartbeats();
        world
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Submit { slot, entry } => self.submit(slot, entry),
            Op::DeliverAll => self.deliver_all(),
            Op::Deliver(index) => {
                if let Some(message) = take_at(&mut self.messages, index) {
                    self.deliver(message);
                }
            }
            Op::Complete(index) => self.complete_one(index, true),
            Op::CompleteAndLoseAnswer(index) => self.complete_one(index, false),
            Op::BreakConnection(index) => {
                if !self.messages.is_empty() {
                    let message = index.get(&self.messages).clone();
                    self.reply(&message, AttemptOutcome::Unknown);
                }
            }
            Op::DisconnectCaller(index) => self.disconnect_caller(index),
            Op::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Op::AdvanceConnected(secs) => self.advance_connected(secs),
            Op::Heartbeat { agent, entry } => self.heartbeat(agent, entry),
            Op::Exchange(entry) => self.exchange(entry),
            Op::Join => self.agents[0].joined = true,
            Op::Restart(agent) => self.restart(agent),
            Op::Leave(agent) => self.agents[agent].leaving = true,
            Op::ToggleZone(agent) => {
                self.zones_out[agent] = !self.zones_out[agent];
                self.revision += 1;
            }
            Op::AdoptConfig(entry) => self.adopt_config(entry),
        }
    }

    /// Advances until all requests have ended, and checks that each ended exactly once.
    pub(crate) fn finish(&mut self) {
        self.advance(REQUEST_TIMEOUT * 2);
        for (key, submitted) in &self.submitted {
            let ends = submitted.results.len() + usize::from(submitted.caller_gone);
            assert_eq!(ends, 1, "request {key:?} ended {ends} times");
        }
        for entry in &self.entries {
            assert_eq!(entry.router.in_flight(), 0);
            for agent in &self.agents {
                let known = entry.router.endpoints().get(&agent.vm);
                assert!(known.is_none_or(|known| known.in_flight == 0));
            }
        }
    }

    /// Asserts the invariants that hold at any time.
    pub(crate) fn check_invariants(&self) {
        for booking in &self.bookings {
            let runs = booking.runs.len();
            assert!(runs <= 1, "booking {:?} ran {runs} times", booking.id);
        }
        for (key, submitted) in &self.submitted {
            assert!(submitted.results.len() <= 1);
            for result in &submitted.results {
                self.check_result(*key, submitted, *result);
            }
        }
    }

    fn check_result(&self, key: RequestKey, submitted: &Submission, result: RequestOutcome) {
        match result {
            RequestOutcome::Answer(attempt) => {
                let answer = submitted.answers.get(&attempt);
                let ran = self.bookings[submitted.booking].runs.first();
                assert_eq!(answer, ran, "request {key:?} got an answer of another run");
            }
            RequestOutcome::NoAnswer {
                verdict, retry_at, ..
            } => {
                assert!(retry_at > START);
                if verdict == Verdict::NotRun {
                    assert_eq!(
                        submitted.runs, 0,
                        "request {key:?} ran although the verdict is that it did not"
                    );
                }
            }
        }
    }

    /// Returns the booking in `slot`; a new one once the time for repeats is over.
    fn booking(&mut self, slot: usize) -> usize {
        let current = self.slots.get(slot).copied().flatten();
        if let Some(booking) = current
            && self.now.since(self.bookings[booking].first_submitted_at) <= REPEAT_WINDOW
        {
            return booking;
        }
        let number = self.bookings.len();
        let id = match (slot < BOOKING_SLOTS, self.with_uuids) {
            (false, _) => None,
            (true, true) => Some(uuid_v7(self.now, number)),
            (true, false) => Some(format!("booking-{number}").parse().unwrap()),
        };
        self.bookings.push(Booking {
            id,
            first_submitted_at: self.now,
            runs: Vec::new(),
        });
        if let Some(held) = self.slots.get_mut(slot) {
            *held = Some(number);
        }
        number
    }

    fn record_key(&self, booking: usize) -> RecordKey {
        let id = self.bookings[booking].id.clone();
        RecordKey {
            service: service(),
            id: id.unwrap(),
        }
    }

    fn submit(&mut self, slot: usize, entry: usize) {
        let booking = self.booking(slot);
        let key = RequestKey(self.submitted.len() as u64);
        let submitted = Submission {
            booking,
            entry,
            wake_at: Time::MAX,
            results: Vec::new(),
            caller_gone: false,
            runs: 0,
            answers: BTreeMap::new(),
        };
        self.submitted.insert(key, submitted);
        let request = Request {
            key,
            id: self.bookings[booking].id.clone(),
            idempotent: false,
            deadline: self.now + REQUEST_TIMEOUT,
        };
        self.handle(entry, Event::Arrived(request));
    }

    fn handle(&mut self, entry: usize, event: Event) {
        self.refresh(entry);
        let actions = self.entries[entry].router.handle(self.now, event);
        for action in actions {
            match action {
                Action::Send {
                    key,
                    attempt,
                    vm,
                    incarnation,
                    record,
                    ..
                } => {
                    let agent = self.agents.iter().position(|agent| agent.vm == vm).unwrap();
                    self.messages.push(Message {
                        entry,
                        agent,
                        key,
                        attempt,
                        incarnation,
                        recording: record,
                        sent_at: self.now,
                    });
                }
                Action::Wake { key, at } => self.submitted.get_mut(&key).unwrap().wake_at = at,
                Action::Finish { key, result } => {
                    let submitted = self.submitted.get_mut(&key).unwrap();
                    submitted.results.push(result);
                    submitted.wake_at = Time::MAX;
                }
                Action::Tally(_) => {}
            }
        }
    }

    fn refresh(&mut self, entry: usize) {
        let now = self.now;
        let entry = &mut self.entries[entry];
        let revision = Revision(entry.revision);
        let candidates = entry
            .tracker
            .update(now, &entry.members, &entry.objects, revision);
        entry.router.handle(now, Event::Endpoints(candidates));
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        if now.since(message.sent_at) > MAX_MESSAGE_DELAY {
            return;
        }
        let booking = self.submitted[&message.key].booking;
        if message.recording == Recording::Off {
            return self.run(message);
        }
        let key = self.record_key(booking);
        let agent = &mut self.agents[message.agent];
        if message.incarnation != agent.incarnation {
            return self.reply(&message, AttemptOutcome::Restarted);
        }
        let content = Fingerprint(booking as u64);
        if message.recording == Recording::Probe {
            let probed = agent.records.probe(now, &key, content);
            return self.reply_probe(&message, probed);
        }
        match agent.records.begin(now, &key, content) {
            BeginResult::Run if agent.leaving => {
                agent.records.release(&key);
                self.run(message);
            }
            BeginResult::Run => self.run(message),
            BeginResult::Answered(answer) => self.reply_answer(&message, answer),
            BeginResult::MayHaveRun => self.reply(&message, AttemptOutcome::Unknown),
            BeginResult::Fenced => self.reply(&message, AttemptOutcome::NotHere),
            BeginResult::IdReused => self.reply(&message, AttemptOutcome::Invalid),
            BeginResult::Full => self.reply(&message, AttemptOutcome::Overloaded { load: 0 }),
        }
    }

    /// Runs the request, unless its agent is leaving and declines it.
    fn run(&mut self, message: Message) {
        let agent = &self.agents[message.agent];
        if agent.leaving {
            let (vm, incarnation) = (agent.vm.clone(), agent.incarnation);
            let members = &mut self.entries[message.entry].members;
            members.on_leaving(&vm, incarnation);
            return self.reply(&message, AttemptOutcome::Leaving);
        }
        let answer = message.key.0 * 100 + u64::from(message.attempt.0);
        let submitted = self.submitted.get_mut(&message.key).unwrap();
        submitted.runs += 1;
        self.bookings[submitted.booking].runs.push(answer);
        self.running.push((message, answer));
    }

    fn deliver_all(&mut self) {
        while let Some(message) = self.messages.pop() {
            self.deliver(message);
            while let Some((message, answer)) = self.running.pop() {
                self.complete(message, answer, true);
            }
        }
    }

    fn reply_probe(&mut self, msg: &Message, probed: ProbeResult<u64>) {
        match probed {
            ProbeResult::Answered(answer) => self.reply_answer(msg, answer),
            ProbeResult::NotHere => self.reply(msg, AttemptOutcome::NotHere),
            ProbeResult::IdReused => self.reply(msg, AttemptOutcome::Invalid),
            ProbeResult::MayHaveRun | ProbeResult::Full => self.reply(msg, AttemptOutcome::Unknown),
        }
    }

    fn complete_one(&mut self, index: Index, answer_arrives: bool) {
        if let Some((message, answer)) = take_at(&mut self.running, index) {
            self.complete(message, answer, answer_arrives);
        }
    }

    fn complete(&mut self, message: Message, answer: u64, answer_arrives: bool) {
        let booking = self.submitted[&message.key].booking;
        if message.recording == Recording::Run {
            let key = self.record_key(booking);
            let agent = &mut self.agents[message.agent];
            if message.incarnation != agent.incarnation {
                return;
            }
            agent.records.record_answer(self.now, &key, answer, 8);
        }
        if answer_arrives {
            self.reply_answer(&message, answer);
        }
    }

    fn reply_answer(&mut self, message: &Message, answer: u64) {
        let submitted = self.submitted.get_mut(&message.key).unwrap();
        submitted.answers.insert(message.attempt, answer);
        let outcome = AttemptOutcome::Answered {
            failed: false,
            load: 0,
        };
        self.reply(message, outcome);
    }

    fn reply(&mut self, message: &Message, outcome: AttemptOutcome) {
        let event = Event::AttemptEnded {
            key: message.key,
            attempt: message.attempt,
            outcome,
        };
        self.handle(message.entry, event);
    }

    fn disconnect_caller(&mut self, index: Index) {
        let open: Vec<RequestKey> = self
            .submitted
            .iter()
            .filter(|(_, submitted)| submitted.results.is_empty() && !submitted.caller_gone)
            .map(|(key, _)| *key)
            .collect();
        if open.is_empty() {
            return;
        }
        let key = *index.get(&open);
        let submitted = self.submitted.get_mut(&key).unwrap();
        submitted.caller_gone = true;
        submitted.wake_at = Time::MAX;
        let entry = submitted.entry;
        self.handle(entry, Event::CallerGone(key));
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let due = self
                .submitted
                .iter()
                .min_by_key(|(_, submitted)| submitted.wake_at);
            let Some((key, submitted)) = due else {
                break;
            };
            if submitted.wake_at > until {
                break;
            }
            let (key, entry) = (*key, submitted.entry);
            self.now = submitted.wake_at.max(self.now);
            self.submitted.get_mut(&key).unwrap().wake_at = Time::MAX;
            self.handle(entry, Event::Due(key));
        }
        self.now = until;
        for entry in 0..self.entries.len() {
            self.entries[entry].members.tick(until);
            self.refresh(entry);
        }
    }

    fn advance_connected(&mut self, secs: u64) {
        for _ in 0..secs {
            self.advance(HEARTBEAT_INTERVAL);
            for agent in &mut self.agents {
                agent.records.expire(self.now);
            }
            self.heartbeats();
            for entry in 0..self.entries.len() {
                self.adopt_config(entry);
            }
        }
    }

    fn heartbeats(&mut self) {
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                self.heartbeat(agent, entry);
            }
        }
    }

    fn heartbeat(&mut self, agent: usize, entry: usize) {
        let zone = zone(agent);
        let agent = &mut self.agents[agent];
        if !agent.joined {
            return;
        }
        agent.sequence += 1;
        let info = VmInfo {
            vm: agent.vm.clone(),
            incarnation: agent.incarnation,
            zone,
            rack: "rack-1".parse().unwrap(),
            cell: "cell-1".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            capacity: Resources::NONE,
            endpoints: vec![EndpointInfo {
                service: service(),
                slots: 8,
                connections: 64,
            }],
        };
        let beat = VmHeartbeat {
            vm: agent.vm.clone(),
            incarnation: agent.incarnation,
            sequence: agent.sequence,
            info: Some(info),
            leaving: agent.leaving,
            revision: Revision(1),
            load: Vec::new(),
        };
        self.entries[entry].members.on_heartbeat(self.now, beat);
        self.refresh(entry);
    }

    fn exchange(&mut self, from: usize) {
        let changes = self.entries[from].members.changes_since(0);
        let name = format!("entry-{from}").parse().unwrap();
        for entry in 0..self.entries.len() {
            if entry == from {
                continue;
            }
            let members = &mut self.entries[entry].members;
            members.on_exchange(self.now, &name, changes.vms.clone());
            self.refresh(entry);
        }
    }

    fn restart(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.incarnation.0 += 1;
        agent.sequence = 0;
        agent.leaving = false;
        agent.records = Records::default();
    }

    fn adopt_config(&mut self, entry: usize) {
        let objects = objects(&self.zones_out);
        let adopted = &mut self.entries[entry];
        adopted.revision = self.revision;
        adopted.objects = objects;
        self.refresh(entry);
    }
}

fn take_at<T>(list: &mut Vec<T>, index: Index) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    let at = index.index(list.len());
    Some(list.remove(at))
}
