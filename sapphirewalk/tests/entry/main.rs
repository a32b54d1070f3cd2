//! Entry VMs as real processes against stand-ins of the platform.

mod election;
mod explain;
mod fleet;
mod jobs;
mod log;
mod store;
