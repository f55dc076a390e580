//! References between objects: each must lead somewhere and none in a circle.

use std::collections::{BTreeMap, BTreeSet};

use kernel::{ObjectSet, plugin::registered};

use super::{Findings, ObjectId, ObjectKind};

/// A field of one object that names another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// The object that has the field.
    pub from: ObjectId,
    /// The field.
    pub field: String,
    /// The object that it names.
    pub to: ObjectId,
}

impl Reference {
    /// The reference from `from` by `field` to `to`.
    #[must_use]
    pub fn new(from: &ObjectId, field: impl Into<String>, to: ObjectId) -> Self {
        Self {
            from: from.clone(),
            field: field.into(),
            to,
        }
    }
}

/// The objects of all kinds.
pub(super) fn names(set: &ObjectSet) -> BTreeSet<ObjectId> {
    let mut names = BTreeSet::new();
    for kind in registered::<ObjectKind>() {
        let of_kind = (kind.export)(set);
        names.extend(of_kind.keys().map(|name| ObjectId::new(kind.name, name)));
    }
    names
}

/// Finds references that lead nowhere or in a circle.
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
    check_circles(&edges, findings);
}

/// Reports each circle once, at its first object in order.
fn check_circles(edges: &BTreeMap<ObjectId, Vec<Reference>>, findings: &mut Findings) {
    let mut done = BTreeSet::new();
    for start in edges.keys() {
        let Some(circle) = circle_through(start, edges) else {
            continue;
        };
        let is_new = circle
            .iter()
            .all(|reference| done.insert(reference.from.clone()));
        if !is_new {
            continue;
        }
        let steps: Vec<String> = circle.iter().map(|step| step.to.to_string()).collect();
        findings.add(
            start,
            circle[0].field.clone(),
            format!("it leads back to itself: {start} -> {}", steps.join(" -> ")),
            "remove one of these references",
        );
    }
}

/// A shortest way from `start` back to it.
fn circle_through(
    start: &ObjectId,
    edges: &BTreeMap<ObjectId, Vec<Reference>>,
) -> Option<Vec<Reference>> {
    let mut seen = BTreeSet::new();
    let mut ways: Vec<Vec<Reference>> = vec![Vec::new()];
    while !ways.is_empty() {
        let mut longer = Vec::new();
        for way in ways {
            let end = way.last().map_or(start, |step| &step.to);
            for reference in edges.get(end).into_iter().flatten() {
                let mut next = way.clone();
                next.push(reference.clone());
                if reference.to == *start {
                    return Some(next);
                }
                if seen.insert(reference.to.clone()) {
                    longer.push(next);
                }
            }
        }
        ways = longer;
    }
    None
}
