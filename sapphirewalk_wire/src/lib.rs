//! Wire types of the sapphirewalk scheduler: its interfaces to callers, endpoints, workers and the
//! platform, and the rows and objects that it stores there. Messages between its own daemons are in
//! the module `peer::message` of the crate `sapphirewalk`.
//!
//! Names, tags and the order of fields are part of the formats. Decision types of
//! `sapphirewalk_core` are not: [`sapphirewalk_core::resource::ResourceVector`] is its only type
//! that occurs in them.

#![warn(clippy::unwrap_used)]

pub mod bundle;
pub mod endpoint;
pub mod platform;
pub mod row;
pub mod signature;
pub mod task;
pub mod worker;
