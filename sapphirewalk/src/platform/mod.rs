//! Access to the platform that the VMs run on: table service, object store and VM list.

mod client;
mod error;
mod vm_watch;

pub use crate::platform::client::PlatformClient;
pub use crate::platform::error::PlatformError;
pub use crate::platform::vm_watch::VmWatch;
pub use crate::platform::vm_watch::follow as follow_vms;
