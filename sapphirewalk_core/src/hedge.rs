//! Hedging: a second attempt of an idempotent request that takes longer than most.

use crate::deadline::RequestDeadline;
use crate::latency_histogram::LatencyHistogram;
use crate::retry_budget::BudgetStep;
use crate::retry_budget::RetryBudget;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Thousandths in a whole.
const WHOLE_PERMILLE: u64 = 1_000;

/// The terms of hedging.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeParams {
    /// The quantile of latency after which a second attempt is sent, in thousandths.
    pub quantile_permille: u32,
    /// The least delay before a second attempt.
    pub min_delay: TimeSpan,
    /// Samples needed before any hedge.
    pub min_samples: u32,
    /// The part of the own share that must be free, in thousandths.
    pub min_free_permille: u32,
}

/// What a decision on a hedge looks at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeContext {
    /// Slots of the own share that are free at endpoints that the request has not used.
    pub free_slots: u32,
    /// All slots of the own share.
    pub share_slots: u32,
    /// Whether the endpoint of the first attempt is suspect, ejected or leaving.
    pub is_suspect: bool,
    /// How often a hedge of this request was decided before.
    pub earlier_decisions: u32,
}

/// Whether and when to look at a request again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgePlan {
    /// Decide at this point whether to hedge.
    DecideAt(TimePoint),
    /// Never hedge this request.
    Never,
}

/// Whether to send a second attempt now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeStep {
    /// Send a second attempt to another endpoint; it is paid for.
    Send,
    /// Wait for the first, and plan another look.
    Wait,
}

impl Default for HedgeParams {
    fn default() -> Self {
        Self {
            quantile_permille: 950,
            min_delay: TimeSpan::from_millis(1),
            min_samples: 50,
            min_free_permille: 100,
        }
    }
}

/// After how long a request is overdue: nearly all requests of its kind take less.
///
/// Absent while there are too few samples.
pub fn overdue_after(terms: HedgeParams, latencies: &LatencyHistogram) -> Option<TimeSpan> {
    latencies
        .quantile(terms.quantile_permille, terms.min_samples)
        .map(|usual| usual.max(terms.min_delay))
}

/// Plans the hedge of a request whose first attempt is sent at `now`.
pub fn plan(
    terms: HedgeParams,
    is_idempotent: bool,
    latencies: &LatencyHistogram,
    deadline: RequestDeadline,
    now: TimePoint,
) -> HedgePlan {
    if !is_idempotent {
        return HedgePlan::Never;
    }
    let Some(delay) = overdue_after(terms, latencies) else {
        return HedgePlan::Never;
    };
    let decide_at = now + delay;
    if decide_at >= deadline.point() {
        return HedgePlan::Never;
    }
    HedgePlan::DecideAt(decide_at)
}

/// Decides at the planned point.
///
/// At a sound endpoint a request that takes long is most often a long one, and a second attempt
/// takes as long again; it is sent only at the second look. Where few slots are free, a second
/// attempt takes the slot of a request that would have had none.
pub fn decide(terms: HedgeParams, view: HedgeContext, budget: &mut RetryBudget) -> HedgeStep {
    if !view.is_suspect && view.earlier_decisions == 0 {
        return HedgeStep::Wait;
    }
    if !view.has_room(terms) {
        return HedgeStep::Wait;
    }
    match budget.spend() {
        BudgetStep::Spend => HedgeStep::Send,
        BudgetStep::Spent => HedgeStep::Wait,
    }
}

impl HedgeContext {
    fn has_room(self, terms: HedgeParams) -> bool {
        let free_permille = u64::from(self.free_slots) * WHOLE_PERMILLE;
        let least = u64::from(self.share_slots) * u64::from(terms.min_free_permille);
        self.free_slots > 0 && free_permille >= least
    }
}
