//! Plug-ins that register themselves.
//!
//! A crate defines a plug-in type and collects it with `inventory::collect!`.
//! Each plug-in submits itself in the file that defines it, so a new object
//! kind, placement rule or report needs no change of a list. `inventory`
//! guarantees no order; [`registered`] sorts by name, so that decisions and
//! output are repeatable.

pub use inventory;

/// A type of plug-in, looked up by name.
pub trait Plugin: inventory::Collect + Sync + 'static {
    /// The unique name of this plug-in within its type.
    fn name(&self) -> &'static str;
}

/// Returns all plug-ins of type `P`, sorted by name.
#[must_use]
pub fn registered<P: Plugin>() -> Vec<&'static P> {
    let mut all: Vec<&'static P> = inventory::iter::<P>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name());
    all
}

/// Returns the plug-in of type `P` called `name`, if there is one.
#[must_use]
pub fn find<P: Plugin>(name: &str) -> Option<&'static P> {
    inventory::iter::<P>
        .into_iter()
        .find(|plugin| plugin.name() == name)
}
