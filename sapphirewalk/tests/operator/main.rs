//! Rollouts and the audit trail, with real processes.

mod audit;
mod rollout;
mod support;
