//! Readiness of a daemon and its HTTP routes `/metrics`, `/healthz` and `/readyz`.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use prometheus_client::{encoding::text::encode, registry::Registry};
use trillium::{Conn, Status};
use trillium_router::Router;

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether a load balancer should send work to a daemon.
///
/// A daemon starts as not ready. A graceful stop first makes it not ready, so that the
/// balancer removes it before the ports close; no later call makes it ready again.
#[derive(Clone, Debug, Default)]
pub struct Health(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl Health {
    /// Sets whether the daemon is ready.
    pub fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Relaxed);
    }

    /// Makes the daemon not ready permanently, at the start of a graceful stop.
    pub fn set_stopping(&self) {
        self.0.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon is ready and not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Relaxed) && !self.0.stopping.load(Ordering::Relaxed)
    }
}

/// Returns the routes of the three pages, to be served with the daemon's other routes.
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
            async move { render_metrics(conn, &registry) }
        })
}

fn render_metrics(conn: Conn, registry: &Registry) -> Conn {
    let mut text = String::new();
    if encode(&mut text, registry).is_err() {
        return conn.with_status(Status::InternalServerError).halt();
    }
    conn.with_response_header("content-type", METRICS_CONTENT_TYPE)
        .ok(text)
}
