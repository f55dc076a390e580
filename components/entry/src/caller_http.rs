//! Converts callers' requests and the responses to them from and to HTTP.

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

/// Header field of a request: how long the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-hemlockmoor-timeout-millis";

/// Header fields that the entry sets itself and does not pass on.
const ENTRY_HEADERS: [&str; 2] = ["content-length", "expect"];

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// The id given by the caller, or a generated one.
    pub(crate) id: RequestId,
    /// Whether the caller gave the id, so that a repeat can be detected.
    pub(crate) has_caller_id: bool,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
}

/// An error that the entry sends to a caller in place of an endpoint's response.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub(crate) struct ErrorResponse {
    status: u16,
    pub(crate) verdict: Verdict,
    message: String,
    retry_after: Option<Duration>,
}

#[derive(serde::Serialize)]
struct ErrorBody<'a> {
    verdict: Verdict,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_millis: Option<u64>,
}

impl ErrorResponse {
    fn not_run(status: u16, message: impl Into<String>) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    pub(crate) fn no_such_service(name: &str) -> Self {
        Self::not_run(
            404,
            format!("there is no service {name:?}; the path must start with /SERVICE/"),
        )
    }

    pub(crate) fn body_timeout() -> Self {
        Self::not_run(408, "the request's body did not arrive in time")
    }

    pub(crate) fn unreadable_body(error: &trillium_http::Error) -> Self {
        match error {
            trillium_http::Error::ReceivedBodyTooLong(max_bytes) => Self::not_run(
                413,
                format!("the request's body is larger than {max_bytes} bytes"),
            ),
            other => Self::not_run(400, format!("the request's body can't be read: {other}")),
        }
    }

    pub(crate) fn id_reused() -> Self {
        Self::not_run(
            422,
            format!("{REQUEST_ID_HEADER} was used before for a request with other content"),
        )
    }

    pub(crate) fn not_forwardable() -> Self {
        Self::not_run(400, "the request can't be forwarded as HTTP/1.1")
    }

    /// The router's refusal; `retry_after` is the time after which a retry makes sense.
    pub(crate) fn refused(verdict: Verdict, cause: Cause, retry_after: Duration) -> Self {
        let (status, message) = match (verdict, cause) {
            (Verdict::NotRun, Cause::Overload) => (503, "the service is overloaded"),
            (Verdict::NotRun, Cause::Deadline) => {
                (503, "no response was possible before the deadline")
            }
            (Verdict::NotRun, _) => (503, "no endpoint could accept the request"),
            (_, Cause::Deadline) => (504, "no complete response arrived before the deadline"),
            (_, Cause::EndpointFailed) => (502, "the endpoint gave no complete response"),
            _ => (502, "the request may have run, but its response is unknown"),
        };
        Self {
            status,
            verdict,
            message: message.to_owned(),
            retry_after: Some(retry_after),
        }
    }
}

/// Parses the head of a request to `service`, whose endpoint receives `path`.
pub(crate) fn parse(
    conn: &Conn,
    service: &Service,
    path: String,
) -> Result<CallerRequest, ErrorResponse> {
    let method = conn.method().as_str().to_owned();
    let given = conn.request_headers().get_str(REQUEST_ID_HEADER);
    let id = match given {
        Some(text) => RequestId::new(text).map_err(|error| {
            ErrorResponse::not_run(400, format!("bad {REQUEST_ID_HEADER}: {error}"))
        })?,
        None => generate_id()?,
    };
    let idempotent = service
        .idempotent_methods
        .iter()
        .any(|idempotent| idempotent.eq_ignore_ascii_case(&method));
    Ok(CallerRequest {
        id,
        has_caller_id: given.is_some(),
        idempotent,
        timeout: timeout(conn, service)?,
        method,
        path,
        headers: forwarded_headers(conn),
        body: Vec::new(),
    })
}

fn generate_id() -> Result<RequestId, ErrorResponse> {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
        .map_err(|error| ErrorResponse::not_run(500, error.to_string()))
}

fn timeout(conn: &Conn, service: &Service) -> Result<Duration, ErrorResponse> {
    let max_millis = service.timeout_millis;
    let Some(text) = conn.request_headers().get_str(TIMEOUT_HEADER) else {
        return Ok(Duration::from_millis(max_millis));
    };
    let millis: u64 = text.parse().map_err(|_| {
        ErrorResponse::not_run(
            400,
            format!("{TIMEOUT_HEADER} must be a whole number, not {text:?}"),
        )
    })?;
    Ok(Duration::from_millis(millis.min(max_millis)))
}

fn forwarded_headers(conn: &Conn) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, values) in conn.request_headers() {
        let name = name.to_string().to_ascii_lowercase();
        if is_dropped(&name) {
            continue;
        }
        for value in values {
            headers.push(Header {
                name: name.clone(),
                value: value.as_ref().to_vec(),
            });
        }
    }
    if let Some(ip) = conn.peer_ip() {
        headers.push(Header {
            name: "x-forwarded-for".to_owned(),
            value: ip.to_string().into_bytes(),
        });
    }
    headers
}

fn is_dropped(name: &str) -> bool {
    is_hop_by_hop(name)
        || ENTRY_HEADERS.contains(&name)
        || name == REQUEST_ID_HEADER
        || name.starts_with("x-hemlockmoor-")
}

/// Writes the response of an endpoint.
pub(crate) fn write_response(mut conn: Conn, id: &RequestId, response: EndpointResponse) -> Conn {
    for field in response.headers {
        if is_dropped(&field.name) {
            continue;
        }
        conn.response_headers_mut().append(field.name, field.value);
    }
    let conn = with_verdict(conn, Some(id), Verdict::Done);
    conn.with_status(response.status)
        .with_body(response.body)
        .halt()
}

/// Writes an error with its verdict and, if known, the time after which to retry.
pub(crate) fn write_error(
    mut conn: Conn,
    id: Option<&RequestId>,
    error_response: &ErrorResponse,
) -> Conn {
    let body = ErrorBody {
        verdict: error_response.verdict,
        message: &error_response.message,
        request_id: id,
        retry_after_millis: error_response
            .retry_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
    };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    if let Some(after) = error_response.retry_after {
        let secs = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        conn.response_headers_mut()
            .insert(KnownHeaderName::RetryAfter, secs.to_string());
    }
    conn.response_headers_mut()
        .insert(KnownHeaderName::ContentType, "application/json");
    let conn = with_verdict(conn, id, error_response.verdict);
    conn.with_status(error_response.status)
        .with_body(json)
        .halt()
}

fn with_verdict(mut conn: Conn, id: Option<&RequestId>, verdict: Verdict) -> Conn {
    let headers = conn.response_headers_mut();
    headers.insert(VERDICT_HEADER, verdict.as_str());
    if let Some(id) = id {
        headers.insert(REQUEST_ID_HEADER, id.to_string());
    }
    conn
}

/// Returns the time from `now` to `retry_at`.
pub(crate) fn retry_after(now: Time, retry_at: Time) -> Duration {
    retry_at.remaining(now)
}

/// Returns a seed for the random choices of one service.
pub(crate) fn seed_of(name: &ServiceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}
