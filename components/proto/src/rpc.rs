//! The RPC methods between the processes of the system.

use serde::{Serialize, de::DeserializeOwned};

use crate::messages;

/// An RPC method: its path and the types of its messages.
pub trait Method: 'static {
    /// The HTTP/2 path of the method, `/hemlockmoor.ROLE/NAME`.
    const PATH: &'static str;
    /// The type of the request.
    type Req: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// The type of the reply.
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

/// All methods.
pub mod methods {
    use super::messages::{
        Cancel, CancelReply, EventQuery, EventReply, Exchange, ExchangeReply, Forward,
        ForwardReply, Heartbeat, HeartbeatReply, JobQuery, JobReply, Submit, SubmitReply,
    };

    method! {
        /// An agent sends its heartbeat to an entry.
        HeartbeatCall, "/hemlockmoor.Entry/Heartbeat", Heartbeat, HeartbeatReply
    }
    method! {
        /// Two entries exchange the state of their VMs, cells and teams.
        ExchangeCall, "/hemlockmoor.Entry/Exchange", Exchange, ExchangeReply
    }
    method! {
        /// An entry submits a job to the owner of a cell.
        SubmitCall, "/hemlockmoor.Entry/Submit", Submit, SubmitReply
    }
    method! {
        /// An entry requests the owner of a cell to cancel a job.
        CancelCall, "/hemlockmoor.Entry/Cancel", Cancel, CancelReply
    }
    method! {
        /// An entry queries the jobs in the cells of another entry.
        JobsCall, "/hemlockmoor.Entry/Jobs", JobQuery, JobReply
    }
    method! {
        /// An entry queries the accounting events of another entry.
        EventsCall, "/hemlockmoor.Entry/Events", EventQuery, EventReply
    }
    method! {
        /// An entry forwards a caller's request to an agent.
        ForwardCall, "/hemlockmoor.Agent/Forward", Forward, ForwardReply
    }
}
