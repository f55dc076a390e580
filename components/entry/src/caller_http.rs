//! Callers' requests and answers as HTTP.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use kernel::{
    Cause, RequestId, ServiceName, Time, Verdict, object::Service, verdict::VERDICT_HEADER,
};
use proto::{
    fields::{REQUEST_ID_HEADER, is_hop_by_hop},
    messages::{EndpointResponse, Header},
};
use trillium::{Conn, KnownHeaderName};

/// The header in which a caller says how long it waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-hemlockmoor-timeout-millis";

/// Header fields that the entry writes itself.
const OWN_FIELDS: [&str; 2] = ["content-length", "expect"];

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The caller's id, or one made for it.
    pub(crate) id: RequestId,
    /// Whether the caller gave the id, so that a repeat can be recognised.
    pub(crate) has_own_id: bool,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
}

/// Why a caller gets no answer of an endpoint.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub(crate) struct Problem {
    status: u16,
    pub(crate) verdict: Verdict,
    message: String,
    come_back_after: Option<Duration>,
}

#[derive(serde::Serialize)]
struct ProblemBody<'a> {
    verdict: Verdict,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_millis: Option<u64>,
}

impl Problem {
    fn not_run(status: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            message: message.into(),
            come_back_after: None,
        }
    }

    pub(crate) fn no_such_service(name: &str) -> Self {
        Self::not_run(
            404,
            format!("there is no service {name:?}; the path must start with /SERVICE/"),
        )
    }

    pub(crate) fn slow_body() -> Self {
        Self::not_run(408, "the request's body did not come in time")
    }

    pub(crate) fn bad_body(error: &trillium_http::Error) -> Self {
        match error {
            trillium_http::Error::ReceivedBodyTooLong(most) => Self::not_run(
                413,
                format!("the request's body is larger than {most} bytes"),
            ),
            other => Self::not_run(400, format!("the request's body can't be read: {other}")),
        }
    }

    pub(crate) fn id_reused() -> Self {
        Self::not_run(
            422,
            format!("{REQUEST_ID_HEADER} names an earlier request with other content"),
        )
    }

    pub(crate) fn invalid() -> Self {
        Self::not_run(400, "the request can't be passed on as HTTP/1.1")
    }

    /// The router's refusal, with the time after which a new try makes sense.
    pub(crate) fn refused(verdict: Verdict, cause: Cause, come_back_after: Duration) -> Self {
        let (status, message) = match (verdict, cause) {
            (Verdict::NotRun, Cause::Overload) => (503, "the service is at its limit"),
            (Verdict::NotRun, Cause::Deadline) => (503, "no answer was possible in time"),
            (Verdict::NotRun, _) => (503, "no endpoint could take the request"),
            (_, Cause::Deadline) => (504, "no whole answer came in time"),
            (_, Cause::EndpointFailed) => (502, "the endpoint gave no whole answer"),
            _ => (502, "the request may have run, its answer is not known"),
        };
        Self {
            status,
            verdict,
            message: message.to_owned(),
            come_back_after: Some(come_back_after),
        }
    }
}

/// Reads the head of a request to `service` whose endpoint gets `path`.
pub(crate) fn parse(conn: &Conn, service: &Service, path: String) -> Result<Call, Problem> {
    let method = conn.method().as_str().to_owned();
    let given = conn.request_headers().get_str(REQUEST_ID_HEADER);
    let id = match given {
        Some(text) => RequestId::new(text)
            .map_err(|error| Problem::not_run(400, format!("bad {REQUEST_ID_HEADER}: {error}")))?,
        None => make_id()?,
    };
    let idempotent = service
        .idempotent_methods
        .iter()
        .any(|idempotent| idempotent.eq_ignore_ascii_case(&method));
    Ok(Call {
        id,
        has_own_id: given.is_some(),
        idempotent,
        timeout: timeout(conn, service)?,
        method,
        path,
        headers: fields(conn),
        body: Vec::new(),
    })
}

fn make_id() -> Result<RequestId, Problem> {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
        .map_err(|error| Problem::not_run(500, error.to_string()))
}

fn timeout(conn: &Conn, service: &Service) -> Result<Duration, Problem> {
    let most = service.timeout_millis;
    let Some(text) = conn.request_headers().get_str(TIMEOUT_HEADER) else {
        return Ok(Duration::from_millis(most));
    };
    let millis: u64 = text.parse().map_err(|_| {
        Problem::not_run(
            400,
            format!("{TIMEOUT_HEADER} must be a whole number, not {text:?}"),
        )
    })?;
    Ok(Duration::from_millis(millis.min(most)))
}

fn fields(conn: &Conn) -> Vec<Header> {
    let mut fields = Vec::new();
    for (name, values) in conn.request_headers() {
        let name = name.to_string().to_ascii_lowercase();
        if is_dropped(&name) {
            continue;
        }
        for value in values {
            fields.push(Header {
                name: name.clone(),
                value: value.as_ref().to_vec(),
            });
        }
    }
    if let Some(ip) = conn.peer_ip() {
        fields.push(Header {
            name: "x-forwarded-for".to_owned(),
            value: ip.to_string().into_bytes(),
        });
    }
    fields
}

fn is_dropped(name: &str) -> bool {
    is_hop_by_hop(name)
        || OWN_FIELDS.contains(&name)
        || name == REQUEST_ID_HEADER
        || name.starts_with("x-hemlockmoor-")
}

/// Writes the whole answer of an endpoint.
pub(crate) fn write_answer(mut conn: Conn, id: &RequestId, answer: EndpointResponse) -> Conn {
    for field in answer.headers {
        if is_dropped(&field.name) {
            continue;
        }
        conn.response_headers_mut().append(field.name, field.value);
    }
    let conn = with_verdict(conn, Some(id), Verdict::Done);
    conn.with_status(answer.status)
        .with_body(answer.body)
        .halt()
}

/// Writes an error with its verdict and when to come back.
pub(crate) fn write_problem(mut conn: Conn, id: Option<&RequestId>, problem: &Problem) -> Conn {
    let body = ProblemBody {
        verdict: problem.verdict,
        message: &problem.message,
        request_id: id,
        retry_after_millis: problem
            .come_back_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
    };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    if let Some(after) = problem.come_back_after {
        let secs = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        conn.response_headers_mut()
            .insert(KnownHeaderName::RetryAfter, secs.to_string());
    }
    conn.response_headers_mut()
        .insert(KnownHeaderName::ContentType, "application/json");
    let conn = with_verdict(conn, id, problem.verdict);
    conn.with_status(problem.status).with_body(json).halt()
}

fn with_verdict(mut conn: Conn, id: Option<&RequestId>, verdict: Verdict) -> Conn {
    let headers = conn.response_headers_mut();
    headers.insert(VERDICT_HEADER, verdict.as_str());
    if let Some(id) = id {
        headers.insert(REQUEST_ID_HEADER, id.to_string());
    }
    conn
}

/// How long from `now` to `come_back_at`.
pub(crate) fn come_back_after(now: Time, come_back_at: Time) -> Duration {
    come_back_at.remaining(now)
}

/// A seed for the random choices of one service.
pub(crate) fn seed_of(name: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}
