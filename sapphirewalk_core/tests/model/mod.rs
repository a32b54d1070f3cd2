//! A simulation of schedulers, a table and workers, driven by a sequence of choices.

pub mod choice;
pub mod holder;
pub mod simulation;
pub mod table;
pub mod worker;
