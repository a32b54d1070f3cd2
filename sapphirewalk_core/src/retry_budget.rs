//! Retry budget: limits retries and hedges to a fraction of the successful requests.

const PERMILLE: u64 = 1_000;

/// Size and replenishment rate of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetParams {
    /// Retries that each successful request adds to the budget, in thousandths.
    pub earned_permille: u64,
    /// Upper bound on the budget, in retries.
    pub max_retries: u64,
}

/// Whether the budget permits a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetCharge {
    /// The retry was charged to the budget and may be sent.
    Charged,
    /// The budget is exhausted; the retry must not be sent.
    Exhausted,
}

/// Retries and hedges that a gateway may still send for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: BudgetParams,
    available_permille: u64,
}

impl Default for BudgetParams {
    fn default() -> Self {
        Self {
            earned_permille: 100,
            max_retries: 20,
        }
    }
}

impl RetryBudget {
    /// A full budget.
    pub const fn new(params: BudgetParams) -> Self {
        Self {
            params,
            available_permille: params.max_retries * PERMILLE,
        }
    }

    /// Adds the fraction of a retry that one successful request earns.
    pub fn earn(&mut self) {
        let limit = self.params.max_retries * PERMILLE;
        self.available_permille =
            (self.available_permille + self.params.earned_permille).min(limit);
    }

    /// Charges one retry or hedge, if the budget permits it.
    pub const fn spend(&mut self) -> BudgetCharge {
        if self.available_permille < PERMILLE {
            return BudgetCharge::Exhausted;
        }
        self.available_permille -= PERMILLE;
        BudgetCharge::Charged
    }

    /// Returns the charge for a retry that was not sent.
    pub fn refund(&mut self) {
        let limit = self.params.max_retries * PERMILLE;
        self.available_permille = (self.available_permille + PERMILLE).min(limit);
    }

    /// Number of whole retries in the budget.
    pub const fn available(&self) -> u64 {
        self.available_permille / PERMILLE
    }
}
