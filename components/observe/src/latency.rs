//! Histograms of latencies, alike in all daemons so that their figures can be compared.

use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// The upper edge of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// The number of buckets, each twice as wide as the one before: up to 8 s.
const BUCKETS: u16 = 14;

/// Returns an empty histogram of latencies in seconds.
#[must_use]
pub fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
