//! Edits of the published set, such as taking an availability zone out of service.

use kernel::{
    AvailabilityZoneName, ObjectSet, Verdict, VmName,
    object::{AvailabilityZone, ZoneState},
};
use store::{Store, backoff::Backoff};

use super::{ApplyInfo, LoadError, Loader, PublishError, Published, try_publish};
use crate::{Problem, Problems, objects};

/// Maximum number of attempts of an edit while others publish concurrently.
const MAX_ATTEMPTS: u32 = 64;

/// Error of an edit, which was not published or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// The edit is not valid for the set in force.
    #[error(transparent)]
    Invalid(#[from] Problems),
    /// Publishing the edited set failed.
    #[error(transparent)]
    Publish(#[from] PublishError),
}

impl EditError {
    /// Returns the verdict on whether the edit may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Invalid(_) => Verdict::NotRun,
            Self::Publish(error) => error.verdict(),
        }
    }
}

/// Applies `change` to the newest set and publishes the result. If others publish
/// concurrently, starts again from the new set, so that no change is lost.
///
/// # Errors
///
/// Returns an [`EditError`] if `change` or the check of the changed set fails, or if
/// the store fails.
pub async fn edit(
    store: &dyn Store,
    apply: &ApplyInfo,
    change: impl Fn(&mut ObjectSet) -> Result<(), Problems> + Send + Sync,
) -> Result<Published, EditError> {
    let mut loader = Loader::default();
    let mut backoff = Backoff::with_random_seed();
    loop {
        let mut loaded = loader.load(store).await.map_err(PublishError::from)?;
        if let Some(revision) = loaded.head.applied_revision(&apply.id) {
            return Ok(Published {
                revision,
                changed: true,
            });
        }
        change(&mut loaded.objects)?;
        objects::check(&loaded.objects)?;
        let published = try_publish(store, &loaded.head, &loaded.objects, apply).await?;
        if let Some(published) = published {
            return Ok(published);
        }
        if backoff.failures() >= MAX_ATTEMPTS {
            return Err(PublishError::Load(LoadError::TooManyChanges).into());
        }
        smol::Timer::after(backoff.next_delay()).await;
    }
}

/// Sets the state of an availability zone.
///
/// # Errors
///
/// Returns a problem if the set has no such availability zone.
pub fn set_zone_state(
    set: &mut ObjectSet,
    name: &AvailabilityZoneName,
    state: ZoneState,
) -> Result<(), Problems> {
    zone(set, name)?.state = state;
    Ok(())
}

/// Drains a VM: it gets no new tasks.
///
/// # Errors
///
/// Returns a problem if the set has no such availability zone.
pub fn drain_vm(
    set: &mut ObjectSet,
    name: &AvailabilityZoneName,
    vm: &VmName,
) -> Result<(), Problems> {
    let zone = zone(set, name)?;
    if !zone.drained.contains(vm) {
        zone.drained.push(vm.clone());
    }
    Ok(())
}

/// Ends the draining of a VM in whichever availability zone lists it as drained.
///
/// # Errors
///
/// Returns a problem if the VM is not drained.
pub fn undrain_vm(set: &mut ObjectSet, vm: &VmName) -> Result<(), Problems> {
    let mut found = false;
    for zone in set.zones.values_mut() {
        found |= zone.drained.contains(vm);
        zone.drained.retain(|drained| drained != vm);
    }
    if found {
        return Ok(());
    }
    Err(Problems(vec![Problem {
        message: format!("the VM {vm} is not drained"),
        remedy: "list the drained VMs with `get`".to_owned(),
        ..Problem::default()
    }]))
}

fn zone<'s>(
    set: &'s mut ObjectSet,
    name: &AvailabilityZoneName,
) -> Result<&'s mut AvailabilityZone, Problems> {
    set.zones.get_mut(name).ok_or_else(|| {
        Problems(vec![Problem {
            field: format!("zone.{name}"),
            message: "there is no such availability zone".to_owned(),
            remedy: format!("publish [zone.{name}] or name an existing one"),
            ..Problem::default()
        }])
    })
}
