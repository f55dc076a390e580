//! How much tasks of an image disturb those that serve, learnt from reports.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{Time, VmName};
use place::interference::SlowdownModel;

use super::{Owner, vm::Vm};
use crate::message::{Role, Running};

/// Figures cover half a second; an earlier report would count the same twice.
const LEARN_INTERVAL: Duration = Duration::from_millis(450);
/// What an unknown image is taken to do, as the logarithm of the factor on the
/// tail latency beside tasks that use all of a VM: between harmless and the
/// usual target of five times the undisturbed latency.
pub(super) const PRIOR: f64 = 1.2;
/// A changed weight is told to keepers from this difference on.
const NOTICEABLE: f64 = 0.15;

/// What is known of images.
#[derive(Debug, Default)]
pub(super) struct Harm {
    /// One model for each image that serves.
    models: BTreeMap<Arc<str>, SlowdownModel<Arc<str>>>,
    learnt: BTreeMap<VmName, Time>,
    /// The weights that keepers are told.
    told: BTreeMap<Arc<str>, f64>,
    /// Rises when what keepers are told changes.
    version: u64,
}

impl Harm {
    /// The weight of an image, the mean over those that serve beside it.
    pub(super) fn weight(&self, image: Option<&Arc<str>>) -> f64 {
        let Some(image) = image else {
            return PRIOR;
        };
        let mut sum = 0.0;
        let mut count = 0.0;
        for model in self.models.values() {
            if let Some(weight) = model.slowdown(image) {
                sum += weight;
                count += 1.0;
            }
        }
        if count == 0.0 { PRIOR } else { sum / count }
    }

    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// The weights that keepers need.
    pub(super) fn told(&self) -> Vec<(Arc<str>, f64)> {
        let weights = self.told.iter();
        weights
            .map(|(image, weight)| (Arc::clone(image), *weight))
            .collect()
    }

    fn tell(&mut self, image: &Arc<str>) {
        let weight = self.weight(Some(image));
        let told = self.told.get(image).copied();
        if told.is_some_and(|told| (told - weight).abs() < NOTICEABLE) {
            return;
        }
        tracing::info!(%image, weight, before = told, "weight of an image");
        self.told.insert(Arc::clone(image), weight);
        self.version += 1;
    }
}

/// The processor time in use by image, as a part of the VM's, of tasks that fill.
fn parts(vm: &Vm, running: &[Running]) -> Vec<(Arc<str>, f64, f64)> {
    let capacity = vm
        .info
        .as_ref()
        .map_or(1, |info| info.room.cpu_milli.max(1)) as f64;
    let mut sums: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for row in running {
        let Some(held) = vm.held.get(&row.key) else {
            continue;
        };
        if let Role::Fills { image: Some(image) } = &held.role {
            *sums.entry(Arc::clone(image)).or_default() += row.figure as f64 / capacity;
        }
    }
    sums.into_iter()
        .map(|(image, part)| (image, part, PRIOR))
        .collect()
}

impl Owner {
    /// Learns from what a worker lists.
    pub(super) fn learn(&mut self, now: Time, name: &VmName, running: &[Running]) {
        let learnt = self.harm.learnt.get(name).copied().unwrap_or(Time::ZERO);
        if !(learnt + LEARN_INTERVAL).passed(now) {
            return;
        }
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        let parts = parts(vm, running);
        for row in running {
            let role = vm.held.get(&row.key).map(|held| &held.role);
            let Some(Role::Serves {
                image: Some(image), ..
            }) = role
            else {
                continue;
            };
            if row.figure == 0 {
                continue;
            }
            let model = self.harm.models.entry(Arc::clone(image)).or_default();
            model.learn(now, row.figure.saturating_mul(1_000), &parts);
        }
        self.harm.learnt.insert(name.clone(), now);
        for (image, _, _) in &parts {
            self.harm.tell(image);
        }
    }
}
