//! The operators' object set: read, checked together, taken apart and put
//! together again.
//!
//! Each kind of object registers itself, see [`ObjectKind`]. A set is accepted
//! as a whole or not at all; see `docs/CONFIGURATION.md`.

mod finding;
mod kind;
mod kinds;
mod references;
mod source;

use kernel::{ObjectSet, plugin::registered};

pub use finding::{Finding, Findings, ObjectId};
pub use kind::{ExportedObjects, ImportError, ObjectKind};
pub use references::Reference;
pub use source::{SourceFile, read_dir};

use crate::problem::Problems;
use source::Parsed;

/// Reads and checks a whole set.
///
/// # Errors
///
/// Returns all problems found, with file, line, field and what to do.
pub fn parse(sources: &[SourceFile]) -> Result<ObjectSet, Problems> {
    let parsed = Parsed::read(sources);
    let mut findings = Findings::default();
    references::check(&parsed.set, |id| parsed.knows(id), &mut findings);
    check_kinds(&parsed.set, &mut findings);
    parsed.finish(findings)
}

/// Checks a set that no file stands behind, such as an edited one.
///
/// # Errors
///
/// Returns all problems found, without file and line.
pub fn check(set: &ObjectSet) -> Result<(), Problems> {
    let mut findings = Findings::default();
    let names = references::names(set);
    references::check(set, |id| names.contains(id), &mut findings);
    check_kinds(set, &mut findings);
    let problems = findings.into_iter().map(Finding::into_problem);
    Problems(problems.collect()).into_result()
}

fn check_kinds(set: &ObjectSet, findings: &mut Findings) {
    for kind in registered::<ObjectKind>() {
        (kind.check)(set, findings);
    }
}
