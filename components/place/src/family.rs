//! Which jobs are runs of the same work.

use kernel::JobName;

/// The name that repeated jobs have in common: what stays without the numbers,
/// dates and separators at its end.
///
/// A submitter names each job afresh, often by date, so what was learnt of
/// `statements-2026-49` has to serve `statements-2026-50`.
#[must_use]
pub fn family(job: &JobName) -> JobName {
    let counts = |c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    let stem = job.as_str().trim_end_matches(counts);
    if stem.len() == job.as_str().len() {
        return job.clone();
    }
    JobName::new(stem).unwrap_or_else(|_| job.clone())
}
