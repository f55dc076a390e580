//! What operators ask of an entry, on a port of their own.
//!
//! Each file answers one group of paths and adds its routes here. Every request
//! carries one of the operators' secrets; every answer carries the verdict as a
//! header, and a failed one a [`Failure`] as its body. See `docs/OPERATIONS.md`.

/// Registers a path whose answer comes from an asynchronous function.
macro_rules! route {
    ($router:expr, $method:ident, $path:literal, $cx:expr, $answer:path) => {{
        let cx = Arc::clone($cx);
        $router.$method($path, move |mut conn: Conn| {
            let cx = Arc::clone(&cx);
            async move {
                match $answer(&cx, &mut conn).await {
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

use crate::config::Follower;

/// The revision in force at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRevision {
    /// The entry or VM.
    pub name: String,
    /// What is in force there.
    pub revision: Revision,
}

/// The revisions in force at all live processes that this entry knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// The revision in force at this entry.
    pub here: Revision,
    /// At every entry.
    pub entries: Vec<ProcessRevision>,
    /// At every VM.
    pub vms: Vec<ProcessRevision>,
}

/// Gives the revisions in force.
pub type RevisionsSource = Box<dyn Fn() -> Revisions + Send + Sync>;
/// Gives the availability zone of a VM that announced itself.
pub type ZoneLookup = Box<dyn Fn(&VmName) -> Option<AvailabilityZoneName> + Send + Sync>;

/// What the operators' requests are answered from.
pub struct Context {
    /// The operators' secrets.
    pub secrets: Secrets,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The entry's clock.
    pub clock: Clock,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The configuration in force.
    pub config: Arc<Follower>,
    /// The revisions in force elsewhere.
    pub revisions: RevisionsSource,
    /// Where each VM is.
    pub zone_of: ZoneLookup,
    /// The accounts of all entries and cells.
    pub accounts: AccountsSource,
    /// The jobs of all cells; nothing where no cells can be owned.
    pub jobs: Option<Arc<JobsContext>>,
}

/// Answers operators' requests.
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

/// Halts requests without a right secret.
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
