//! Placement, admission, fairness and eviction decisions.
