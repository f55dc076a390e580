//! A budget for extra attempts.

/// The most tokens that a budget saves up.
const MAX_SAVED_TOKENS: f64 = 10.0;

/// Allows extra attempts up to a share of the good answers.
///
/// Each good answer earns a part of a token and each extra attempt costs one.
/// So the budget shrinks as failures spread, and a full outage leaves only the
/// few tokens that were saved. It starts empty: a saved-up start would be extra
/// load exactly when all entries restart.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    tokens: f64,
}

impl Budget {
    /// An empty budget that earns `percent` hundredths of a token per answer.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            tokens: 0.0,
        }
    }

    /// Changes the share and keeps what was saved.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Notes one good answer.
    pub fn earn(&mut self) {
        let earned = f64::from(self.percent) / 100.0;
        self.tokens = (self.tokens + earned).min(MAX_SAVED_TOKENS);
    }

    /// Takes one token if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
