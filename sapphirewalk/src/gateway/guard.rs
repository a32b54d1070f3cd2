//! Guards that give back what a request uses, however it ends.

use std::sync::Arc;

use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::slot_share::ShareKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::gateway::dispatch_table::TakenSlot;
use crate::gateway::state::Gateway;

/// A unit of an endpoint's share; released when dropped.
#[derive(Debug)]
pub struct UnitGuard {
    gateway: Arc<Gateway>,
    unit: ShareKey,
    service: String,
}

/// A request that runs, as admission counts it; ended when dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    gateway: Arc<Gateway>,
    service: String,
    kind: KindKey,
    user: UserKey,
    run_time: Option<TimeSpan>,
}

/// A slot for one attempt.
#[derive(Debug)]
pub struct SlotGrant {
    /// The slot.
    pub slot: TakenSlot,
    /// Releases it.
    pub guard: UnitGuard,
}

/// What a request needs to run.
#[derive(Debug)]
pub struct RequestGrant {
    /// Its place among the requests that run.
    pub admission: AdmissionGuard,
    /// The slot of its first attempt.
    pub slot: SlotGrant,
}

impl UnitGuard {
    /// Guards a unit.
    pub const fn new(gateway: Arc<Gateway>, unit: ShareKey, service: String) -> Self {
        Self {
            gateway,
            unit,
            service,
        }
    }

    /// Keeps the unit in use until `point`, since the endpoint may still work for it.
    pub fn hold_until(self, point: TimePoint) {
        let clock = self.gateway.kit.clock;
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
    /// Guards a request that runs.
    pub const fn new(gateway: Arc<Gateway>, service: String, kind: KindKey, user: UserKey) -> Self {
        Self {
            gateway,
            service,
            kind,
            user,
            run_time: None,
        }
    }

    /// Notes how long the request ran.
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
    /// Guards a slot that was taken.
    pub const fn new(gateway: Arc<Gateway>, slot: TakenSlot, service: String) -> Self {
        Self {
            slot,
            guard: UnitGuard::new(gateway, slot.unit, service),
        }
    }
}
