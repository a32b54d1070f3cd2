//! Audit trail: records of decisions in the object store, one hash chain for each process.

mod codec;
mod decision;
mod handle;
mod record;
mod trail;
mod writer;

pub use crate::audit::decision::AuditDecision;
pub use crate::audit::decision::PlacementCandidate;
pub use crate::audit::handle::AuditHandle;
pub use crate::audit::handle::AuditState;
pub use crate::audit::record::AuditRecord;
pub use crate::audit::trail::ProcessTrail;
pub use crate::audit::trail::TrailFault;
pub use crate::audit::trail::read_trails;
