//! Coordinators with simulated workers and a simulated store, with faults drawn from seeds.

#![allow(missing_docs)]

mod faults;
mod load;
mod order;
mod simulation;
