//! Coordinators against modelled workers and a modelled store, with faults drawn from seeds.

#![allow(missing_docs)]

mod faults;
mod load;
mod order;
mod world;
