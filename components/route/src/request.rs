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
pub struct AttemptNumber(pub u32);

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
    #[serde(rename = "reported")]
    pub reported_load: u32,
    /// When it reported that.
    pub reported_at: Time,
    /// How far it may be used.
    #[serde(rename = "usable")]
    pub usability: Usability,
    /// Since when it has been usable without a break.
    pub usable_since: Time,
    /// Until when its agent may hold records of requests that come again.
    #[serde(rename = "held_until")]
    pub records_held_until: Time,
    /// Until when requests may come again whose records are gone.
    #[serde(rename = "lost_until")]
    pub lost_records_until: Time,
    /// From when on none of the requests with lost records can have run;
    /// nothing if that can't be known.
    #[serde(rename = "lost_before")]
    pub lost_records_before: Option<Time>,
}

/// How far an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Usability {
    /// Takes requests.
    #[serde(rename = "yes")]
    Normal,
    /// Silent; takes requests if no other does.
    #[serde(rename = "if-alone")]
    LastResort,
    /// Its agent still answers for what it ran, but it takes no requests.
    #[serde(rename = "for-records")]
    RecordsOnly,
    /// Gone together with what it recorded.
    #[serde(rename = "no")]
    Gone,
}

/// What happened to a request or to the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request came.
    Arrived(Request),
    /// An attempt ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: AttemptOutcome,
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
pub enum AttemptOutcome {
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
    /// Send an attempt and report how it [`Event::AttemptEnded`].
    Send {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: AttemptNumber,
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
        result: RequestOutcome,
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
pub enum RequestOutcome {
    /// The whole answer of this attempt.
    Answer(AttemptNumber),
    /// No answer.
    #[serde(rename = "refused")]
    NoAnswer {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        cause: Cause,
        /// When a new try makes sense.
        #[serde(rename = "come_back_at")]
        retry_at: Time,
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
