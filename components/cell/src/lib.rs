//! Ownership of cells and the task state machine.
