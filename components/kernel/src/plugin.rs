//! Plug-ins that register themselves.
//!
//! An area defines a plug-in type, collects it with `inventory::collect!` and
//! each plug-in submits itself where it is written, so adding an object kind,
//! a placement rule or a report touches no list. `inventory` gives no order;
//! [`registered`] sorts by name, so that decisions and output are repeatable.

pub use inventory;

/// A type of plug-in, found by name.
pub trait Plugin: inventory::Collect + Sync + 'static {
    /// The unique name of this plug-in within its type.
    fn name(&self) -> &'static str;
}

/// All plug-ins of type `P`, in the order of their names.
#[must_use]
pub fn registered<P: Plugin>() -> Vec<&'static P> {
    let mut all: Vec<&'static P> = inventory::iter::<P>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name());
    all
}

/// The plug-in of type `P` called `name`.
#[must_use]
pub fn find<P: Plugin>(name: &str) -> Option<&'static P> {
    inventory::iter::<P>
        .into_iter()
        .find(|plugin| plugin.name() == name)
}
