//! Settings of a process and the operators object set.
