//! Actual slowdowns and noise of the simulation, unknown to the policy.

use kernel::JobName;
use rand::Rng;

/// The standard deviation of the logarithm of an undisturbed latency.
pub(crate) const NOISE: f64 = 0.3;

/// Returns the logarithm of the factor on a service's latency if tasks of a job
/// used all cores of the endpoint's VM.
pub(crate) fn slowdown(service: &str, job: &JobName) -> f64 {
    let family = job.as_str().split('-').next().unwrap_or_default();
    match (service, family) {
        ("lookups", "scans") | ("tickets", "photos") => 1.6,
        (_, "reconciliations") => 0.3,
        (_, "dumps") => 1.2,
        _ => 0.05,
    }
}

/// Returns a random factor whose logarithm has the standard deviation
/// `deviation`.
pub(crate) fn noise(rng: &mut impl Rng, deviation: f64) -> f64 {
    // The sum of twelve uniform numbers approximates a normal distribution.
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    (deviation * (sum - 6.0)).exp()
}
