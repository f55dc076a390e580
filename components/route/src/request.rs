//! What the router is told and what it decides, for each request.

use std::net::SocketAddr;

use kernel::{AvailabilityZoneName, Cause, Incarnation, RequestId, Time, Verdict, VmName};
use serde::{Deserialize, Serialize};

/// The number of a request within one entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// The number of an attempt within a request, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// A caller's request as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its number at this entry.
    pub key: RequestKey,
    /// The caller's id, if it gave one; a repeat carries the same.
    pub id: Option<RequestId>,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// An endpoint that the router may choose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmName,
    /// The life of the VM's agent.
    pub incarnation: Incarnation,
    /// Where the agent takes forwarded requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZoneName,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// Requests at the endpoint and in its queue, as last reported.
    pub reported: u32,
    /// When it reported that.
    pub reported_at: Time,
    /// How far it may be used.
    pub usable: Usable,
    /// Since when it has been usable without a break.
    pub usable_since: Time,
    /// Until when its agent may hold records of requests that come again.
    pub held_until: Time,
    /// Until when requests may come again whose records are gone.
    pub lost_until: Time,
    /// From when on none of the requests with lost records can have run;
    /// nothing if that can't be known.
    pub lost_before: Option<Time>,
}

/// How far an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Usable {
    /// Takes requests.
    Yes,
    /// Silent; takes requests if no other does.
    IfAlone,
    /// Its agent still answers for what it ran, but it takes no requests.
    ForRecords,
    /// Gone together with what it recorded.
    No,
}

/// What happened to a request or to the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request came.
    Arrived(Request),
    /// An attempt ended.
    Ended {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
    },
    /// The time asked for by [`Action::Wake`] has come.
    Due(RequestKey),
    /// The caller hung up.
    CallerGone(RequestKey),
    /// The endpoints or their loads changed.
    Endpoints(Vec<Candidate>),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer came.
    Answered {
        /// The endpoint said that it failed.
        failed: bool,
        /// Requests at the endpoint and in its queue as the answer left.
        load: u32,
    },
    /// The endpoint saw no byte, because there was no room or no time.
    Overloaded {
        /// Requests at the endpoint and in its queue as the refusal left.
        load: u32,
    },
    /// The endpoint saw no byte, because its agent is leaving or out.
    Leaving,
    /// The endpoint saw no byte, because it or its agent can't be reached.
    Unreachable,
    /// A probe found nothing; the request will not run there.
    NotHere,
    /// The agent is another life than the one asked, without its records.
    Restarted,
    /// The request itself can't be served.
    Invalid,
    /// The endpoint may have run it, but there is no whole answer.
    Unknown,
}

/// What the entry has to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Send an attempt and report how it [`Event::Ended`].
    Send {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// The chosen endpoint's VM.
        vm: VmName,
        /// The life of its agent.
        incarnation: Incarnation,
        /// Where its agent listens.
        address: SocketAddr,
        /// What the agent does about repeats.
        record: Recording,
    },
    /// Report [`Event::Due`] at this time, unless a later wake replaces it.
    Wake {
        /// The request.
        key: RequestKey,
        /// When.
        at: Time,
    },
    /// Answer the caller and drop what is still under way.
    Finish {
        /// The request.
        key: RequestKey,
        /// With what.
        result: Final,
    },
    /// Add to the accounts.
    Tally(Tally),
}

/// What an agent does about repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recording {
    /// Nothing.
    Off,
    /// Records it and answers a repeat from the record.
    Run,
    /// Only looks it up, and refuses it from then on.
    Probe,
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Final {
    /// The whole answer of this attempt.
    Answer(Attempt),
    /// No answer.
    Refused {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        cause: Cause,
        /// When a new try makes sense.
        come_back_at: Time,
    },
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TallyKind {
    /// Answered whole within the objective.
    Good,
    /// Answered whole after the objective.
    Late,
    /// Ended without an answer and may have run.
    Failed,
    /// Refused and not run.
    Refused,
    /// An attempt after a failed one.
    Retried,
    /// An attempt beside a slow one.
    Hedged,
}

/// One thing to count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// What.
    pub kind: TallyKind,
    /// Why.
    pub cause: Cause,
    /// The VM of the attempt that decided it, if one did.
    pub vm: Option<VmName>,
    /// Its availability zone.
    pub zone: Option<AvailabilityZoneName>,
    /// Wall time spent on it, in microseconds.
    pub micros: u64,
}
