//! HTTP header fields used towards callers and towards endpoints.

/// The header that carries the request id, in requests and in responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header fields that apply to a single connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether the field `name`, in lower case, applies to a single connection
/// only and must not be forwarded.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
