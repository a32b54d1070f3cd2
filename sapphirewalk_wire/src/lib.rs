//! Wire types of the sapphirewalk scheduler: messages between processes, the platform and callers,
//! and records in the platform's table service and object store.
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
