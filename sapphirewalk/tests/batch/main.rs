//! Batch tasks with real processes against the stand-ins of the platform: a module for each
//! guarantee.

mod moves;
mod one_place;
mod outage;
mod path;
mod resume_once;
mod shutdown;
mod support;
mod worker_leaving;
mod worker_not_over_given;
