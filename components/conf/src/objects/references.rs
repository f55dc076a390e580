//! Checks references between objects: each target must exist, and there must be
//! no cycle.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ObjectSet, plugin::registered};

use super::{Findings, ObjectId, ObjectKind};

/// A field of one object that names another object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// Object that has the field.
    pub from: ObjectId,
    /// Path of the field within the object.
    pub field: String,
    /// Object that the field names.
    pub to: ObjectId,
}

impl Reference {
    /// Creates the reference from `from` to `to` by `field`.
    #[must_use]
    pub fn new(from: &ObjectId, field: impl Into<String>, to: ObjectId) -> Self {
        Self {
            from: from.clone(),
            field: field.into(),
            to,
        }
    }
}

/// Returns the identities of all objects of all kinds.
pub(super) fn object_ids(set: &ObjectSet) -> BTreeSet<ObjectId> {
    let mut ids = BTreeSet::new();
    for kind in registered::<ObjectKind>() {
        let of_kind = (kind.export)(set);
        ids.extend(of_kind.keys().map(|name| ObjectId::new(kind.name, name)));
    }
    ids
}

/// Finds references to missing objects and cycles of references.
pub(super) fn check(set: &ObjectSet, exists: impl Fn(&ObjectId) -> bool, findings: &mut Findings) {
    let mut edges: BTreeMap<ObjectId, Vec<Reference>> = BTreeMap::new();
    for kind in registered::<ObjectKind>() {
        for reference in (kind.references)(set) {
            if !exists(&reference.to) {
                let ObjectId { kind, name } = &reference.to;
                findings.add(
                    &reference.from,
                    reference.field,
                    format!("there is no {kind} named {name}"),
                    format!("add [{kind}.{name}] or name an existing {kind}"),
                );
                continue;
            }
            edges
                .entry(reference.from.clone())
                .or_default()
                .push(reference);
        }
    }
    check_cycles(&edges, findings);
}

/// Reports each cycle once, at its first object in order.
fn check_cycles(edges: &BTreeMap<ObjectId, Vec<Reference>>, findings: &mut Findings) {
    let mut reported = BTreeSet::new();
    for start in edges.keys() {
        let Some(cycle) = shortest_cycle(start, edges) else {
            continue;
        };
        let is_new = cycle
            .iter()
            .all(|reference| reported.insert(reference.from.clone()));
        if !is_new {
            continue;
        }
        let steps: Vec<String> = cycle.iter().map(|step| step.to.to_string()).collect();
        findings.add(
            start,
            cycle[0].field.clone(),
            format!("it leads back to itself: {start} -> {}", steps.join(" -> ")),
            "remove one of these references",
        );
    }
}

/// Returns a shortest cycle through `start`, found by breadth-first search.
fn shortest_cycle(
    start: &ObjectId,
    edges: &BTreeMap<ObjectId, Vec<Reference>>,
) -> Option<Vec<Reference>> {
    let mut visited = BTreeSet::new();
    let mut paths: Vec<Vec<Reference>> = vec![Vec::new()];
    while !paths.is_empty() {
        let mut longer = Vec::new();
        for path in paths {
            let end = path.last().map_or(start, |step| &step.to);
            for reference in edges.get(end).into_iter().flatten() {
                let mut next = path.clone();
                next.push(reference.clone());
                if reference.to == *start {
                    return Some(next);
                }
                if visited.insert(reference.to.clone()) {
                    longer.push(next);
                }
            }
        }
        paths = longer;
    }
    None
}
