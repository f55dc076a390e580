//! Follows the keys of operators and of the daemons in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::AvailabilityZoneName;
use store::{Change, KeyRange, KeyValue, RangeFollower, RangeUpdate};

use super::{
    Shared, Term,
    index::{KeyUpdate, jobs_first, parse_change},
};
use crate::{edge::OperatorItem, keys};

/// Follows the items that operators write: the configuration and evacuated zones.
pub(super) async fn operator_items(shared: Arc<Shared>) {
    let prefix = shared.codec.operator_key_prefix();
    let mut follower = RangeFollower::newest(Arc::clone(&shared.store), KeyRange::prefix(prefix));
    let mut zones: BTreeMap<String, AvailabilityZoneName> = BTreeMap::new();
    loop {
        let update = follower.next().await;
        shared.record_store_reply();
        let has_changes = match &update {
            RangeUpdate::Snapshot(..) => true,
            RangeUpdate::Changes(_, changes) => !changes.is_empty(),
        };
        match update {
            RangeUpdate::Snapshot(revision, kvs) => {
                tracing::info!(revision, items = kvs.len(), "items of operators loaded");
                zones.clear();
                for kv in &kvs {
                    apply_operator_item(&shared, kv, &mut zones);
                }
                publish_zones(&shared, &zones);
            }
            RangeUpdate::Changes(..) if !has_changes => {}
            RangeUpdate::Changes(_, changes) => {
                for change in &changes {
                    match change {
                        Change::Put(kv) => apply_operator_item(&shared, kv, &mut zones),
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
        if let Some(complete_at) = follower.complete_at() {
            shared.record_operator_items(complete_at);
        }
        if let Some(term) = shared.term() {
            pass_operator_items_on(&shared, &term);
        }
    }
}

/// Tells the owner when its configuration and zones out were last known to be the newest.
pub(super) fn pass_operator_items_on(shared: &Shared, term: &Arc<Term>) {
    if let Some(at) = shared.operator_items_at() {
        term.handle(steps::Event::OperatorItemsCurrent(at));
    }
}

fn apply_operator_item(
    shared: &Shared,
    kv: &KeyValue,
    zones: &mut BTreeMap<String, AvailabilityZoneName>,
) {
    match shared.codec.decode_operator_item(&kv.key, &kv.value) {
        Ok(Some(OperatorItem::Config(config))) => {
            let known_version = shared
                .config
                .load()
                .as_ref()
                .map_or(0, |config| config.version);
            if config.version < known_version {
                return;
            }
            tracing::info!(
                version = config.version,
                queues = config.queues.len(),
                bytes = kv.value.len(),
                revision = kv.modified,
                last_current_ms = shared.config_age().map(|age| age.as_millis() as u64),
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
            tracing::warn!(key = kv.key, %error, "can't decode an item of an operator; ignored");
        }
    }
}

fn publish_zones(shared: &Shared, zones: &BTreeMap<String, AvailabilityZoneName>) {
    let zones_out: BTreeSet<AvailabilityZoneName> = zones.values().cloned().collect();
    shared.index().zones_out.clone_from(&zones_out);
    if let Some(term) = shared.term() {
        term.handle(steps::Event::ZonesOut(zones_out));
    }
}

/// Follows the keys that entries and agents write.
pub(super) async fn own_keys(shared: Arc<Shared>) {
    let mut follower = RangeFollower::new(Arc::clone(&shared.store), keys::followed());
    loop {
        let update = follower.next().await;
        shared.record_store_reply();
        let mut has_entry_update = matches!(update, RangeUpdate::Snapshot(..));
        let updates = match update {
            RangeUpdate::Snapshot(revision, kvs) => {
                tracing::info!(revision, items = kvs.len(), "jobs and agents loaded");
                let mut index = shared.index();
                index.clear();
                index.is_loaded = true;
                jobs_first(&kvs)
            }
            RangeUpdate::Changes(_, changes) => changes.iter().filter_map(parse_change).collect(),
        };
        let owner_before = shared.index().owner().cloned();
        let mut has_owner_update = false;
        {
            let mut index = shared.index();
            for update in &updates {
                has_owner_update |= matches!(update, KeyUpdate::Owner(_));
                has_entry_update |=
                    matches!(update, KeyUpdate::Announced(..) | KeyUpdate::Withdrawn(_));
                index.apply(update);
            }
        }
        if has_entry_update {
            let announcements = shared.index().announcements();
            let mut candidacy = shared.candidacy();
            candidacy.observe(shared.clock.now(), &announcements);
        }
        if let Some(term) = shared.term() {
            term.take_updates(&updates);
        }
        let owner_now = shared.index().owner().cloned();
        if owner_before != owner_now {
            match &owner_now {
                Some(owner) => {
                    tracing::info!(owner = %owner.entry, epoch = owner.epoch, "owner of the jobs");
                }
                None => tracing::info!("no entry owns the jobs"),
            }
        }
        let has_candidate_update = has_owner_update || has_entry_update;
        if has_candidate_update || owner_before != owner_now || owner_now.is_none() {
            shared.owner_changed.notify(usize::MAX);
        }
    }
}
