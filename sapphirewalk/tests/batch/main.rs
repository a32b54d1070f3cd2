//! Batch tasks with real processes against the stand-ins of the platform: a module for each
//! guarantee.

mod lifecycle;
mod moves;
mod outage;
mod resume_once;
mod shutdown;
mod single_attempt;
mod support;
mod worker_leaving;
mod worker_no_overcommit;
