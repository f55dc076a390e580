//! A budget for extra attempts.

/// What one extra attempt costs, in hundredths of a token.
const ATTEMPT_COST: u32 = 100;
/// What a budget starts with, in hundredths of a token.
const INITIAL: u32 = 3 * ATTEMPT_COST;
/// The most that a budget saves up, in hundredths of a token.
const MAX_SAVED: u32 = 10 * ATTEMPT_COST;

/// Allows extra attempts up to a share of the good answers.
///
/// Each good answer earns a part of a token and each extra attempt costs one.
/// So the budget shrinks as failures spread, and a full outage leaves only the
/// few tokens that were saved. It starts with enough for a failure or two, since
/// a service with few requests would else earn the first token too late.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    saved: u32,
}

impl Budget {
    /// A budget with the first few tokens that earns `percent` hundredths of a token per answer.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            saved: INITIAL,
        }
    }

    /// Changes the share and keeps what was saved.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Notes one good answer.
    pub fn earn(&mut self) {
        self.saved = self.saved.saturating_add(self.percent).min(MAX_SAVED);
    }

    /// Takes one token if there is one.
    pub const fn spend(&mut self) -> bool {
        if self.saved < ATTEMPT_COST {
            return false;
        }
        self.saved -= ATTEMPT_COST;
        true
    }
}
