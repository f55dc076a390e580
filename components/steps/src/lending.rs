//! Latency headroom of serving tasks that placement lends to best-effort tasks.
//!
//! A best-effort task that starts beside a serving task may take the part of its headroom that
//! is left after a margin. The margin covers the error of the forecast effect and the rise of
//! the load that is still to be expected while the task stays. Both are independent, so their
//! squares are added. A sure forecast beside a steady serving task leaves a small margin, an
//! unknown pair beside a swinging one a large one. See `docs/design/lending.md`.

use std::time::Duration;

use kernel::Time;

/// Standard deviations that the margin covers: a serving task over its target because of
/// best-effort tasks costs four times what it earns, so one task in five may go over it.
const COVERED_DEVIATIONS: f64 = 0.84;
/// Peak of the load above its mean in standard deviations; a sine has 1.41.
const PEAK_DEVIATIONS: f64 = 1.5;
/// Time in which a load may rise from its lowest to its highest value. Loads swing with a
/// period of 14 s; the steepest third of a rise, 2.3 s, covers half of the swing.
const RISE_TIME: Duration = Duration::from_secs(5);
/// Time from a measurement to the start of a task that is placed by it.
const START_DELAY: Duration = Duration::from_secs(1);
/// Time constant of the mean and the spread: 86% of their weight is on the last 20 s.
const MEMORY: Duration = Duration::from_secs(10);
/// Standard deviation of the baseline of a serving task without measurements. With the error
/// of an unknown weight, a task that uses a quarter of a VM gets 0.75 of the target, which was
/// the constant in place of this decision.
const ASSUMED_SPREAD: f64 = 0.162;
/// Smallest margin: 0.9 of the target, for the noise of measurements.
const MIN_MARGIN: f64 = 0.105;
/// Largest margin: half of the target. A larger one would leave workers idle whose serving
/// tasks seldom use the headroom.
const MAX_MARGIN: f64 = 0.693;

/// Logarithm of a serving task's latency without best-effort tasks, as a fraction of its target,
/// with its mean and spread over the last 20 s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    present: f64,
    mean: f64,
    variance: f64,
    updated_at: Time,
}

impl Baseline {
    /// Baseline at the first measurement, or an assumed one.
    #[must_use]
    pub const fn new(now: Time, present: f64) -> Self {
        Self {
            present,
            mean: present,
            variance: ASSUMED_SPREAD * ASSUMED_SPREAD,
            updated_at: now,
        }
    }

    /// Present value.
    #[must_use]
    pub const fn present(&self) -> f64 {
        self.present
    }

    /// Sets the present value and includes it in the mean and the spread.
    pub fn update(&mut self, now: Time, present: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        let difference = present - self.mean;
        self.mean += (1.0 - kept) * difference;
        self.variance = kept * (self.variance + (1.0 - kept) * difference.powi(2));
        self.present = present;
        self.updated_at = now;
    }

    /// How far the baseline may still rise while a task stays for `stay`.
    fn expected_rise(&self, stay: Duration) -> f64 {
        let deviation = self.variance.sqrt();
        let to_peak = self.mean + PEAK_DEVIATIONS * deviation - self.present;
        let time = (stay + START_DELAY).as_secs_f64() / RISE_TIME.as_secs_f64();
        let within_stay = 2.0 * PEAK_DEVIATIONS * deviation * time.min(1.0);
        to_peak.clamp(0.0, within_stay)
    }
}

/// Logarithm of the factor below a serving task's target up to which placement loads it with a
/// best-effort task that uses `share` of the VM and stays for `stay`. `weight_error` is the
/// standard error of the interference weight of the two images.
#[must_use]
pub fn margin(weight_error: f64, share: f64, baseline: &Baseline, stay: Duration) -> f64 {
    let effect_error = weight_error * share;
    let rise = baseline.expected_rise(stay);
    (COVERED_DEVIATIONS * effect_error.hypot(rise)).clamp(MIN_MARGIN, MAX_MARGIN)
}
