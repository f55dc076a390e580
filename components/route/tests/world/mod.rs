//! Entries and agents in virtual time, with the messages between them.

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

const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest time that a message may be on its way.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(240);
const HEARTBEAT: Duration = Duration::from_secs(1);
const SERVICE: &str = "directory";
/// Bookings with an id that are under way at a time.
pub(crate) const IDS: usize = 3;
const START: Time = Time::from_secs(1_700_000_000);

#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// A caller sends or repeats the booking in a slot; the slot after the last
    /// one stands for bookings without an id.
    Submit {
        slot: usize,
        entry: usize,
    },
    /// All messages arrive and all that runs ends.
    Flow,
    /// A message reaches its agent.
    Deliver(Index),
    /// A running booking ends and its answer reaches the entry.
    Complete(Index),
    /// A running booking ends and its answer is lost.
    CompleteSilently(Index),
    /// The connection under a message breaks for the entry.
    Break(Index),
    /// A caller hangs up.
    CallerGone(Index),
    /// Milliseconds pass.
    Advance(u64),
    /// Seconds pass in which every message arrives.
    Settle(u64),
    Heartbeat {
        agent: usize,
        entry: usize,
    },
    /// The entry tells all others what it hears.
    Exchange(usize),
    /// The first agent, which nobody knew of, begins to announce itself.
    Join,
    Restart(usize),
    Leave(usize),
    /// Operators take the agent's zone out or bring it back.
    FlipZone(usize),
    AdoptConfig(usize),
}

struct Agent {
    vm: VmName,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    /// Whether it has announced itself to anybody.
    joined: bool,
    records: Records<u64>,
}

struct Entry {
    members: Members,
    roster: CandidateTracker,
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

/// One booking of a caller, however often it is sent.
struct Booking {
    id: Option<RequestId>,
    first_try: Time,
    runs: Vec<u64>,
}

struct Submitted {
    booking: usize,
    entry: usize,
    wake_at: Time,
    finals: Vec<RequestOutcome>,
    gone: bool,
    runs: u32,
    answers: BTreeMap<AttemptNumber, u64>,
}

pub(crate) struct World {
    now: Time,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    bookings: Vec<Booking>,
    /// The booking that each slot holds.
    slots: [Option<usize>; IDS],
    timed: bool,
    submitted: BTreeMap<RequestKey, Submitted>,
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

fn uuid_of(now: Time, number: usize) -> RequestId {
    let millis = now.as_millis();
    let (high, low) = (millis >> 16, millis & 0xffff);
    let text = format!("{high:08x}-{low:04x}-7000-8000-{number:012x}");
    text.parse().unwrap()
}

impl World {
    pub(crate) fn new(agents: usize, entries: usize, timed: bool, mature: bool) -> Self {
        let policy = Policy {
            limit: Limit {
                retry_percent: 100,
                ..Limit::default()
            },
            objective: TIMEOUT,
        };
        let mut world = Self {
            now: START,
            agents: Vec::new(),
            entries: Vec::new(),
            bookings: Vec::new(),
            slots: [None; IDS],
            timed,
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
                roster: CandidateTracker::new(service()),
                router: Router::new(policy.clone(), number as u64),
                revision: 1,
                objects: objects(&world.zones_out),
            });
        }
        world.agents[0].joined = false;
        world.heartbeats();
        if mature {
            world.now = world.now + RECORD_LIFETIME;
        }
        world.heartbeats();
        world
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Submit { slot, entry } => self.submit(slot, entry),
            Op::Flow => self.flow(),
            Op::Deliver(index) => {
                if let Some(message) = take(&mut self.messages, index) {
                    self.deliver(message);
                }
            }
            Op::Complete(index) => self.complete_one(index, true),
            Op::CompleteSilently(index) => self.complete_one(index, false),
            Op::Break(index) => {
                if !self.messages.is_empty() {
                    let message = index.get(&self.messages).clone();
                    self.reply(&message, AttemptOutcome::Unknown);
                }
            }
            Op::CallerGone(index) => self.hang_up(index),
            Op::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Op::Settle(secs) => self.settle(secs),
            Op::Heartbeat { agent, entry } => self.heartbeat(agent, entry),
            Op::Exchange(entry) => self.exchange(entry),
            Op::Join => self.agents[0].joined = true,
            Op::Restart(agent) => self.restart(agent),
            Op::Leave(agent) => self.agents[agent].leaving = true,
            Op::FlipZone(agent) => {
                self.zones_out[agent] = !self.zones_out[agent];
                self.revision += 1;
            }
            Op::AdoptConfig(entry) => self.adopt(entry),
        }
    }

    /// Lets all requests end.
    pub(crate) fn end(&mut self) {
        self.advance(TIMEOUT * 2);
        for (key, submitted) in &self.submitted {
            let ends = submitted.finals.len() + usize::from(submitted.gone);
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

    /// Asserts what must hold at any time.
    pub(crate) fn check(&self) {
        for booking in &self.bookings {
            let runs = booking.runs.len();
            assert!(runs <= 1, "booking {:?} ran {runs} times", booking.id);
        }
        for (key, submitted) in &self.submitted {
            assert!(submitted.finals.len() <= 1);
            for result in &submitted.finals {
                self.check_final(*key, submitted, *result);
            }
        }
    }

    fn check_final(&self, key: RequestKey, submitted: &Submitted, result: RequestOutcome) {
        match result {
            RequestOutcome::Answer(attempt) => {
                let answer = submitted.answers.get(&attempt);
                let ran = self.bookings[submitted.booking].runs.first();
                assert_eq!(answer, ran, "request {key:?} got another answer");
            }
            RequestOutcome::NoAnswer {
                verdict, retry_at, ..
            } => {
                assert!(retry_at > START);
                if verdict == Verdict::NotRun {
                    assert_eq!(submitted.runs, 0, "request {key:?} ran though refused");
                }
            }
        }
    }

    /// The booking in `slot`; a new one if the time for its repeats is over.
    fn booking(&mut self, slot: usize) -> usize {
        let current = self.slots.get(slot).copied().flatten();
        if let Some(booking) = current
            && self.now.since(self.bookings[booking].first_try) <= REPEAT_WINDOW
        {
            return booking;
        }
        let number = self.bookings.len();
        let id = match (slot < IDS, self.timed) {
            (false, _) => None,
            (true, true) => Some(uuid_of(self.now, number)),
            (true, false) => Some(format!("booking-{number}").parse().unwrap()),
        };
        self.bookings.push(Booking {
            id,
            first_try: self.now,
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
        let submitted = Submitted {
            booking,
            entry,
            wake_at: Time::MAX,
            finals: Vec::new(),
            gone: false,
            runs: 0,
            answers: BTreeMap::new(),
        };
        self.submitted.insert(key, submitted);
        let request = Request {
            key,
            id: self.bookings[booking].id.clone(),
            idempotent: false,
            deadline: self.now + TIMEOUT,
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
                    submitted.finals.push(result);
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
            .roster
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

    /// Runs the request unless its agent is leaving.
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

    fn flow(&mut self) {
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

    fn complete_one(&mut self, index: Index, reaches_entry: bool) {
        if let Some((message, answer)) = take(&mut self.running, index) {
            self.complete(message, answer, reaches_entry);
        }
    }

    fn complete(&mut self, message: Message, answer: u64, reaches_entry: bool) {
        let booking = self.submitted[&message.key].booking;
        if message.recording == Recording::Run {
            let key = self.record_key(booking);
            let agent = &mut self.agents[message.agent];
            if message.incarnation != agent.incarnation {
                return;
            }
            agent.records.record_answer(self.now, &key, answer, 8);
        }
        if reaches_entry {
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

    fn hang_up(&mut self, index: Index) {
        let open: Vec<RequestKey> = self
            .submitted
            .iter()
            .filter(|(_, submitted)| submitted.finals.is_empty() && !submitted.gone)
            .map(|(key, _)| *key)
            .collect();
        if open.is_empty() {
            return;
        }
        let key = *index.get(&open);
        let submitted = self.submitted.get_mut(&key).unwrap();
        submitted.gone = true;
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

    fn settle(&mut self, secs: u64) {
        for _ in 0..secs {
            self.advance(HEARTBEAT);
            for agent in &mut self.agents {
                agent.records.expire(self.now);
            }
            self.heartbeats();
            for entry in 0..self.entries.len() {
                self.adopt(entry);
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
        let facts = VmHeartbeat {
            vm: agent.vm.clone(),
            incarnation: agent.incarnation,
            sequence: agent.sequence,
            info: Some(info),
            leaving: agent.leaving,
            revision: Revision(1),
            load: Vec::new(),
        };
        self.entries[entry].members.on_heartbeat(self.now, facts);
        self.refresh(entry);
    }

    fn exchange(&mut self, from: usize) {
        let told = self.entries[from].members.changes_since(0);
        let name = format!("entry-{from}").parse().unwrap();
        for entry in 0..self.entries.len() {
            if entry == from {
                continue;
            }
            let members = &mut self.entries[entry].members;
            members.on_exchange(self.now, &name, told.vms.clone());
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

    fn adopt(&mut self, entry: usize) {
        let objects = objects(&self.zones_out);
        let adopted = &mut self.entries[entry];
        adopted.revision = self.revision;
        adopted.objects = objects;
        self.refresh(entry);
    }
}

fn take<T>(list: &mut Vec<T>, index: Index) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    let at = index.index(list.len());
    Some(list.remove(at))
}
