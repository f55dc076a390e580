//! Budget for extra attempts, that is retries and hedges.

/// Cost of one extra attempt, in hundredths of a token.
const ATTEMPT_COST_HUNDREDTHS: u32 = 100;
/// Initial budget, in hundredths of a token.
const INITIAL_HUNDREDTHS: u32 = 3 * ATTEMPT_COST_HUNDREDTHS;
/// Upper bound of a budget, in hundredths of a token.
const MAX_SAVED_HUNDREDTHS: u32 = 10 * ATTEMPT_COST_HUNDREDTHS;

/// Limits extra attempts to a share of the good answers.
///
/// Each good answer earns a fraction of a token and each extra attempt costs one token.
/// The budget therefore shrinks as failures spread, and a full outage leaves only the
/// few saved tokens. It starts with enough tokens for a failure or two, since a service
/// with few requests would otherwise earn its first token too late.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    percent: u32,
    saved_hundredths: u32,
}

impl AttemptBudget {
    /// Returns the initial budget; each good answer earns `percent` hundredths of a token.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            saved_hundredths: INITIAL_HUNDREDTHS,
        }
    }

    /// Changes the share and keeps the saved tokens.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the share that one good answer earns.
    pub fn earn(&mut self) {
        self.saved_hundredths = self
            .saved_hundredths
            .saturating_add(self.percent)
            .min(MAX_SAVED_HUNDREDTHS);
    }

    /// Spends one token if there is one; returns whether it did.
    pub const fn try_spend(&mut self) -> bool {
        if self.saved_hundredths < ATTEMPT_COST_HUNDREDTHS {
            return false;
        }
        self.saved_hundredths -= ATTEMPT_COST_HUNDREDTHS;
        true
    }
}
