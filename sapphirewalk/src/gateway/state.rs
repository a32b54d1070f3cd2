//! Shared state of the gateway, and the admission of requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;

use tokio::sync::oneshot;

use sapphirewalk_core::admission::AdmissionRequest;
use sapphirewalk_core::admission::AdmissionStep;
use sapphirewalk_core::admission::QueueStep;
use sapphirewalk_core::admission::RefuseReason;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::time::TimePoint;

use crate::gateway::connection::ConnectionPool;
use crate::gateway::counter::GatewayCounters;
use crate::gateway::dispatch_table::DispatchTable;
use crate::gateway::dispatch_table::TakenSlot;
use crate::gateway::drain::DrainGate;
use crate::gateway::guard::AdmissionGuard;
use crate::gateway::guard::RequestGrant;
use crate::gateway::guard::SlotGrant;
use crate::gateway::peer_chooser::PeerChooser;
use crate::gateway::report;
use crate::gateway::request::GatewayRequest;
use crate::gateway::seat;
use crate::gateway::seat::SeatState;
use crate::gateway::service::WaitEnd;
use crate::gateway::service::WaitEntry;
use crate::process::DaemonProcess;

/// State that all tasks of the gateway share.
#[derive(Debug)]
pub struct Gateway {
    /// Settings, clock, logger, platform client and other parts common to all daemons.
    pub process: Arc<DaemonProcess>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Counts connections and requests in flight; closed at shutdown.
    pub drain: DrainGate,
    /// Request counters since the process started.
    pub counters: GatewayCounters,
    /// Seat that this process holds, if any.
    pub seat: Mutex<SeatState>,
    /// Free slots of peers, for forwarding.
    pub peers: Mutex<PeerChooser>,
    table: Mutex<DispatchTable>,
    request_count: atomic::AtomicU64,
}

/// Result of admission.
#[derive(Debug)]
pub enum AdmitStep {
    /// Run the request with this grant.
    Run(RequestGrant),
    /// Wait for the message of this receiver.
    Wait(QueuedRequest),
    /// Answer that the request did not run, for this reason.
    Refuse(RefuseReason),
}

/// A request that waits in a queue of this gateway.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Identifies the request when it is cancelled or requeued.
    pub admission_request: AdmissionRequest,
    /// Receives one message when the wait ends.
    pub receiver: oneshot::Receiver<WaitEnd>,
}

/// Action on a queued request, to be taken after the table is unlocked.
enum GrantStep {
    Grant(WaitEntry, AdmissionRequest, TakenSlot),
    Refuse(WaitEntry, RefuseReason),
    Again,
    Idle,
}

impl Gateway {
    /// Creates the state of a gateway without a seat. `seed` determines its random choices.
    pub fn new(process: Arc<DaemonProcess>, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            process,
            pool: ConnectionPool::default(),
            drain: DrainGate::default(),
            counters: GatewayCounters::default(),
            seat: Mutex::new(SeatState::default()),
            peers: Mutex::new(PeerChooser::new(seed)),
            table: Mutex::new(DispatchTable::new(seed)),
            request_count: atomic::AtomicU64::new(0),
        })
    }

    /// Locks the dispatch table. No `UnitGuard` or `AdmissionGuard` may be dropped while it is
    /// locked, since dropping one locks it as well.
    pub fn table(&self) -> MutexGuard<'_, DispatchTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new token; unique among the requests of all gateway processes.
    pub fn next_token(&self) -> String {
        let number = self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}-{number}", self.process.process_token)
    }

    /// Current time of the process clock.
    pub fn now(&self) -> TimePoint {
        self.process.clock.now()
    }

    /// Whether a request of `service` could run here at once: a slot is free and none is queued.
    pub fn has_free_slot(&self, service: &str) -> bool {
        let now = self.now();
        let table = self.table();
        let is_free = table.free_slots(service, now) > 0;
        is_free
            && table
                .service(service)
                .is_some_and(|state| state.admission.waiting() == 0)
    }

    /// Name of the service that runs a kind; `None` if the bundle in force has no such kind or
    /// service.
    pub fn service_of_kind(&self, kind: &str) -> Option<String> {
        let rollout = self.process.rollout.current()?;
        let kinds = &rollout.document.kinds;
        let entry = kinds.iter().find(|entry| entry.name == kind)?;
        entry.service.clone()
    }

    /// Grants a slot to a request, queues it or refuses it. It is queued only if a slot may become
    /// free here or at a peer.
    pub fn admit(self: &Arc<Self>, request: &GatewayRequest) -> AdmitStep {
        let now = self.now();
        let mut table = self.table();
        table.refresh_capacity(&request.service, now);
        let admission_request = build_admission_request(&mut table, request, now);
        let Some(admission_request) = admission_request else {
            return AdmitStep::Refuse(RefuseReason::UnknownKind);
        };
        let may_wait = table.share_slots(&request.service, now) > 0 || self.may_get_share(request);
        let Some(service) = table.service_mut(&request.service) else {
            return AdmitStep::Refuse(RefuseReason::UnknownKind);
        };
        match service.admission.offer(admission_request, now) {
            AdmissionStep::Refuse(reason) => AdmitStep::Refuse(reason),
            AdmissionStep::Queue if !may_wait => {
                service.admission.cancel(admission_request);
                AdmitStep::Refuse(RefuseReason::NoFreeSlot)
            }
            AdmissionStep::Queue => {
                let (sender, receiver) = oneshot::channel();
                service.put_waiting(WaitEntry {
                    request: admission_request.request,
                    is_idempotent: request.is_idempotent,
                    sender,
                });
                AdmitStep::Wait(QueuedRequest {
                    admission_request,
                    receiver,
                })
            }
            AdmissionStep::Dispatch => {
                let slot = table.take_slot(&request.service, request.is_idempotent, &[], now);
                drop(table);
                self.grant(&request.service, admission_request, slot)
            }
        }
    }

    /// Whether this gateway gets a share before the deadline of the request, or a peer has one.
    fn may_get_share(&self, request: &GatewayRequest) -> bool {
        let deadline_ms = request.deadline.point().as_millis();
        seat::held(self).is_some_and(|seat| seat.usable_from_ms < deadline_ms)
            || report::has_peer_share(self, &request.service)
    }

    /// Removes the next request in order from the queues, to be forwarded to `peer`.
    pub fn forward_next(&self, service: &str, peer: String) {
        let entry = {
            let mut table = self.table();
            let state = table.service_mut(service);
            state.and_then(|state| {
                let admission_request = state.admission.take_waiting()?;
                state.take_waiting(admission_request.request)
            })
        };
        if let Some(entry) = entry {
            // An error means that the task of the request has ended.
            let _ = entry.sender.send(WaitEnd::Forward(peer));
        }
    }

    /// Returns a request that no peer accepted to the front of its queue.
    pub fn requeue(
        self: &Arc<Self>,
        request: &GatewayRequest,
        admission_request: AdmissionRequest,
    ) -> AdmitStep {
        let (sender, receiver) = oneshot::channel();
        {
            let mut table = self.table();
            let Some(service) = table.service_mut(&request.service) else {
                return AdmitStep::Refuse(RefuseReason::UnknownKind);
            };
            service.admission.return_waiting(admission_request);
            service.put_waiting(WaitEntry {
                request: admission_request.request,
                is_idempotent: request.is_idempotent,
                sender,
            });
        }
        self.grant_waiting(&request.service);
        AdmitStep::Wait(QueuedRequest {
            admission_request,
            receiver,
        })
    }

    /// Removes a request from its queue. Returns false if its wait has already ended.
    pub fn cancel(&self, service: &str, admission_request: AdmissionRequest) -> bool {
        let mut table = self.table();
        let Some(state) = table.service_mut(service) else {
            return false;
        };
        let _ = state.take_waiting(admission_request.request);
        state.admission.cancel(admission_request)
    }

    /// Takes a slot for a further attempt at an endpoint that is not in `excluded`. `None` if no
    /// slot is free.
    pub fn take_slot(
        self: &Arc<Self>,
        request: &GatewayRequest,
        excluded: &[EndpointKey],
    ) -> Option<SlotGrant> {
        let now = self.now();
        let slot =
            self.table()
                .take_slot(&request.service, request.is_idempotent, excluded, now)?;
        Some(SlotGrant::new(
            Arc::clone(self),
            slot,
            request.service.clone(),
        ))
    }

    /// Grants free slots to queued requests, and refuses those that can't meet their deadline.
    pub fn grant_waiting(self: &Arc<Self>, service: &str) {
        loop {
            let step = self.next_grant(service);
            match step {
                GrantStep::Grant(entry, admission_request, slot) => {
                    let end = match self.grant(service, admission_request, Some(slot)) {
                        AdmitStep::Run(grant) => WaitEnd::Granted(grant),
                        _ => WaitEnd::Refused(RefuseReason::NoFreeSlot),
                    };
                    // If the task of the request has ended, the grant is dropped here, which
                    // releases its slot.
                    let _ = entry.sender.send(end);
                }
                GrantStep::Refuse(entry, reason) => {
                    let _ = entry.sender.send(WaitEnd::Refused(reason));
                }
                GrantStep::Again => {}
                GrantStep::Idle => return,
            }
        }
    }

    fn next_grant(&self, service: &str) -> GrantStep {
        let now = self.now();
        let mut table = self.table();
        table.refresh_capacity(service, now);
        let Some(state) = table.service_mut(service) else {
            return GrantStep::Idle;
        };
        match state.admission.next(now) {
            QueueStep::Idle => GrantStep::Idle,
            QueueStep::Refuse(admission_request, reason) => {
                match state.take_waiting(admission_request.request) {
                    Some(entry) => GrantStep::Refuse(entry, reason),
                    None => GrantStep::Again,
                }
            }
            QueueStep::Dispatch(admission_request) => {
                let Some(entry) = state.take_waiting(admission_request.request) else {
                    state
                        .admission
                        .finish(admission_request.kind, admission_request.user, None);
                    return GrantStep::Again;
                };
                match table.take_slot(service, entry.is_idempotent, &[], now) {
                    Some(slot) => GrantStep::Grant(entry, admission_request, slot),
                    None => {
                        if let Some(state) = table.service_mut(service) {
                            state.admission.finish(
                                admission_request.kind,
                                admission_request.user,
                                None,
                            );
                        }
                        GrantStep::Refuse(entry, RefuseReason::NoFreeSlot)
                    }
                }
            }
        }
    }

    fn grant(
        self: &Arc<Self>,
        service: &str,
        admission_request: AdmissionRequest,
        slot: Option<TakenSlot>,
    ) -> AdmitStep {
        let admission = AdmissionGuard::new(
            Arc::clone(self),
            service.to_owned(),
            admission_request.kind,
            admission_request.user,
        );
        match slot {
            Some(slot) => AdmitStep::Run(RequestGrant {
                admission,
                slot: SlotGrant::new(Arc::clone(self), slot, service.to_owned()),
            }),
            None => AdmitStep::Refuse(RefuseReason::NoFreeSlot),
        }
    }
}

/// Builds the request to admission for a request of a caller or peer.
///
/// If no request of the kind is running or queued and more than half of the time allowed remains,
/// it states a later deadline. Otherwise a run time estimate that is too high would refuse
/// every request of the kind and could never be corrected.
fn build_admission_request(
    table: &mut DispatchTable,
    request: &GatewayRequest,
    now: TimePoint,
) -> Option<AdmissionRequest> {
    let kind = table.kinds.find(&request.kind)?;
    let user = table.user_key(&request.user);
    let key = table.next_request();
    let is_idle_kind = !table.service(&request.service)?.has_active(kind);
    let remaining = request.deadline.remaining(now).as_micros();
    let allowed = request.deadline.remaining(request.arrived_at).as_micros();
    let deadline = if is_idle_kind && remaining > allowed / 2 {
        RequestDeadline::at(
            request.arrived_at + request.longest_deadline + request.longest_deadline,
        )
    } else {
        request.deadline
    };
    Some(AdmissionRequest {
        request: key,
        kind,
        user,
        deadline,
        origin: request.origin,
    })
}
