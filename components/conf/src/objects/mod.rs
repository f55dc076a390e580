//! Reads and checks the operators' object set.
//!
//! Each kind of object registers itself, see [`ObjectKind`]. A set is accepted
//! as a whole or not at all, see `docs/CONFIGURATION.md`.

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

/// Parses and checks a whole set.
///
/// # Errors
///
/// Returns all problems found, with file, line, field and remedy.
pub fn parse(sources: &[SourceFile]) -> Result<ObjectSet, Problems> {
    let parsed = Parsed::parse(sources);
    let mut findings = Findings::default();
    references::check(&parsed.set, |id| parsed.may_exist(id), &mut findings);
    check_kinds(&parsed.set, &mut findings);
    parsed.finish(findings)
}

/// Checks a set that was not read from files, such as an edited one.
///
/// # Errors
///
/// Returns all problems found, without file and line.
pub fn check(set: &ObjectSet) -> Result<(), Problems> {
    let mut findings = Findings::default();
    let ids = references::object_ids(set);
    references::check(set, |id| ids.contains(id), &mut findings);
    check_kinds(set, &mut findings);
    let problems = findings.into_iter().map(Finding::into_problem);
    Problems(problems.collect()).into_result()
}

fn check_kinds(set: &ObjectSet, findings: &mut Findings) {
    for kind in registered::<ObjectKind>() {
        (kind.check)(set, findings);
    }
}
