//! Stand-ins for the environment of sapphirewalk (the platform, workers and endpoints), and a
//! fleet harness that runs the real processes against them on loopback.

pub mod client;
pub mod clock;
pub mod counter;
pub mod endpoint;
pub mod fleet;
pub mod load;
pub mod open_loop;
pub mod platform;
pub mod server;
pub mod slopes;
pub mod worker;
