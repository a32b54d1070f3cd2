//! The cases of the review.

pub mod batch;
pub mod crashes;
pub mod ends;
pub mod kind;
