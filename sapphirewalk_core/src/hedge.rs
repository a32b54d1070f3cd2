//! Hedged requests: a second attempt of an idempotent request whose first attempt is slow.

use crate::deadline::RequestDeadline;
use crate::latency_histogram::LatencyHistogram;
use crate::retry_budget::BudgetCharge;
use crate::retry_budget::RetryBudget;
use crate::time::TimePoint;
use crate::time::TimeSpan;

const PERMILLE: u64 = 1_000;

/// When a second attempt is considered, and how much free capacity it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeParams {
    /// Latency quantile after which a second attempt is considered, in thousandths.
    pub quantile_permille: u32,
    /// Lower bound on the delay before a second attempt.
    pub min_delay: TimeSpan,
    /// Latency samples needed before any request is hedged.
    pub min_samples: u32,
    /// Part of this entry VM's share that must be free, in thousandths.
    pub min_free_permille: u32,
}

/// State that a hedging decision depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeContext {
    /// Free slots of this entry VM's share at endpoints that the request has not used.
    pub free_slots: u32,
    /// All slots of this entry VM's share.
    pub share_slots: u32,
    /// Whether the endpoint of the first attempt is suspect, ejected or leaving.
    pub is_suspect: bool,
    /// Number of earlier hedging decisions on this request.
    pub earlier_decisions: u32,
}

/// Whether and when to decide on a second attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgePlan {
    /// Call [`decide`] at this point.
    DecideAt(TimePoint),
    /// Do not hedge this request.
    Never,
}

/// Whether to send a second attempt now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeStep {
    /// Send a second attempt to another endpoint. It has been charged to the retry budget.
    Send,
    /// Keep waiting for the first attempt, and plan another decision.
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

/// Time after which a request is overdue: nearly all requests of its kind end sooner.
///
/// `None` while there are too few samples.
pub fn overdue_after(params: HedgeParams, latencies: &LatencyHistogram) -> Option<TimeSpan> {
    latencies
        .quantile(params.quantile_permille, params.min_samples)
        .map(|latency| latency.max(params.min_delay))
}

/// Plans the first hedging decision for a request whose first attempt is sent at `now`.
///
/// A request is never hedged if it is not idempotent, if there are too few samples, or if the
/// decision would come after the deadline.
pub fn plan(
    params: HedgeParams,
    is_idempotent: bool,
    latencies: &LatencyHistogram,
    deadline: RequestDeadline,
    now: TimePoint,
) -> HedgePlan {
    if !is_idempotent {
        return HedgePlan::Never;
    }
    let Some(delay) = overdue_after(params, latencies) else {
        return HedgePlan::Never;
    };
    let decide_at = now + delay;
    if decide_at >= deadline.point() {
        return HedgePlan::Never;
    }
    HedgePlan::DecideAt(decide_at)
}

/// Decides whether to send a second attempt now.
///
/// At a healthy endpoint a slow request is usually one that needs much work, and a second attempt
/// takes just as long. It is therefore sent only at the second decision. No attempt is sent while
/// few slots are free, since it would take the slot of another request.
pub fn decide(params: HedgeParams, context: HedgeContext, budget: &mut RetryBudget) -> HedgeStep {
    if !context.is_suspect && context.earlier_decisions == 0 {
        return HedgeStep::Wait;
    }
    if !context.has_free_capacity(params) {
        return HedgeStep::Wait;
    }
    match budget.spend() {
        BudgetCharge::Charged => HedgeStep::Send,
        BudgetCharge::Exhausted => HedgeStep::Wait,
    }
}

impl HedgeContext {
    fn has_free_capacity(self, params: HedgeParams) -> bool {
        let free_permille = u64::from(self.free_slots) * PERMILLE;
        let required = u64::from(self.share_slots) * u64::from(params.min_free_permille);
        self.free_slots > 0 && free_permille >= required
    }
}
