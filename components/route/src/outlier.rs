//! How well an endpoint answers, and when it is left out for a while.

use std::time::Duration;

use kernel::Time;

/// The weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.1;
/// Failures in a row after which an endpoint is left out.
const MAX_FAILURES_IN_A_ROW: u32 = 5;
/// An endpoint this many times slower than the middle one is left out.
const MAX_SLOWNESS: f64 = 4.0;
/// Answers needed before an endpoint counts as slow.
const MIN_SAMPLES: u32 = 3;
/// How long an endpoint is left out the first time; then longer each time.
const EJECT_FOR: Duration = Duration::from_secs(10);
/// The most times that [`EJECT_FOR`] is added up.
const MAX_EJECT_FACTOR: u32 = 6;

/// The health of one endpoint as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    latency_micros: f64,
    samples: u32,
    failures: u32,
    ejected_until: Option<Time>,
    ejections: u32,
}

impl Health {
    /// The running mean of its latency, in microseconds, once it is known.
    #[must_use]
    pub fn latency_micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency_micros)
    }

    /// Whether it is left out at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| !until.passed(now))
    }

    /// Whether it was left out and has not proved itself since; one request at
    /// a time goes there then.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Notes a whole answer after `latency`, good by the endpoint's own account.
    pub fn on_good(&mut self, latency: Duration) {
        self.failures = 0;
        self.on_latency(latency);
    }

    /// Notes that an answer takes at least `latency`.
    pub fn on_latency(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        if self.samples == 0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
        self.samples = self.samples.saturating_add(1);
    }

    /// Notes a failed or missing answer.
    pub const fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether it should be left out, given the middle latency of its peers.
    #[must_use]
    pub fn is_outlier(&self, middle_micros: Option<f64>) -> bool {
        if self.failures >= MAX_FAILURES_IN_A_ROW {
            return true;
        }
        let Some(middle) = middle_micros else {
            return false;
        };
        self.samples >= MIN_SAMPLES && self.latency_micros > MAX_SLOWNESS * middle
    }

    /// Leaves it out from `now` on, longer each time.
    pub fn eject(&mut self, now: Time) {
        self.ejections = (self.ejections + 1).min(MAX_EJECT_FACTOR);
        self.ejected_until = Some(now + EJECT_FOR * self.ejections);
    }

    /// Ends a trial: takes it back after an answer at an ordinary speed, or
    /// leaves it out again.
    pub fn end_trial(&mut self, now: Time, latency: Option<Duration>, middle_micros: Option<f64>) {
        let good = latency.is_some_and(|latency| {
            let micros = latency.as_micros() as f64;
            middle_micros.is_none_or(|middle| micros <= MAX_SLOWNESS * middle)
        });
        if !good {
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
