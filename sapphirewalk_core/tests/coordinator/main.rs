//! Coordinators with simulated workers and a simulated store, with faults drawn from seeds.

#![allow(missing_docs)]

mod availability;
mod batch_size;
mod capacity;
mod crashes;
mod crossed_faults;
mod dropped_queues;
mod evacuation;
mod faults;
mod fencing;
mod fixture;
mod former_incarnations;
mod harm;
mod job_lifecycle;
mod lapsed_leases;
mod late_starts;
mod leases;
mod load;
mod malformed;
mod outdated_lists;
mod overload;
mod progress;
mod repeated_stop;
mod restarts;
mod retention;
mod room;
mod service_load;
mod service_restarts;
mod simulation;
