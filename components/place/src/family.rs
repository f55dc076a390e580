//! Families of repeated jobs.

use kernel::JobName;

/// Returns the name that repeated jobs have in common: the job's name without
/// the digits and separators at its end.
///
/// Each submitted job has a new name, often with a date, so measurements of
/// `statements-2026-49` must apply to `statements-2026-50`.
#[must_use]
pub fn family(job: &JobName) -> JobName {
    let is_suffix = |c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    let stem = job.as_str().trim_end_matches(is_suffix);
    if stem.len() == job.as_str().len() {
        return job.clone();
    }
    JobName::new(stem).unwrap_or_else(|_| job.clone())
}
