//! What teams hold and want, summed over a cell.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Resources, TeamName};

/// What a team holds and wants in one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSum {
    /// What its batch tasks hold.
    pub held: Resources,
    /// What its waiting tasks need, as far as they are queued.
    pub wanted: Resources,
    /// What the largest of them needs.
    pub largest: Resources,
}

/// The sums of the teams that hold or want something in one cell.
pub type TeamSums = BTreeMap<TeamName, TeamSum>;
