//! Events that the router handles and actions that it returns.

use std::net::SocketAddr;

use kernel::{AvailabilityZoneName, Cause, Incarnation, RequestId, Time, Verdict, VmName};
use serde::{Deserialize, Serialize};

/// Number of a request, unique within one entry process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// Number of an attempt within its request, starting at 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptNumber(pub u32);

/// The part of a caller's request that the router needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request at this entry, which all its events and actions carry.
    pub key: RequestKey,
    /// Id given by the caller, if any; a repeat of the request carries the same id.
    pub id: Option<RequestId>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// An endpoint of a service, with the facts that decide how the router uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// VM of the endpoint.
    pub vm: VmName,
    /// Incarnation of the VM's agent.
    pub incarnation: Incarnation,
    /// Address where the agent accepts forwarded requests.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// Number of requests that the endpoint works on at a time.
    pub slots: u32,
    /// Number of requests running at the endpoint or waiting in its queue, as last
    /// reported.
    #[serde(rename = "reported")]
    pub reported_load: u32,
    /// When `reported_load` was reported, by the clock of this entry process.
    pub reported_at: Time,
    /// Which requests the endpoint may get.
    #[serde(rename = "usable")]
    pub usability: Usability,
    /// Since when the endpoint has been usable without interruption.
    pub usable_since: Time,
    /// Until when its agent may hold records of requests that callers repeat;
    /// [`Time::MAX`] while the endpoint is usable.
    #[serde(rename = "held_until")]
    pub records_held_until: Time,
    /// Until when callers may repeat requests whose records the agent lost.
    #[serde(rename = "lost_until")]
    pub lost_records_until: Time,
    /// The agent ran none of the requests with lost records after this time; `None` if
    /// such a time is unknown.
    #[serde(rename = "lost_before")]
    pub lost_records_before: Option<Time>,
}

/// Which requests an endpoint may get, from the most to the least usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Usability {
    /// Takes requests.
    #[serde(rename = "yes")]
    Normal,
    /// Suspected to have failed; takes requests only if no other endpoint does.
    #[serde(rename = "if-alone")]
    LastResort,
    /// Takes no new requests, but its agent still answers repeats from its records.
    #[serde(rename = "for-records")]
    RecordsOnly,
    /// Removed from membership, and its records with it.
    #[serde(rename = "no")]
    Gone,
}

/// A change of a request or of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// An attempt ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// Request that the attempt belongs to.
        key: RequestKey,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The time requested by [`Action::Wake`] has come.
    Due(RequestKey),
    /// The caller disconnected.
    CallerGone(RequestKey),
    /// The set of endpoints or their load changed.
    Endpoints(Vec<Candidate>),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The complete response arrived.
    Answered {
        /// Whether the answer reports a failure of the endpoint.
        failed: bool,
        /// Requests at the endpoint and in its queue when the answer was sent.
        load: u32,
    },
    /// No byte reached the endpoint, because the queue was full or too little time remained
    /// until the deadline.
    Overloaded {
        /// Requests at the endpoint and in its queue when the refusal was sent.
        load: u32,
    },
    /// No byte reached the endpoint, because its agent is leaving or its zone is out.
    Leaving,
    /// No byte reached the endpoint, because it or its agent can't be reached.
    Unreachable,
    /// The agent has not run the request and will not run it.
    NotHere,
    /// The agent restarted and lost the records of the incarnation that was addressed.
    Restarted,
    /// The request itself is not acceptable, for example because it is too large.
    Invalid,
    /// The endpoint may have run the request, but no complete response arrived.
    Unknown,
}

/// A step that the entry must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Send an attempt and report its end by [`Event::AttemptEnded`].
    Send {
        /// Request that the attempt belongs to.
        key: RequestKey,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// VM of the chosen endpoint.
        vm: VmName,
        /// Incarnation of its agent.
        incarnation: Incarnation,
        /// Address where its agent accepts forwarded requests.
        address: SocketAddr,
        /// How the agent records the request.
        record: Recording,
    },
    /// Report [`Event::Due`] at `at`, unless a later `Wake` of the request replaces this one.
    Wake {
        /// Request to report.
        key: RequestKey,
        /// When to report it.
        at: Time,
    },
    /// Answer the caller and cancel all open attempts.
    Finish {
        /// Request that ends.
        key: RequestKey,
        /// Answer or refusal for the caller.
        result: RequestOutcome,
    },
    /// Count one request or extra attempt in accounting and metrics.
    Tally(Tally),
}

/// How an agent records a request in order to recognise repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recording {
    /// Keeps no record.
    Off,
    /// Runs and records the request; answers a repeat from the record.
    Run,
    /// Only looks up the record; if there is none, refuses the request from then on.
    Probe,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The caller gets the complete response of this attempt.
    Answer(AttemptNumber),
    /// The caller gets a refusal instead of an answer.
    #[serde(rename = "refused")]
    NoAnswer {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Reason for the refusal.
        cause: Cause,
        /// Earliest time at which the caller should retry.
        #[serde(rename = "come_back_at")]
        retry_at: Time,
    },
}

/// The outcome or extra attempt that a [`Tally`] counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TallyKind {
    /// The complete response arrived within the latency objective and the deadline.
    Good,
    /// The complete response arrived after the latency objective or the deadline.
    Late,
    /// The endpoint failed, the caller disconnected, or the request may have run but got no answer.
    Failed,
    /// The request was refused and did not run.
    Refused,
    /// The router sent another attempt after a failed one.
    Retried,
    /// The router sent another attempt in parallel with a slow one.
    Hedged,
}

/// One count for accounting and metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The outcome or extra attempt.
    pub kind: TallyKind,
    /// Cause of the outcome or of the extra attempt.
    pub cause: Cause,
    /// VM of the attempt that the count refers to, if there was one.
    pub vm: Option<VmName>,
    /// Availability zone of that VM.
    pub zone: Option<AvailabilityZoneName>,
    /// Microseconds from the request's arrival to its end; 0 for an extra attempt and for a
    /// request refused on arrival.
    pub micros: u64,
}
