//! Network partitions, long outages of the platform and combined faults, with real processes.

mod domain;
mod keys;
mod outage;
mod slow_platform;
mod storm;
mod support;
mod two_faults;
