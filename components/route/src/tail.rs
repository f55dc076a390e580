//! A running estimate of a latency distribution.

use std::time::Duration;

/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Buckets up to about 70 minutes.
const BUCKETS: usize = 256;
/// After this many samples all counts are halved, so that old ones fade.
const HALVE_AFTER: u32 = 2000;
/// Below this many samples no estimate is given.
const MIN_SAMPLES: u32 = 50;

/// A histogram on a logarithmic scale whose old samples fade.
#[derive(Clone, Debug)]
pub struct Tail {
    counts: Vec<u32>,
    total: u32,
    since_halving: u32,
}

impl Default for Tail {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
            since_halving: 0,
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    let bucket = (micros.log2() * BUCKETS_PER_DOUBLING) as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    let micros = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}

impl Tail {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
        self.since_halving += 1;
        if self.since_halving < HALVE_AFTER {
            return;
        }
        self.since_halving = 0;
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// The latency that `share` of the samples did not exceed, rounded up by at
    /// most a tenth; nothing while there are too few samples.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(upper_edge(bucket));
            }
        }
        None
    }
}
