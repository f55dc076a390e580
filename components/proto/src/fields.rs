//! Header fields of HTTP on both sides of the system.

/// The header in which a caller gives its request's id and gets it back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header fields that concern one connection only (RFC 9110, section 7.6.1).
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

/// Whether the field `name`, in lower case, concerns one connection only and is
/// never passed on.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
