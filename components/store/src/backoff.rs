//! Randomized exponential backoff.
//!
//! The jitter keeps processes that lost the store at the same time from
//! reconnecting at the same time.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The upper bound of the first delay.
const FIRST_DELAY_BOUND: Duration = Duration::from_millis(50);
/// The upper bound of every delay.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The delays between attempts; holds no clock.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Returns a backoff without failures whose jitter derives from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns a backoff with a seed that differs between processes and between calls.
    #[must_use]
    pub fn with_random_seed() -> Self {
        Self::new(rand::random())
    }

    /// Records a failed attempt and returns the delay before the next one.
    ///
    /// The delay is drawn from the upper half of a bound that doubles with each
    /// failure, so it is never close to zero.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = FIRST_DELAY_BOUND.saturating_mul(1 << self.failures.min(16));
        let bound = doubled.min(MAX_DELAY);
        self.failures += 1;
        bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Records a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failed attempts since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
