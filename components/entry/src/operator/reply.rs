//! Answers to operators: JSON with a verdict.

use std::{fmt, time::Duration};

use conf::{Problem, Problems};
use futures_lite::FutureExt;
use kernel::{Verdict, verdict::VERDICT_HEADER};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use trillium::{Conn, Status};

/// How long an operator may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The body of every answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub message: String,
    /// What is wrong with the objects or fields that were sent.
    #[serde(default)]
    pub problems: Vec<Problem>,
}

impl Failure {
    /// A failure without a list of problems.
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
/// Returns the status and failure to answer with, if the body is larger than
/// `most` bytes, comes too slowly or is something else.
pub async fn read_json<T: DeserializeOwned>(
    conn: &mut Conn,
    most: u64,
) -> Result<T, (Status, Failure)> {
    let refuse = |status, message: String| (status, Failure::new(Verdict::NotRun, message));
    let reading = async {
        let body = conn.request_body().with_max_len(most).read_string();
        Some(body.await)
    };
    let expiry = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        None
    };
    let Some(body) = reading.or(expiry).await else {
        let message = format!("the body did not come within {BODY_TIMEOUT:?}");
        return Err(refuse(Status::RequestTimeout, message));
    };
    let text = body.map_err(|error| {
        let message = format!("the body can't be read: {error}; at most {most} bytes are taken");
        refuse(Status::PayloadTooLarge, message)
    })?;
    serde_json::from_str(&text).map_err(|error| {
        refuse(
            Status::BadRequest,
            format!("the body can't be read: {error}"),
        )
    })
}

/// Answers a request that ran.
#[must_use]
pub fn write_success(conn: Conn, value: &impl Serialize) -> Conn {
    json(conn, Status::Ok, Verdict::Done, value)
}

/// Answers a request that failed.
#[must_use]
pub fn write_failure(conn: Conn, status: Status, failure: &Failure) -> Conn {
    json(conn, status, failure.verdict, failure)
}

fn json(conn: Conn, status: Status, verdict: Verdict, value: &impl Serialize) -> Conn {
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
