//! A budget of retries and hedges: a share of the requests that succeed.

/// Thousandths of a retry in one retry.
const RETRY_PERMILLE: u64 = 1_000;

/// The terms of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetParams {
    /// Retries earned by each success, in thousandths.
    pub earned_permille: u64,
    /// Most retries kept for later.
    pub max_saved: u64,
}

/// Whether a retry is within the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetStep {
    /// The retry was paid for; send it.
    Spend,
    /// The budget is spent; do not send it.
    Spent,
}

/// What a gateway may still spend on retries and hedges of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    terms: BudgetParams,
    saved_permille: u64,
}

impl Default for BudgetParams {
    fn default() -> Self {
        Self {
            earned_permille: 100,
            max_saved: 20,
        }
    }
}

impl RetryBudget {
    /// A budget that has saved the most that its terms allow.
    pub const fn new(terms: BudgetParams) -> Self {
        Self {
            terms,
            saved_permille: terms.max_saved * RETRY_PERMILLE,
        }
    }

    /// Earns the share of one success.
    pub fn earn(&mut self) {
        let most = self.terms.max_saved * RETRY_PERMILLE;
        self.saved_permille = (self.saved_permille + self.terms.earned_permille).min(most);
    }

    /// Pays for one retry or hedge, if the budget allows it.
    pub const fn spend(&mut self) -> BudgetStep {
        if self.saved_permille < RETRY_PERMILLE {
            return BudgetStep::Spent;
        }
        self.saved_permille -= RETRY_PERMILLE;
        BudgetStep::Spend
    }

    /// Returns what was paid for a retry that was not sent after all.
    pub fn refund(&mut self) {
        let most = self.terms.max_saved * RETRY_PERMILLE;
        self.saved_permille = (self.saved_permille + RETRY_PERMILLE).min(most);
    }

    /// Whole retries that are saved.
    pub const fn saved(&self) -> u64 {
        self.saved_permille / RETRY_PERMILLE
    }
}
