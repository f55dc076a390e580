//! The calls between our own processes, by name and type.

use serde::{Serialize, de::DeserializeOwned};

use crate::messages;

/// One call: its path and the types of its messages.
pub trait Method: 'static {
    /// The path of the call, `/hemlockmoor.ROLE/NAME`.
    const PATH: &'static str;
    /// What is asked.
    type Req: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// What is answered.
    type Resp: Serialize + DeserializeOwned + Send + Sync + 'static;
}

macro_rules! method {
    ($(#[$doc:meta])* $name:ident, $path:literal, $req:ty, $resp:ty) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name;

        impl super::Method for $name {
            const PATH: &'static str = $path;
            type Req = $req;
            type Resp = $resp;
        }
    };
}

/// The calls that exist.
pub mod methods {
    use super::messages::{
        Cancel, CancelReply, EventQuery, EventReply, Exchange, ExchangeReply, Forward,
        ForwardReply, Heartbeat, HeartbeatReply, JobQuery, JobReply, Submit, SubmitReply,
    };

    method! {
        /// An agent tells an entry that it lives and what it does.
        HeartbeatCall, "/hemlockmoor.Entry/Heartbeat", Heartbeat, HeartbeatReply
    }
    method! {
        /// Entries tell one another what they know of endpoints and cells.
        ExchangeCall, "/hemlockmoor.Entry/Exchange", Exchange, ExchangeReply
    }
    method! {
        /// An entry hands a job to the owner of a cell.
        SubmitCall, "/hemlockmoor.Entry/Submit", Submit, SubmitReply
    }
    method! {
        /// An entry asks the owner of a cell to cancel a job.
        CancelCall, "/hemlockmoor.Entry/Cancel", Cancel, CancelReply
    }
    method! {
        /// An entry asks another one for the jobs in its cells.
        JobsCall, "/hemlockmoor.Entry/Jobs", JobQuery, JobReply
    }
    method! {
        /// An entry asks another one for its accounting events.
        EventsCall, "/hemlockmoor.Entry/Events", EventQuery, EventReply
    }
    method! {
        /// An entry forwards a caller's request to an agent.
        ForwardCall, "/hemlockmoor.Agent/Forward", Forward, ForwardReply
    }
}
