//! Health of an endpoint, and its temporary ejection as an outlier.

use std::time::Duration;

use kernel::Time;

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Number of consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// An endpoint is ejected once its latency exceeds the median of its peers by this factor.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Minimum number of latency samples before an endpoint counts as slow.
const MIN_SAMPLES: u32 = 3;
/// Duration of an endpoint's first ejection; the n-th one lasts n times as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);
/// Upper bound of n in the multiple of [`BASE_EJECTION_TIME`].
const MAX_EJECTION_FACTOR: u32 = 6;

/// Health of one endpoint, as observed by one entry.
#[derive(Clone, Debug, Default)]
pub struct Health {
    latency_micros: f64,
    samples: u32,
    /// Failures since the last success or passed trial.
    failures: u32,
    /// End of the last ejection; `None` if there was none or a trial was passed since.
    ejected_until: Option<Time>,
    /// Ejections so far, up to [`MAX_EJECTION_FACTOR`]; determines how long the next one lasts.
    ejections: u32,
}

impl Health {
    /// Returns the moving average of the latency in microseconds, `None` without samples.
    #[must_use]
    pub fn latency_micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency_micros)
    }

    /// Whether the endpoint is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| !until.passed(now))
    }

    /// Whether the endpoint was ejected and has not passed a trial since. After the
    /// ejection, a trial consists of one request at a time.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records a complete response after `latency` that does not report a failure.
    pub fn on_success(&mut self, latency: Duration) {
        self.failures = 0;
        self.on_latency(latency);
    }

    /// Records that an answer takes at least `latency`.
    pub fn on_latency(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        if self.samples == 0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
        self.samples = self.samples.saturating_add(1);
    }

    /// Records a failed or missing answer.
    pub const fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the endpoint should be ejected, given the median latency of its peers.
    #[must_use]
    pub fn is_outlier(&self, median_micros: Option<f64>) -> bool {
        if self.failures >= MAX_CONSECUTIVE_FAILURES {
            return true;
        }
        let Some(median) = median_micros else {
            return false;
        };
        self.samples >= MIN_SAMPLES && self.latency_micros > MAX_LATENCY_RATIO * median
    }

    /// Ejects the endpoint from `now` on; each ejection lasts longer, up to a limit.
    pub fn eject(&mut self, now: Time) {
        self.ejections = (self.ejections + 1).min(MAX_EJECTION_FACTOR);
        self.ejected_until = Some(now + BASE_EJECTION_TIME * self.ejections);
    }

    /// Ends a trial: readmits the endpoint after an answer at ordinary speed, otherwise
    /// ejects it again.
    pub fn end_trial(&mut self, now: Time, latency: Option<Duration>, median_micros: Option<f64>) {
        let passed = latency.is_some_and(|latency| {
            let micros = latency.as_micros() as f64;
            median_micros.is_none_or(|median| micros <= MAX_LATENCY_RATIO * median)
        });
        if !passed {
            self.eject(now);
            return;
        }
        self.ejected_until = None;
        self.failures = 0;
        self.samples = 0;
        self.latency_micros = 0.0;
        if let Some(latency) = latency {
            self.on_latency(latency);
        }
    }
}
