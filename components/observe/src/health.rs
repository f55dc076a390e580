//! `/metrics`, `/healthz` and `/readyz`.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use prometheus_client::{encoding::text::encode, registry::Registry};
use trillium::{Conn, Status};
use trillium_router::Router;

/// The content type of the metrics' text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether a daemon wants to be sent work by a balancer.
///
/// It starts as not ready. A graceful stop closes it first, so that the balancer
/// turns away before the ports close; nothing makes it ready again after that.
#[derive(Clone, Debug, Default)]
pub struct Health(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    ready: AtomicBool,
    closed: AtomicBool,
}

impl Health {
    /// Says whether the daemon is ready.
    pub fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Relaxed);
    }

    /// Makes the daemon not ready for good.
    pub fn set_stopping(&self) {
        self.0.closed.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Relaxed) && !self.0.closed.load(Ordering::Relaxed)
    }
}

/// The three pages, to be served beside others.
#[must_use]
pub fn routes(health: Health, registry: Arc<Registry>) -> Router {
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("alive\n") })
        .get("/readyz", move |conn: Conn| {
            let ready = health.is_ready();
            async move {
                if ready {
                    return conn.ok("ready\n");
                }
                conn.with_status(Status::ServiceUnavailable)
                    .with_body("not ready\n")
                    .halt()
            }
        })
        .get("/metrics", move |conn: Conn| {
            let registry = Arc::clone(&registry);
            async move { metrics(conn, &registry) }
        })
}

fn metrics(conn: Conn, registry: &Registry) -> Conn {
    let mut text = String::new();
    if encode(&mut text, registry).is_err() {
        return conn.with_status(Status::InternalServerError).halt();
    }
    conn.with_response_header("content-type", METRICS_TYPE)
        .ok(text)
}
