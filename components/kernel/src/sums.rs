//! Resources that teams hold and demand, summed over a cell.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Resources, TeamName};

/// Resources that a team holds and demands in one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSum {
    /// The resources that its batch tasks hold.
    pub held: Resources,
    /// The resources that its waiting tasks need, as far as they are queued.
    pub wanted: Resources,
    /// The largest need of a waiting task, in each dimension.
    pub largest: Resources,
}

/// The sums of all teams that hold or demand resources in one cell.
pub type TeamSums = BTreeMap<TeamName, TeamSum>;
