//! Converts forwarded requests and endpoints' responses to and from HTTP.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use http_body_util::Full;
use proto::{
    fields::{REQUEST_ID_HEADER, is_hop_by_hop},
    messages::{EndpointResponse, Forward, Header},
};
use route::record::Fingerprint;

use crate::endpoint::EndpointRequest;

/// Converts `forward` to an HTTP request to the endpoint at `address`.
///
/// # Errors
///
/// Returns an error if the method, the path or a header field is not valid HTTP.
pub(crate) fn to_request(
    forward: &Forward,
    address: SocketAddr,
) -> Result<EndpointRequest, http::Error> {
    let mut req = http::Request::builder()
        .method(forward.method.as_str())
        .uri(forward.path.as_str())
        .body(Full::new(Bytes::copy_from_slice(&forward.body)))?;
    let headers = req.headers_mut();
    for field in &forward.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes())?;
        if is_hop_by_hop(name.as_str()) || name == header::CONTENT_LENGTH {
            continue;
        }
        headers.append(name, HeaderValue::from_bytes(&field.value)?);
    }
    let id = HeaderValue::from_str(forward.id.as_str())?;
    headers.insert(REQUEST_ID_HEADER, id);
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&address.to_string())?;
        headers.insert(header::HOST, host);
    }
    Ok(req)
}

/// Converts a complete response to a message; `took` is its service time.
pub(crate) fn to_response(resp: http::Response<Bytes>, took: Duration) -> EndpointResponse {
    let (parts, body) = resp.into_parts();
    EndpointResponse {
        status: parts.status.as_u16(),
        headers: to_headers(&parts.headers),
        body: body.to_vec(),
        service_micros: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
    }
}

fn to_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut fields = Vec::new();
    for (name, value) in headers {
        if is_hop_by_hop(name.as_str()) {
            continue;
        }
        fields.push(Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }
    fields
}

/// Returns a hash of the method, path and body, which a repeat must share with the
/// first request.
pub(crate) fn fingerprint(forward: &Forward) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    forward.method.hash(&mut hasher);
    forward.path.hash(&mut hasher);
    forward.body.hash(&mut hasher);
    Fingerprint(hasher.finish())
}

/// Returns the memory that a recorded response takes, in bytes.
pub(crate) fn response_bytes(response: &EndpointResponse) -> usize {
    let mut bytes = response.body.len();
    for field in &response.headers {
        bytes += field.name.len() + field.value.len();
    }
    bytes
}
