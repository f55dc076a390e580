//! Responses to operators: JSON with a verdict.

use std::{fmt, time::Duration};

use conf::{Problem, Problems};
use futures_lite::FutureExt;
use kernel::{Verdict, verdict::VERDICT_HEADER};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use trillium::{Conn, Status};

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Describes the error.
    pub message: String,
    /// Problems of the objects or fields in the request.
    #[serde(default)]
    pub problems: Vec<Problem>,
}

impl Failure {
    /// Creates a failure without a list of problems.
    #[must_use]
    pub fn new(verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            verdict,
            message: message.into(),
            problems: Vec::new(),
        }
    }
}

impl From<Problems> for Failure {
    fn from(problems: Problems) -> Self {
        let message = match problems.0.len() {
            1 => "there is 1 problem".to_owned(),
            count => format!("there are {count} problems"),
        };
        Self {
            verdict: problems.verdict(),
            message,
            problems: problems.0,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

/// Reads the request's body as JSON.
///
/// # Errors
///
/// Returns status and body of an error response if the body is larger than
/// `max_bytes` bytes, does not arrive in time or is not the JSON of a `T`.
pub async fn read_json<T: DeserializeOwned>(
    conn: &mut Conn,
    max_bytes: u64,
) -> Result<T, (Status, Failure)> {
    let reject = |status, message: String| (status, Failure::new(Verdict::NotRun, message));
    let reading = async {
        let body = conn.request_body().with_max_len(max_bytes).read_string();
        Some(body.await)
    };
    let expiry = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        None
    };
    let Some(body) = reading.or(expiry).await else {
        let message = format!("the body did not arrive within {BODY_TIMEOUT:?}");
        return Err(reject(Status::RequestTimeout, message));
    };
    let text = body.map_err(|error| {
        let message =
            format!("the body can't be read: {error}; at most {max_bytes} bytes are taken");
        reject(Status::PayloadTooLarge, message)
    })?;
    serde_json::from_str(&text).map_err(|error| {
        reject(
            Status::BadRequest,
            format!("the body can't be read: {error}"),
        )
    })
}

/// Writes a success response with `value` as JSON.
#[must_use]
pub fn write_success(conn: Conn, value: &impl Serialize) -> Conn {
    write_json(conn, Status::Ok, Verdict::Done, value)
}

/// Writes an error response with `failure` as JSON.
#[must_use]
pub fn write_failure(conn: Conn, status: Status, failure: &Failure) -> Conn {
    write_json(conn, status, failure.verdict, failure)
}

fn write_json(conn: Conn, status: Status, verdict: Verdict, value: &impl Serialize) -> Conn {
    let conn = conn.with_response_header(VERDICT_HEADER, verdict.as_str());
    match serde_json::to_string(value) {
        Ok(text) => conn
            .with_response_header("content-type", "application/json")
            .with_status(status)
            .with_body(text)
            .halt(),
        Err(error) => conn
            .with_status(Status::InternalServerError)
            .with_body(error.to_string())
            .halt(),
    }
}
