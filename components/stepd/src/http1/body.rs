//! Receives request bodies within the limits.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use steps::config::ConnectionLimits;

use super::{
    budget::{BodyBudget, Exhausted, Reservation},
    refusals::Limit,
};

/// The smallest amount by which the memory of a body grows, in bytes.
const MIN_GROWTH: usize = 4_096;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// A limit refuses the body.
    Refused(Limit),
    /// The client has closed the connection, or the body is malformed.
    Broken,
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        Self::Refused(Limit::BodyBudget)
    }
}

/// Receives a body. The reservation has to be kept until the request is answered.
pub(super) async fn receive(
    body: Incoming,
    limits: &ConnectionLimits,
    budget: &BodyBudget,
) -> Result<(Bytes, Option<Reservation>), BodyError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(BodyError::Refused(Limit::BodySize));
    }
    let reservation = budget.admit(Instant::now())?;
    let bytes = collect(body, limits, &reservation);
    let dropped = async {
        reservation.dropped().await;
        Err(BodyError::Refused(Limit::BodyBudget))
    };
    let late = expire(limits.idle_timeout, Limit::BodyTime);
    let bytes = dropped.or(bytes).or(late).await?;
    reservation.complete()?;
    Ok((bytes, Some(reservation)))
}

async fn expire<T>(after: Duration, limit: Limit) -> Result<T, BodyError> {
    smol::Timer::after(after).await;
    Err(BodyError::Refused(limit))
}

/// Copies the parts of a body into one buffer. The parts as they arrive would keep the buffers
/// of the connection, and a list entry for each part: about 40 bytes for a chunk of one byte.
async fn collect(
    mut body: Incoming,
    limits: &ConnectionLimits,
    reservation: &Reservation,
) -> Result<Bytes, BodyError> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let next = async { Ok(body.frame().await) };
        let late = expire(limits.head_timeout, Limit::BodyProgress);
        let Some(frame) = next.or(late).await? else {
            return Ok(bytes.into());
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = bytes.len() + data.len();
        if len > limits.max_body_bytes {
            return Err(BodyError::Refused(Limit::BodySize));
        }
        let growth = match len > bytes.capacity() {
            true => (len - bytes.capacity()).max(MIN_GROWTH).max(len / 8),
            false => 0,
        };
        reservation.grow(growth, Instant::now())?;
        bytes.reserve_exact(bytes.capacity() + growth - bytes.len());
        bytes.extend_from_slice(&data);
    }
}
