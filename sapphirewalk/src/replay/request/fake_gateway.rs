//! A fake gateway: the product's decisions of one entry VM, fed with the trace's time.

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

/// Requests that wait, for each slot of the own share.
const QUEUE_PER_SLOT: usize = 4;
/// Weight of a new sample in the average latency of an endpoint.
const LATENCY_WEIGHT: f64 = 0.1;
/// Thousandths at the median.
const MEDIAN_PERMILLE: u32 = 500;
/// Samples needed before the median says what is usual.
const MIN_SAMPLES: u32 = 20;
/// Median of a kind before any sample, in thousandths of its deadline.
const INITIAL_RUN_TIME_PERMILLE: u64 = 50;

/// Where a gateway stands in the fleet.
#[derive(Clone, Debug)]
pub struct GatewaySpec {
    /// Its key.
    pub vm: VmKey,
    /// Its domain's index.
    pub domain: usize,
    /// Its seat.
    pub seat: u32,
    /// Seats of its domain.
    pub seats: u32,
    /// The endpoints of its domain.
    pub endpoints: Vec<EndpointKey>,
}

/// A slot of an endpoint that an attempt uses.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The unit of the share; absent where shares are not used.
    pub key: Option<ShareKey>,
}

/// A fake gateway.
#[derive(Debug)]
pub struct FakeGateway {
    /// Where it stands.
    pub spec: GatewaySpec,
    /// Admission.
    pub admission: AdmissionTable,
    /// Peers.
    pub peers: PeerTable,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Random numbers.
    pub rng: ChaCha8Rng,
    /// Latencies by kind.
    pub latencies: Vec<LatencyHistogram>,
    variant: PolicyVariant,
    initial_run_times: Vec<TimeSpan>,
    slots: SlotTable,
    health: HealthTable,
    views: Vec<EndpointView>,
}

#[derive(Clone, Debug)]
struct EndpointView {
    endpoint: EndpointKey,
    limit: ConcurrencyLimit,
    latency_micros: f64,
}

impl FakeGateway {
    /// A gateway that has just started and holds its seat.
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

    /// The kind under which a request is admitted.
    pub fn admission_kind(&self, kind: usize) -> KindKey {
        match self.variant.admission {
            AdmissionRule::OneQueue => KindKey(0),
            AdmissionRule::KindShares | AdmissionRule::SendAtOnce => KindKey(key_index(kind)),
        }
    }

    /// The user under which a request is admitted.
    pub const fn admission_user(&self) -> UserKey {
        UserKey(0)
    }

    /// What requests of the kind usually take.
    pub fn expected_latency(&self, kind: usize) -> TimeSpan {
        self.latencies[kind]
            .quantile(MEDIAN_PERMILLE, MIN_SAMPLES)
            .unwrap_or(self.initial_run_times[kind])
    }

    /// Free slots of the own share at endpoints that serve.
    pub fn free_slots(&self, now: TimePoint) -> u32 {
        self.views.iter().map(|view| self.free_at(view, now)).sum()
    }

    /// Tells admission how many slots are free.
    pub fn update_admission(&mut self, now: TimePoint) {
        let free = self.free_slots(now);
        self.admission.set_free_slots(free);
    }

    /// Takes a slot for an attempt; `None` when none is free.
    ///
    /// An endpoint that is due for a probe comes first, then endpoints that the request has not
    /// used, then those that it has. A request that is not idempotent avoids suspect endpoints.
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

    /// What a hedge of a request that uses the endpoints `used` looks at.
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

    /// Releases the slot of an attempt that ended.
    pub fn release_slot(&mut self, slot: TakenSlot) {
        if let Some(key) = slot.key {
            self.slots.release(key);
        }
    }

    /// Learns from an attempt of a request of `kind`; to be called before its slot is released.
    pub fn record_attempt(
        &mut self,
        endpoint: EndpointKey,
        kind: usize,
        end: AttemptEnd,
        now: TimePoint,
    ) {
        let expected = self.expected_latency(kind);
        let health = match end {
            AttemptEnd::Answered(latency) => HealthSample::Answered { latency, expected },
            AttemptEnd::Abandoned(waited) => HealthSample::Abandoned { waited, expected },
            AttemptEnd::Overdue => HealthSample::Overdue,
            AttemptEnd::Failed => HealthSample::Failed,
        };
        if self.variant.ejects {
            self.health.record(endpoint, health, now);
        }
        let limit = match end {
            AttemptEnd::Answered(latency) => LimitSample::Answered { latency, expected },
            AttemptEnd::Failed => LimitSample::Failed,
            AttemptEnd::Abandoned(_) | AttemptEnd::Overdue => return,
        };
        if let AttemptEnd::Answered(latency) = end {
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

/// What became of an attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum AttemptEnd {
    /// Answered after this.
    Answered(TimeSpan),
    /// Given up after this.
    Abandoned(TimeSpan),
    /// Not ended yet, after longer than nearly all take.
    Overdue,
    /// Refused, broken off or answered with an error.
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

/// Hides load and latency, so that the better of two is any.
fn without_load(candidate: EndpointCandidate) -> EndpointCandidate {
    EndpointCandidate {
        free_slots: candidate.free_slots.min(1),
        share_slots: 1,
        latency: TimeSpan::ZERO,
        ..candidate
    }
}

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
