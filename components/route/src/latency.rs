//! Running estimate of a latency distribution.

use std::time::Duration;

/// Number of buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Number of buckets; they cover latencies of up to about 70 minutes.
const BUCKET_COUNT: usize = 256;
/// All counts are halved after this many samples, so that old samples lose weight.
const HALVING_INTERVAL: u32 = 2000;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 50;

/// Histogram on a logarithmic scale in which old samples lose weight.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
    samples_since_halving: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKET_COUNT],
            total: 0,
            samples_since_halving: 0,
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    let bucket = (micros.log2() * BUCKETS_PER_DOUBLING) as usize;
    bucket.min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let micros = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}

impl LatencyHistogram {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
        self.samples_since_halving += 1;
        if self.samples_since_halving < HALVING_INTERVAL {
            return;
        }
        self.samples_since_halving = 0;
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// Returns the latency that a share of `share` of the samples did not exceed, rounded up
    /// by at most a tenth; `None` while there are too few samples.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                return Some(upper_bound(bucket));
            }
        }
        None
    }
}
