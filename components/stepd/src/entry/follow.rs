//! Following the store: what operators wrote, and what our processes did.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::AvailabilityZoneName;
use store::{Change, KeyRange, KeyValue, RangeFollower, RangeUpdate};

use super::{
    Shared,
    index::{Fact, in_order, read},
};
use crate::{edge::OperatorItem, keys};

/// Follows what operators wrote.
pub(super) async fn operators(shared: Arc<Shared>) {
    let prefix = shared.codec.operator_key_prefix();
    let mut follow = RangeFollower::new(Arc::clone(&shared.store), KeyRange::prefix(prefix));
    let mut zones: BTreeMap<String, AvailabilityZoneName> = BTreeMap::new();
    loop {
        let news = follow.next().await;
        shared.heard_store();
        match news {
            RangeUpdate::Snapshot(revision, kvs) => {
                tracing::info!(revision, items = kvs.len(), "operators' items read");
                zones.clear();
                for kv in &kvs {
                    take(&shared, kv, &mut zones);
                }
                publish_zones(&shared, &zones);
            }
            RangeUpdate::Changes(_, changes) => {
                if changes.is_empty() {
                    continue;
                }
                for change in &changes {
                    match change {
                        Change::Put(kv) => take(&shared, kv, &mut zones),
                        Change::Deleted(key, _) => {
                            if let Some(zone) = zones.remove(key) {
                                tracing::info!(%zone, "zone takes work again");
                            }
                        }
                    }
                }
                publish_zones(&shared, &zones);
            }
        }
    }
}

fn take(shared: &Shared, kv: &KeyValue, zones: &mut BTreeMap<String, AvailabilityZoneName>) {
    match shared.codec.decode_operator_item(&kv.key, &kv.value) {
        Ok(Some(OperatorItem::Config(config))) => {
            let known = shared
                .config
                .load()
                .as_ref()
                .map_or(0, |known| known.version);
            if config.version < known {
                return;
            }
            tracing::info!(
                version = config.version,
                queues = config.queues.len(),
                revision = kv.modified,
                "configuration in force"
            );
            shared.config.store(Some(Arc::clone(&config)));
            if let Some(term) = shared.term() {
                term.handle(steps::Event::Config(config));
            }
        }
        Ok(Some(OperatorItem::ZoneOut(zone))) => {
            tracing::info!(%zone, revision = kv.modified, "zone takes no new work");
            zones.insert(kv.key.clone(), zone);
        }
        Ok(None) => {}
        Err(error) => {
            tracing::warn!(key = kv.key, %error, "an operator's item can't be read and is ignored");
        }
    }
}

fn publish_zones(shared: &Shared, zones: &BTreeMap<String, AvailabilityZoneName>) {
    let out: BTreeSet<AvailabilityZoneName> = zones.values().cloned().collect();
    shared.index().zones_out.clone_from(&out);
    if let Some(term) = shared.term() {
        term.handle(steps::Event::ZonesOut(out));
    }
}

/// Follows what our processes wrote.
pub(super) async fn own(shared: Arc<Shared>) {
    let mut follow = RangeFollower::new(Arc::clone(&shared.store), keys::followed());
    loop {
        let news = follow.next().await;
        shared.heard_store();
        let facts = match news {
            RangeUpdate::Snapshot(revision, kvs) => {
                tracing::info!(revision, items = kvs.len(), "jobs and agents read");
                let mut index = shared.index();
                index.clear();
                index.is_read = true;
                in_order(&kvs)
            }
            RangeUpdate::Changes(_, changes) => changes.iter().filter_map(read).collect(),
        };
        let owner_before = shared.index().owner().cloned();
        let mut is_owner_told = false;
        {
            let mut index = shared.index();
            for fact in &facts {
                is_owner_told |= matches!(fact, Fact::Owner(_));
                index.apply(fact);
            }
        }
        if let Some(term) = shared.term() {
            term.take_facts(&facts);
        }
        let owner_now = shared.index().owner().cloned();
        if owner_before != owner_now {
            match &owner_now {
                Some(owner) => {
                    tracing::info!(owner = %owner.entry, epoch = owner.epoch, "owner of the jobs");
                }
                None => tracing::info!("nobody owns the jobs"),
            }
        }
        if is_owner_told || owner_before != owner_now || owner_now.is_none() {
            shared.owner_changed.notify(usize::MAX);
        }
    }
}
