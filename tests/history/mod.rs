//! Checks the history of racing operators for linearizability, with `todc_utils`.

use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

/// An operation of one operator, with its result once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Publication of the set with this number; the revision if it took effect.
    Publish(u64, Option<u64>),
    /// Read of the head: its revision and the number of its set.
    Read(u64, u64),
}

/// The start or end of an operation, with the index of its operator.
pub(crate) type HistoryStep = (usize, Action<Operation>);

/// The published configuration, modelled as one register that counts its changes.
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

/// Panics unless some order of the operations explains all results.
pub(crate) fn assert_linearizable(steps: Vec<HistoryStep>) {
    let effects = steps
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(Operation::Publish(_, Some(_)))));
    assert!(
        effects.count() > 1,
        "fewer than two publications took effect"
    );
    let shown = format!("{steps:#?}");
    let history = History::from_actions(steps);
    assert!(WGLChecker::<Register>::is_linearizable(history), "{shown}");
}
