//! Waiting longer after each failure, at random, so that many processes that
//! lost the store at once do not return at once.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bound of the first wait.
const FIRST: Duration = Duration::from_millis(50);
/// The bound of every wait.
const LONGEST: Duration = Duration::from_secs(2);

/// The waits between attempts; plain state without a clock.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// No failure yet; `seed` decides the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A seed that differs between processes and between calls.
    #[must_use]
    pub fn with_random_seed() -> Self {
        Self::new(rand::random())
    }

    /// An attempt failed; the answer is how long to wait before the next.
    ///
    /// The wait is drawn from the upper half of a bound that doubles with each
    /// failure, so it never is near zero.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = FIRST.saturating_mul(1 << self.failures.min(16));
        let bound = doubled.min(LONGEST);
        self.failures += 1;
        bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// An attempt succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// How many attempts have failed since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
