//! Commands for operators: rollouts, audit trail, state dumps, checks of configurations and batch
//! tasks.

mod audit;
mod config_check;
mod dump;
mod error;
mod http;
mod keygen;
mod rollout;
mod settings;
mod sign;
mod task;

pub use crate::command::audit::audit;
pub use crate::command::config_check::config;
pub use crate::command::dump::dump;
pub use crate::command::error::CommandError;
pub use crate::command::keygen::keygen;
pub use crate::command::rollout::rollback;
pub use crate::command::rollout::rollout;
pub use crate::command::settings::settings;
pub use crate::command::sign::sign;
pub use crate::command::task::cancel;
pub use crate::command::task::show;
pub use crate::command::task::submit;
