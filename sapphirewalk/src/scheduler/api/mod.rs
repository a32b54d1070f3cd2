//! The HTTP interface for callers: submits, shows and cancels tasks.

mod answer;
mod cancel;
mod server;
mod show;
mod submission;
mod submit;

pub use crate::scheduler::api::server::bind;
pub use crate::scheduler::api::server::serve;
