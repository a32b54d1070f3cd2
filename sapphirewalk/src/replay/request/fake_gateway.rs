//! Simulated gateway: uses the core's admission, endpoint health, hedging and forwarding, driven by
//! simulated time.
//!
//! It differs from the gateway process: it also limits concurrency by endpoint, reserves a slot at
//! a peer before it forwards a request that is not idempotent, and has its own constants.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_core::admission::AdmissionTable;
use sapphirewalk_core::admission::KindPolicy;
use sapphirewalk_core::concurrency_limit::ConcurrencyLimit;
use sapphirewalk_core::concurrency_limit::LimitSample;
use sapphirewalk_core::endpoint_choice;
use sapphirewalk_core::endpoint_choice::ChoiceStep;
use sapphirewalk_core::endpoint_choice::EndpointCandidate;
use sapphirewalk_core::endpoint_health::EjectionParams;
use sapphirewalk_core::endpoint_health::HealthSample;
use sapphirewalk_core::endpoint_health::HealthStep;
use sapphirewalk_core::endpoint_health::HealthTable;
use sapphirewalk_core::hedge::HedgeContext;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::latency_histogram::LatencyHistogram;
use sapphirewalk_core::peer_choice::PeerTable;
use sapphirewalk_core::retry_budget::BudgetParams;
use sapphirewalk_core::retry_budget::RetryBudget;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::slot_share::SeatGrant;
use sapphirewalk_core::slot_share::ShareKey;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::slot_share::SlotTable;
use sapphirewalk_core::slot_share::TakeStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::trace::RequestTrace;
use crate::replay::request::variant::AdmissionRule;
use crate::replay::request::variant::ChoiceRule;
use crate::replay::request::variant::PolicyVariant;

/// Queue limit of a kind, in requests for each slot of the gateway's share.
const QUEUE_PER_SLOT: usize = 4;
/// Weight of a new sample in the moving average of the latency of an endpoint.
const LATENCY_WEIGHT: f64 = 0.1;
/// Quantile that serves as the expected latency of a kind, in thousandths.
const MEDIAN_PERMILLE: u32 = 500;
/// Samples needed before the median is used as the expected latency.
const MIN_SAMPLES: u32 = 20;
/// Run time assumed for a kind until there are enough samples, in thousandths of its deadline.
const INITIAL_RUN_TIME_PERMILLE: u64 = 50;

/// Identity of a gateway, its seat and the endpoints that it uses.
#[derive(Clone, Debug)]
pub struct GatewaySpec {
    /// Key of the entry VM; equals the index of the gateway.
    pub vm: VmKey,
    /// Index of the failure domain.
    pub domain: usize,
    /// Number of its seat in the domain, from zero.
    pub seat: u32,
    /// Number of seats in the domain; each endpoint's slots are divided evenly among them.
    pub seats: u32,
    /// Endpoints of its domain; it sends requests to no others.
    pub endpoints: Vec<EndpointKey>,
}

/// Slot that an attempt occupies at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointKey,
    /// Key under which the slot is released; `None` under [`AdmissionRule::SendAtOnce`], which
    /// counts no slots.
    pub key: Option<ShareKey>,
}

/// Decision state of one gateway, without network or platform.
#[derive(Debug)]
pub struct FakeGateway {
    /// Identity, seat and endpoints; fixed for the whole run.
    pub spec: GatewaySpec,
    /// Queues and slot shares of the kinds.
    pub admission: AdmissionTable,
    /// Free slots that the peers reported last.
    pub peers: PeerTable,
    /// Limit on retries and hedges; answered requests add to it.
    pub budget: RetryBudget,
    /// Generator for all random choices of this gateway, seeded by the trace and the VM.
    pub rng: ChaCha8Rng,
    /// Latencies of answered attempts, indexed like the kind lines of the trace.
    pub latencies: Vec<LatencyHistogram>,
    variant: PolicyVariant,
    initial_run_times: Vec<TimeSpan>,
    slots: SlotTable,
    health: HealthTable,
    views: Vec<EndpointView>,
}

/// Concurrency limit and average latency of an endpoint, as observed by this gateway.
#[derive(Clone, Debug)]
struct EndpointView {
    endpoint: EndpointKey,
    limit: ConcurrencyLimit,
    latency_micros: f64,
}

impl FakeGateway {
    /// A gateway without requests or samples that already holds its seat.
    pub fn new(spec: GatewaySpec, trace: &RequestTrace, variant: PolicyVariant) -> Self {
        let mut slots = SlotTable::new();
        slots.set_seat(spec.grant(), TimePoint::EPOCH);
        let mut health = HealthTable::new(EjectionParams::default());
        for endpoint in &spec.endpoints {
            let capacity = EndpointCapacity {
                slots: trace.fleet.slots,
                connections: trace.fleet.connections,
            };
            slots.put_endpoint(*endpoint, &format!("endpoint-{}", endpoint.0), capacity);
            health.put_endpoint(*endpoint);
        }
        let views = spec
            .endpoints
            .iter()
            .map(|endpoint| EndpointView::new(*endpoint, &slots))
            .collect();
        let own_slots = own_slots(&slots);
        let initial_run_times = initial_run_times(trace);
        Self {
            admission: AdmissionTable::new(&policies(
                trace,
                variant,
                own_slots,
                &initial_run_times,
            )),
            peers: PeerTable::new(),
            budget: RetryBudget::new(BudgetParams::default()),
            rng: ChaCha8Rng::seed_from_u64(trace.fleet.seed + u64::from(spec.vm.0) + 1),
            latencies: vec![LatencyHistogram::new(); trace.kinds.len()],
            spec,
            variant,
            initial_run_times,
            slots,
            health,
            views,
        }
    }

    /// Kind under which a request is admitted; the same for all under
    /// [`AdmissionRule::OneQueue`].
    pub fn admission_kind(&self, kind: usize) -> KindKey {
        match self.variant.admission {
            AdmissionRule::OneQueue => KindKey(0),
            AdmissionRule::KindShares | AdmissionRule::SendAtOnce => KindKey(key_index(kind)),
        }
    }

    /// User under which a request is admitted; traces do not distinguish users.
    pub const fn admission_user(&self) -> UserKey {
        UserKey(0)
    }

    /// Median latency of the kind, or its initial run time while there are too few samples.
    pub fn expected_latency(&self, kind: usize) -> TimeSpan {
        self.latencies[kind]
            .quantile(MEDIAN_PERMILLE, MIN_SAMPLES)
            .unwrap_or(self.initial_run_times[kind])
    }

    /// Free slots of the gateway's share, over all endpoints that are neither ejected nor probed.
    pub fn free_slots(&self, now: TimePoint) -> u32 {
        self.views.iter().map(|view| self.free_at(view, now)).sum()
    }

    /// Updates the number of free slots in the admission table.
    pub fn update_admission(&mut self, now: TimePoint) {
        let free = self.free_slots(now);
        self.admission.set_free_slots(free);
    }

    /// Takes a slot for an attempt; `None` if none is free.
    ///
    /// An endpoint that is due for a probe is preferred, then endpoints not in `used`, then those
    /// in `used`. A request that is not idempotent uses a suspect endpoint only if no other one
    /// has a free slot.
    pub fn take_slot(
        &mut self,
        is_idempotent: bool,
        used: &[EndpointKey],
        now: TimePoint,
    ) -> Option<TakenSlot> {
        if self.variant.admission == AdmissionRule::SendAtOnce {
            return self.choose_uniformly();
        }
        if let Some(endpoint) = self.probe_due(is_idempotent, used, now) {
            return self.take_slot_at(endpoint, now);
        }
        let candidates = self.candidates(now);
        let mut avoided = used.to_vec();
        if !is_idempotent {
            avoided.extend(self.suspects(now));
        }
        let first = endpoint_choice::choose(&candidates, &avoided, &mut self.rng);
        let step = match first {
            ChoiceStep::Send(_) => first,
            ChoiceStep::NoneFree => endpoint_choice::choose(&candidates, &[], &mut self.rng),
        };
        match step {
            ChoiceStep::Send(endpoint) => self.take_slot_at(endpoint, now),
            ChoiceStep::NoneFree => None,
        }
    }

    /// State for the decision whether to hedge a request that has attempts at `used`.
    pub fn hedge_context(
        &self,
        used: &[EndpointKey],
        earlier_decisions: u32,
        now: TimePoint,
    ) -> HedgeContext {
        let unused = self
            .views
            .iter()
            .filter(|view| !used.contains(&view.endpoint));
        let shares = self
            .views
            .iter()
            .map(|view| self.slots.limit(view.endpoint, ShareUnit::Slot, now));
        HedgeContext {
            free_slots: unused.map(|view| self.free_at(view, now)).sum(),
            share_slots: shares.sum(),
            is_suspect: used
                .iter()
                .any(|endpoint| self.health.step(*endpoint, now) != HealthStep::Serve),
            earlier_decisions,
        }
    }

    /// Releases the slot of an attempt that the endpoint no longer runs.
    pub fn release_slot(&mut self, slot: TakenSlot) {
        if let Some(key) = slot.key {
            self.slots.release(key);
        }
    }

    /// Adds an observation of an attempt to the statistics of its endpoint and kind.
    ///
    /// Must be called before the slot of the attempt is released, since the concurrency limit
    /// takes the number of slots in use into account.
    pub fn record_sample(
        &mut self,
        endpoint: EndpointKey,
        kind: usize,
        sample: AttemptSample,
        now: TimePoint,
    ) {
        let expected = self.expected_latency(kind);
        let health = match sample {
            AttemptSample::Answered(latency) => HealthSample::Answered { latency, expected },
            AttemptSample::Abandoned(waited) => HealthSample::Abandoned { waited, expected },
            AttemptSample::Overdue => HealthSample::Overdue,
            AttemptSample::Failed => HealthSample::Failed,
        };
        if self.variant.ejects {
            self.health.record(endpoint, health, now);
        }
        let limit = match sample {
            AttemptSample::Answered(latency) => LimitSample::Answered { latency, expected },
            AttemptSample::Failed => LimitSample::Failed,
            AttemptSample::Abandoned(_) | AttemptSample::Overdue => return,
        };
        if let AttemptSample::Answered(latency) = sample {
            self.latencies[kind].record(latency);
        }
        self.record_limit_sample(endpoint, limit, now);
    }

    fn record_limit_sample(&mut self, endpoint: EndpointKey, sample: LimitSample, now: TimePoint) {
        let in_use = self.slots.in_use(endpoint, ShareUnit::Slot);
        let share = self.slots.limit(endpoint, ShareUnit::Slot, now);
        let Some(view) = self.views.iter_mut().find(|view| view.endpoint == endpoint) else {
            return;
        };
        if let LimitSample::Answered { latency, .. } = sample {
            let error = latency.as_micros() as f64 - view.latency_micros;
            view.latency_micros += error * LATENCY_WEIGHT;
        }
        view.limit.record(sample, in_use, share);
    }

    /// Free slots at one endpoint, limited by the share and by the endpoint's concurrency limit.
    fn free_at(&self, view: &EndpointView, now: TimePoint) -> u32 {
        match self.health.step(view.endpoint, now) {
            HealthStep::Serve | HealthStep::Suspect => {}
            HealthStep::Probe | HealthStep::EjectedUntil(_) | HealthStep::Leaving => return 0,
        }
        let share = self.slots.limit(view.endpoint, ShareUnit::Slot, now);
        let in_use = self.slots.in_use(view.endpoint, ShareUnit::Slot);
        view.limit.slots(share).saturating_sub(in_use)
    }

    fn candidates(&self, now: TimePoint) -> Vec<EndpointCandidate> {
        let candidate = |view: &EndpointView| EndpointCandidate {
            endpoint: view.endpoint,
            free_slots: self.free_at(view, now),
            share_slots: self.slots.limit(view.endpoint, ShareUnit::Slot, now),
            latency: TimeSpan::from_micros(view.latency_micros as u64),
            round_trip: TimeSpan::ZERO,
        };
        let views = self.views.iter();
        match self.variant.choice {
            ChoiceRule::BetterOfTwo => views.map(candidate).collect(),
            ChoiceRule::Random => views.map(candidate).map(without_load).collect(),
        }
    }

    fn suspects(&self, now: TimePoint) -> Vec<EndpointKey> {
        self.views
            .iter()
            .map(|view| view.endpoint)
            .filter(|endpoint| self.health.step(*endpoint, now) == HealthStep::Suspect)
            .collect()
    }

    /// Endpoint that needs a probe and has no attempt in progress from this gateway.
    fn probe_due(
        &self,
        is_idempotent: bool,
        used: &[EndpointKey],
        now: TimePoint,
    ) -> Option<EndpointKey> {
        if !is_idempotent {
            return None;
        }
        self.views
            .iter()
            .map(|view| view.endpoint)
            .filter(|endpoint| !used.contains(endpoint))
            .filter(|endpoint| self.health.step(*endpoint, now) == HealthStep::Probe)
            .find(|endpoint| self.slots.in_use(*endpoint, ShareUnit::Slot) == 0)
    }

    fn take_slot_at(&mut self, endpoint: EndpointKey, now: TimePoint) -> Option<TakenSlot> {
        match self.slots.take(endpoint, ShareUnit::Slot, now) {
            TakeStep::Taken(key) => Some(TakenSlot {
                endpoint,
                key: Some(key),
            }),
            _ => None,
        }
    }

    /// Draws one of all endpoints with equal probability, without regard to slots and health.
    fn choose_uniformly(&mut self) -> Option<TakenSlot> {
        let all: Vec<EndpointCandidate> = self
            .views
            .iter()
            .map(EndpointView::uniform_candidate)
            .collect();
        match endpoint_choice::choose(&all, &[], &mut self.rng) {
            ChoiceStep::Send(endpoint) => Some(TakenSlot {
                endpoint,
                key: None,
            }),
            ChoiceStep::NoneFree => None,
        }
    }
}

/// Observation of an attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum AttemptSample {
    /// The answer arrived after this time.
    Answered(TimeSpan),
    /// The request ended without this attempt, which had no answer after this time.
    Abandoned(TimeSpan),
    /// The attempt still runs after a time within which nearly all requests of its kind end.
    Overdue,
    /// The connection was refused or broke, or the answer reported an error.
    Failed,
}

impl GatewaySpec {
    const fn grant(&self) -> SeatGrant {
        SeatGrant {
            seat: self.seat,
            seats: self.seats,
            epoch: 1,
            usable_from: TimePoint::EPOCH,
            usable_until: None,
        }
    }
}

impl EndpointView {
    fn new(endpoint: EndpointKey, slots: &SlotTable) -> Self {
        let share = slots.limit(endpoint, ShareUnit::Slot, TimePoint::EPOCH);
        Self {
            endpoint,
            limit: ConcurrencyLimit::new(share),
            latency_micros: 0.0,
        }
    }

    const fn uniform_candidate(&self) -> EndpointCandidate {
        EndpointCandidate {
            endpoint: self.endpoint,
            free_slots: 1,
            share_slots: 1,
            latency: TimeSpan::ZERO,
            round_trip: TimeSpan::ZERO,
        }
    }
}

/// Removes load and latency, so that all candidates with a free slot are equal.
fn without_load(candidate: EndpointCandidate) -> EndpointCandidate {
    EndpointCandidate {
        free_slots: candidate.free_slots.min(1),
        share_slots: 1,
        latency: TimeSpan::ZERO,
        ..candidate
    }
}

/// Slots of the gateway's share over all endpoints.
fn own_slots(slots: &SlotTable) -> usize {
    let shares = slots
        .endpoints()
        .map(|endpoint| slots.limit(endpoint, ShareUnit::Slot, TimePoint::EPOCH));
    shares.sum::<u32>() as usize
}

fn initial_run_times(trace: &RequestTrace) -> Vec<TimeSpan> {
    trace
        .kinds
        .iter()
        // A thousandth of a millisecond is a microsecond.
        .map(|kind| TimeSpan::from_micros(kind.deadline_ms * INITIAL_RUN_TIME_PERMILLE))
        .collect()
}

fn policies(
    trace: &RequestTrace,
    variant: PolicyVariant,
    own_slots: usize,
    initial_run_times: &[TimeSpan],
) -> Vec<KindPolicy> {
    let policies = trace
        .kinds
        .iter()
        .enumerate()
        .map(|(index, kind)| KindPolicy {
            kind: KindKey(key_index(index)),
            urgency: kind.urgency,
            weight: kind.weight,
            floor_permille: kind.floor_permille,
            queue_limit: own_slots * QUEUE_PER_SLOT,
            initial_run_time: initial_run_times[index],
        });
    match variant.admission {
        AdmissionRule::OneQueue => policies.take(1).collect(),
        AdmissionRule::KindShares | AdmissionRule::SendAtOnce => policies.collect(),
    }
}

fn key_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
