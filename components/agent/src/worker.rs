//! Client of the platform's worker on the same VM.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use kernel::{TaskRun, Time};
use proto::worker::{RenewRun, StartRun, ThrottleRun, WorkerRun};
use trillium_client::{Client, Conn, Method, Status};
use trillium_smol::ClientConfig;

/// Timeout of a call to the worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call to the worker failed.
#[derive(Debug, thiserror::Error)]
pub enum WorkerError {
    /// The worker refused the call and changed nothing.
    #[error("the worker refused the call and changed nothing: {0}")]
    Refused(String),
    /// The worker may have carried out the call.
    #[error("no valid reply from the worker, which may have carried out the call: {0}")]
    Unknown(String),
}

/// The platform's worker.
#[async_trait]
pub trait Worker: Send + Sync + 'static {
    /// Lists every attempt that the worker remembers.
    async fn list(&self) -> Result<Vec<WorkerRun>, WorkerError>;
    /// Starts an attempt; a repeated call has no effect.
    async fn start(&self, run: &TaskRun, start: &StartRun) -> Result<(), WorkerError>;
    /// Sets a new end of an attempt's lease.
    async fn renew(&self, run: &TaskRun, until: Time) -> Result<(), WorkerError>;
    /// Throttles an attempt (`true`) or ends its throttling (`false`).
    async fn throttle(&self, run: &TaskRun, on: bool) -> Result<(), WorkerError>;
    /// Checkpoints and stops an attempt.
    async fn evict(&self, run: &TaskRun) -> Result<WorkerRun, WorkerError>;
    /// Stops an attempt.
    async fn stop(&self, run: &TaskRun) -> Result<WorkerRun, WorkerError>;
    /// Makes the worker forget an ended attempt.
    async fn forget(&self, run: &TaskRun) -> Result<(), WorkerError>;
}

/// Calls the worker over HTTP, see [`proto::worker`].
#[derive(Clone, Debug)]
pub struct HttpWorker {
    client: Client,
    address: SocketAddr,
}

impl HttpWorker {
    /// Creates a client of the worker at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::new(ClientConfig::default()).with_timeout(CALL_TIMEOUT);
        Self { client, address }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, WorkerError> {
        let url = format!("http://{}/v1/runs{path}", self.address);
        let mut conn: Conn = self.client.build_conn(method, url);
        if let Some(body) = body {
            conn = conn.with_body(body);
        }
        let to_unknown = |error: &dyn std::fmt::Display| WorkerError::Unknown(error.to_string());
        let mut conn = conn.await.map_err(|error| to_unknown(&error))?;
        let text = conn
            .response_body()
            .read_string()
            .await
            .map_err(|error| to_unknown(&error))?;
        match conn.status() {
            Some(Status::Ok) => Ok(text),
            Some(Status::Conflict | Status::NotFound | Status::BadRequest) => {
                Err(WorkerError::Refused(text))
            }
            status => Err(WorkerError::Unknown(format!("status {status:?}: {text}"))),
        }
    }

    async fn post(
        &self,
        run: &TaskRun,
        verb: &str,
        body: &impl serde::Serialize,
    ) -> Result<String, WorkerError> {
        let path = format!("{}/{verb}", run_path(run));
        self.call(Method::Post, &path, Some(encode(body)?)).await
    }
}

fn run_path(run: &TaskRun) -> String {
    format!("/{}/{}/{}", run.task.job, run.task.index, run.attempt.0)
}

fn encode(body: &impl serde::Serialize) -> Result<String, WorkerError> {
    serde_json::to_string(body).map_err(|error| WorkerError::Refused(error.to_string()))
}

fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, WorkerError> {
    serde_json::from_str(text).map_err(|error| WorkerError::Unknown(error.to_string()))
}

#[async_trait]
impl Worker for HttpWorker {
    async fn list(&self) -> Result<Vec<WorkerRun>, WorkerError> {
        decode(&self.call(Method::Get, "", None).await?)
    }

    async fn start(&self, run: &TaskRun, start: &StartRun) -> Result<(), WorkerError> {
        let body = Some(encode(start)?);
        self.call(Method::Put, &run_path(run), body).await.map(drop)
    }

    async fn renew(&self, run: &TaskRun, until: Time) -> Result<(), WorkerError> {
        let body = RenewRun { lease_until: until };
        self.post(run, "lease", &body).await.map(drop)
    }

    async fn throttle(&self, run: &TaskRun, on: bool) -> Result<(), WorkerError> {
        let body = ThrottleRun { on };
        self.post(run, "throttle", &body).await.map(drop)
    }

    async fn evict(&self, run: &TaskRun) -> Result<WorkerRun, WorkerError> {
        decode(&self.post(run, "evict", &()).await?)
    }

    async fn stop(&self, run: &TaskRun) -> Result<WorkerRun, WorkerError> {
        decode(&self.post(run, "stop", &()).await?)
    }

    async fn forget(&self, run: &TaskRun) -> Result<(), WorkerError> {
        self.call(Method::Delete, &run_path(run), None)
            .await
            .map(drop)
    }
}
