//! The operators' HTTP interface of an entry, on a separate port.
//!
//! Each submodule handles one group of paths and adds its routes here. Every request
//! carries one of the operators' secrets. Every response carries the verdict as a
//! header, and an error response has a [`Failure`] as its body. See
//! `docs/OPERATIONS.md`.

/// Registers an asynchronous function as the handler of a path.
macro_rules! route {
    ($router:expr, $method:ident, $path:literal, $cx:expr, $handler:path) => {{
        let cx = Arc::clone($cx);
        $router.$method($path, move |mut conn: Conn| {
            let cx = Arc::clone(&cx);
            async move {
                match $handler(&cx, &mut conn).await {
                    Ok(value) => write_success(conn, &value),
                    Err((status, failure)) => write_failure(conn, status, &failure),
                }
            }
        })
    }};
}

mod jobs;
mod objects;
pub mod reply;
mod reports;
mod submit;

use std::sync::Arc;

use kernel::{AvailabilityZoneName, Clock, Revision, Verdict, VmName, secret::Secrets};
use serde::{Deserialize, Serialize};
use store::Store;
use trillium::{Conn, Handler, Status};

pub use jobs::JobsContext;
pub use objects::{ApplyRequest, CheckRequest, DiffReply, EditRequest, ObjectsReply};
pub use reply::Failure;
pub use reports::AccountsSource;
pub use submit::{FromTemplate, SubmitRequest};

use crate::config::ConfigFollower;

/// The revision in force at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRevision {
    /// Name of the entry or VM.
    pub name: String,
    /// The revision in force there.
    pub revision: Revision,
}

/// The revisions in force at this entry and at all live processes known to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// The revision in force at this entry.
    pub here: Revision,
    /// The revision in force at every entry.
    pub entries: Vec<ProcessRevision>,
    /// The revision in force at every VM.
    pub vms: Vec<ProcessRevision>,
}

/// Returns the revisions in force.
pub type RevisionsSource = Box<dyn Fn() -> Revisions + Send + Sync>;
/// Returns the availability zone of a VM, `None` for one that has not announced itself.
pub type ZoneLookup = Box<dyn Fn(&VmName) -> Option<AvailabilityZoneName> + Send + Sync>;

/// Dependencies of the handlers of operators' requests.
pub struct Context {
    /// The operators' secrets.
    pub secrets: Secrets,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The entry's clock.
    pub clock: Clock,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The configuration in force.
    pub config: Arc<ConfigFollower>,
    /// Returns the revisions in force at all live processes.
    pub revisions: RevisionsSource,
    /// Returns the availability zone of a VM.
    pub zone_of: ZoneLookup,
    /// Gathers the accounts of all entries and cells.
    pub accounts: AccountsSource,
    /// Access to the jobs of all cells; `None` at an entry that can't own cells.
    pub jobs: Option<Arc<JobsContext>>,
}

/// Returns the handler of operators' requests.
#[must_use]
pub fn handler(cx: Context) -> impl Handler {
    let cx = Arc::new(cx);
    (
        Authorise(Arc::clone(&cx)),
        reports::routes(&cx),
        jobs::routes(&cx),
        objects::routes(cx),
        |conn: Conn| async move { not_found(conn) },
    )
}

/// Rejects requests without a valid secret.
struct Authorise(Arc<Context>);

impl Handler for Authorise {
    async fn run(&self, conn: Conn) -> Conn {
        let header = conn.request_headers().get_str("authorization");
        if self.0.secrets.accepts(header) {
            return conn;
        }
        let failure = Failure::new(Verdict::NotRun, "the secret is missing or wrong");
        reply::write_failure(conn, Status::Unauthorized, &failure)
    }
}

fn not_found(conn: Conn) -> Conn {
    if conn.status().is_some() {
        return conn;
    }
    let message = format!("there is no {} {}", conn.method(), conn.path());
    let failure = Failure::new(Verdict::NotRun, message);
    reply::write_failure(conn, Status::NotFound, &failure)
}
