//! The history of a race, checked for linearizability by a library.

use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

/// What one operator asked for, and what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Published the set of this number; the revision if it took effect.
    Publish(u64, Option<u64>),
    /// Read the head: its revision and the number of its set.
    Read(u64, u64),
}

/// An operation begins or ends.
pub(crate) type Step = (usize, Action<Operation>);

/// The published configuration as one register that counts its changes.
struct Register;

impl Specification for Register {
    /// The revision and the number of the set.
    type State = (u64, u64);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        match *operation {
            Operation::Publish(_, None) => (true, *state),
            Operation::Publish(set, Some(revision)) => (revision == state.0 + 1, (revision, set)),
            Operation::Read(revision, set) => (*state == (revision, set), *state),
        }
    }
}

/// Fails unless some order of the operations explains all that was seen.
pub(crate) fn assert_linearizable(steps: Vec<Step>) {
    let effects = steps
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(Operation::Publish(_, Some(_)))));
    assert!(effects.count() > 1, "nothing raced");
    let shown = format!("{steps:#?}");
    let history = History::from_actions(steps);
    assert!(WGLChecker::<Register>::is_linearizable(history), "{shown}");
}
