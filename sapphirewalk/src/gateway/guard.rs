//! Guards that release the slots, connections and admission of a request when they are dropped.

use std::sync::Arc;

use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::slot_share::ShareKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::gateway::dispatch_table::TakenSlot;
use crate::gateway::state::Gateway;

/// A slot or connection of an endpoint's share; released when dropped.
#[derive(Debug)]
pub struct UnitGuard {
    gateway: Arc<Gateway>,
    unit: ShareKey,
    service: String,
}

/// A running request in the admission table; counted as finished when dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    gateway: Arc<Gateway>,
    service: String,
    kind: KindKey,
    user: UserKey,
    run_time: Option<TimeSpan>,
}

/// A slot that one attempt may use.
#[derive(Debug)]
pub struct SlotGrant {
    /// Endpoint to send to, and the unit of its share.
    pub slot: TakenSlot,
    /// Releases the slot when dropped.
    pub guard: UnitGuard,
}

/// Admission and first slot of a request that may run.
#[derive(Debug)]
pub struct RequestGrant {
    /// Counts the request as running.
    pub admission: AdmissionGuard,
    /// Slot that the first attempt uses.
    pub slot: SlotGrant,
}

impl UnitGuard {
    /// Creates the guard of a unit that was taken at an endpoint of `service`.
    pub const fn new(gateway: Arc<Gateway>, unit: ShareKey, service: String) -> Self {
        Self {
            gateway,
            unit,
            service,
        }
    }

    /// Delays the release until `point`, since the endpoint may still work on the request.
    pub fn hold_until(self, point: TimePoint) {
        let clock = self.gateway.process.clock;
        tokio::spawn(async move {
            tokio::time::sleep(point.since(clock.now()).into()).await;
            drop(self);
        });
    }
}

impl Drop for UnitGuard {
    fn drop(&mut self) {
        self.gateway.table().slots.release(self.unit);
        self.gateway.grant_waiting(&self.service);
    }
}

impl AdmissionGuard {
    /// Creates the guard of a request that the admission table counts as running.
    pub const fn new(gateway: Arc<Gateway>, service: String, kind: KindKey, user: UserKey) -> Self {
        Self {
            gateway,
            service,
            kind,
            user,
            run_time: None,
        }
    }

    /// Sets the run time that enters admission's estimate. Without it, the estimate stays as it is.
    pub const fn set_run_time(&mut self, run_time: TimeSpan) {
        self.run_time = Some(run_time);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(service) = self.gateway.table().service_mut(&self.service) {
            service
                .admission
                .finish(self.kind, self.user, self.run_time);
        }
        self.gateway.grant_waiting(&self.service);
    }
}

impl SlotGrant {
    /// Creates the grant of a slot that was taken at an endpoint of `service`.
    pub const fn new(gateway: Arc<Gateway>, slot: TakenSlot, service: String) -> Self {
        Self {
            slot,
            guard: UnitGuard::new(gateway, slot.unit, service),
        }
    }
}
