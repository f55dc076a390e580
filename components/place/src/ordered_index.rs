//! Workers in the order of an amount that is free on each.

use std::collections::{BTreeMap, BTreeSet};

/// Workers in the order of an amount, such as the free capacity, in each of the groups
/// that they belong to, such as a service or a rack.
///
/// An entry changes with its worker, so a choice examines the first few workers of a
/// group and need not go over all of them. See `docs/PLACEMENT.md`.
#[derive(Clone, Debug)]
pub struct OrderedIndex<G, W> {
    groups: BTreeMap<G, BTreeMap<i64, BTreeSet<W>>>,
    entries: BTreeMap<W, (Vec<G>, i64)>,
}

impl<G, W> Default for OrderedIndex<G, W> {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }
}

impl<G: Clone + Ord, W: Clone + Ord> OrderedIndex<G, W> {
    /// Enters a worker with its groups and its amount, or moves it there.
    pub fn set(&mut self, worker: &W, groups: &[G], amount: i64) {
        let is_current = self
            .entries
            .get(worker)
            .is_some_and(|(known, at)| known == groups && *at == amount);
        if is_current {
            return;
        }
        self.remove(worker);
        for group in groups {
            let amounts = self.groups.entry(group.clone()).or_default();
            amounts.entry(amount).or_default().insert(worker.clone());
        }
        let entry = (groups.to_vec(), amount);
        self.entries.insert(worker.clone(), entry);
    }

    /// Removes a worker, if it is known.
    pub fn remove(&mut self, worker: &W) {
        let Some((groups, amount)) = self.entries.remove(worker) else {
            return;
        };
        for group in groups {
            let Some(amounts) = self.groups.get_mut(&group) else {
                continue;
            };
            if let Some(workers) = amounts.get_mut(&amount) {
                workers.remove(worker);
                if workers.is_empty() {
                    amounts.remove(&amount);
                }
            }
            if amounts.is_empty() {
                self.groups.remove(&group);
            }
        }
    }

    /// The workers of a group with at least this amount, the largest amount first.
    pub fn most_first<'a>(&'a self, group: &'a G, least: i64) -> impl Iterator<Item = &'a W> {
        let amounts = self.groups.get(group).into_iter();
        amounts.flat_map(move |amounts| amounts.range(least..).rev().flat_map(|(_, ws)| ws))
    }

    /// The workers of a group with at least this amount, the smallest amount first.
    pub fn least_first<'a>(&'a self, group: &'a G, least: i64) -> impl Iterator<Item = &'a W> {
        let amounts = self.groups.get(group).into_iter();
        amounts.flat_map(move |amounts| amounts.range(least..).flat_map(|(_, ws)| ws))
    }
}
