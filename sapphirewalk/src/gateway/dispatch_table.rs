//! Everything that the gateway decides with: endpoints, shares, health, queues and budgets.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use sapphirewalk_core::endpoint_choice;
use sapphirewalk_core::endpoint_choice::ChoiceStep;
use sapphirewalk_core::endpoint_choice::EndpointCandidate;
use sapphirewalk_core::endpoint_health::HealthStep;
use sapphirewalk_core::hedge::HedgeContext;
use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::slot_share::ShareKey;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::slot_share::SlotTable;
use sapphirewalk_core::slot_share::TakeStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::gateway::endpoint_entry::EndpointEntry;
use crate::gateway::service::ServiceState;
use crate::peer::LeavingMark;

/// Users told apart; the others share one key.
const USERS_MAX: usize = 10_000;
/// The name under which users beyond the bound share their part.
const OTHER_USERS: &str = "/other";

/// A slot of an endpoint, taken for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The unit to release.
    pub unit: ShareKey,
}

/// Everything that the gateway decides with.
#[derive(Debug)]
pub struct DispatchTable {
    /// Own shares.
    pub slots: SlotTable,
    /// Sorted by name.
    pub services: Vec<ServiceState>,
    /// Kinds of work by name.
    pub kinds: NameArena<KindKey>,
    /// Seeded random numbers.
    pub rng: ChaCha8Rng,
    endpoint_names: NameArena<EndpointKey>,
    /// Indexed by endpoint key.
    entries: Vec<EndpointEntry>,
    users: NameArena<UserKey>,
    /// Incarnations that leave, sorted. A mark is never taken back.
    leaving_marks: Vec<LeavingMark>,
    next_request: u32,
}

impl DispatchTable {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        Self {
            slots: SlotTable::new(),
            services: Vec::new(),
            kinds: NameArena::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            endpoint_names: NameArena::new(),
            entries: Vec::new(),
            users: NameArena::new(),
            leaving_marks: Vec::new(),
            next_request: 0,
        }
    }

    /// The key of the next request.
    pub const fn next_request(&mut self) -> RequestKey {
        self.next_request = self.next_request.wrapping_add(1);
        RequestKey(self.next_request)
    }

    /// The key of a user.
    pub fn user_key(&mut self, name: &str) -> UserKey {
        match self.users.find(name) {
            Some(key) => key,
            None if self.users.len() < USERS_MAX => self.users.intern(name),
            None => self.users.intern(OTHER_USERS),
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceState> {
        let position = self.search_service(name).ok()?;
        Some(&self.services[position])
    }

    /// A service by name, to change.
    pub fn service_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        let position = self.search_service(name).ok()?;
        Some(&mut self.services[position])
    }

    /// Where a service is, or belongs, among the sorted services.
    ///
    /// # Errors
    ///
    /// The place to insert it when it is not known.
    pub fn search_service(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.as_str().cmp(name))
    }

    /// Adds an incarnation of an endpoint, or notes its address.
    pub fn put_endpoint(&mut self, entry: &EndpointEntry, capacity: EndpointCapacity) {
        let key = self.intern_endpoint(entry);
        let stored = &mut self.entries[key.index()];
        stored.address = entry.address;
        stored.is_listed = true;
        self.slots.put_endpoint(key, &entry.name, capacity);
        let is_leaving = self.search_leaving(&entry.name, entry.incarnation).is_ok();
        if let Some(service) = self.service_mut(&entry.service) {
            service.health.put_endpoint(key);
            if is_leaving {
                service.health.mark_leaving(key);
            }
        }
    }

    /// Gives nothing more to an incarnation, known or not, for good. Says whether that is new.
    pub fn insert_leaving(&mut self, mark: LeavingMark) -> bool {
        let Err(place) = self.search_leaving(&mark.name, mark.incarnation) else {
            return false;
        };
        if let Some(key) = self.find_endpoint(&mark.name, mark.incarnation) {
            let name = self.entry(key).service.clone();
            if let Some(service) = self.service_mut(&name) {
                service.health.mark_leaving(key);
            }
        }
        self.leaving_marks.insert(place, mark);
        true
    }

    /// The incarnations that leave, sorted.
    pub fn leaving_marks(&self) -> &[LeavingMark] {
        &self.leaving_marks
    }

    fn search_leaving(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.leaving_marks.binary_search_by(|mark| {
            (mark.name.as_str(), mark.incarnation).cmp(&(name, incarnation))
        })
    }

    /// Takes an incarnation that the list no longer names out of use.
    pub fn unlist_endpoint(&mut self, key: EndpointKey) {
        self.entries[key.index()].is_listed = false;
        self.slots.remove_endpoint(key);
    }

    /// The key of an incarnation, if it is known.
    pub fn find_endpoint(&self, name: &str, incarnation: u64) -> Option<EndpointKey> {
        self.endpoint_names.find(&arena_name(name, incarnation))
    }

    /// The key of an incarnation, interned if it is new.
    pub fn intern_endpoint(&mut self, entry: &EndpointEntry) -> EndpointKey {
        let key = self
            .endpoint_names
            .intern(&arena_name(&entry.name, entry.incarnation));
        if key.index() == self.entries.len() {
            self.entries.push(EndpointEntry {
                is_listed: false,
                ..entry.clone()
            });
        }
        key
    }

    /// An endpoint's entry.
    pub fn entry(&self, key: EndpointKey) -> &EndpointEntry {
        &self.entries[key.index()]
    }

    /// All endpoints with their keys.
    pub fn entries(&self) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, entry)| (EndpointKey::from_index(index), entry))
    }

    /// Notes that an endpoint answered.
    pub fn record_answer(&mut self, key: EndpointKey, latency: TimeSpan, now: TimePoint) {
        self.entries[key.index()].record_answer(latency, now);
    }

    /// Notes whether an endpoint can be reached.
    pub fn set_reachable(&mut self, key: EndpointKey, is_reachable: bool) {
        self.entries[key.index()].is_reachable = is_reachable;
    }

    /// What an endpoint may be given at `now`.
    pub fn health_step(&self, key: EndpointKey, now: TimePoint) -> HealthStep {
        let entry = self.entry(key);
        match self.service(&entry.service) {
            Some(service) if entry.is_listed => service.health.step(key, now),
            _ => HealthStep::Leaving,
        }
    }

    /// Slots of the own share of a service that are free at `now`.
    pub fn free_slots(&self, service: &str, now: TimePoint) -> u32 {
        self.serving_endpoints(service, now)
            .map(|(key, _)| self.slots.free(key, ShareUnit::Slot, now))
            .sum()
    }

    /// Slots of the own share of a service at `now`.
    pub fn share_slots(&self, service: &str, now: TimePoint) -> u32 {
        self.serving_endpoints(service, now)
            .map(|(key, _)| self.slots.limit(key, ShareUnit::Slot, now))
            .sum()
    }

    /// What a decision on a hedge looks at, for a request that was sent to the endpoints `used`.
    pub fn hedge_context(
        &self,
        service: &str,
        used: &[EndpointKey],
        earlier_decisions: u32,
        now: TimePoint,
    ) -> HedgeContext {
        let elsewhere = self
            .serving_endpoints(service, now)
            .filter(|(key, _)| !used.contains(key));
        let is_sound = |key: &EndpointKey| self.health_step(*key, now) == HealthStep::Serve;
        HedgeContext {
            free_slots: elsewhere
                .map(|(key, _)| self.slots.free(key, ShareUnit::Slot, now))
                .sum(),
            share_slots: self.share_slots(service, now),
            is_suspect: !used.iter().all(is_sound),
            earlier_decisions,
        }
    }

    /// Tells the service's admission how many requests may run at once.
    pub fn refresh_capacity(&mut self, service: &str, now: TimePoint) {
        let free = self.free_slots(service, now);
        if let Some(state) = self.service_mut(service) {
            state.admission.set_free_slots(free);
        }
    }

    /// Takes a slot of an endpoint of `service`, other than those in `excluded`.
    pub fn take_slot(
        &mut self,
        service: &str,
        is_idempotent: bool,
        excluded: &[EndpointKey],
        now: TimePoint,
    ) -> Option<TakenSlot> {
        let probe = if is_idempotent {
            self.find_probe(service, excluded, now)
        } else {
            None
        };
        let chosen = match probe {
            Some(key) => Some(key),
            // One that is not idempotent could not be sent again from a suspect endpoint.
            None if !is_idempotent => {
                let mut avoided = self.suspect_endpoints(service, now);
                avoided.extend_from_slice(excluded);
                self.choose(service, &avoided, now)
            }
            None => None,
        };
        let endpoint = match chosen {
            Some(key) => key,
            None => self.choose(service, excluded, now)?,
        };
        match self.slots.take(endpoint, ShareUnit::Slot, now) {
            TakeStep::Taken(unit) => Some(TakenSlot { endpoint, unit }),
            _ => None,
        }
    }

    fn choose(
        &mut self,
        service: &str,
        excluded: &[EndpointKey],
        now: TimePoint,
    ) -> Option<EndpointKey> {
        let candidates: Vec<EndpointCandidate> = self
            .serving_endpoints(service, now)
            .map(|(key, entry)| EndpointCandidate {
                endpoint: key,
                free_slots: self.slots.free(key, ShareUnit::Slot, now),
                share_slots: self.slots.limit(key, ShareUnit::Slot, now),
                latency: entry.latency,
                round_trip: TimeSpan::ZERO,
            })
            .collect();
        match endpoint_choice::choose(&candidates, excluded, &mut self.rng) {
            ChoiceStep::Send(key) => Some(key),
            ChoiceStep::NoneFree => None,
        }
    }

    /// An endpoint that was ejected and may get one request to show that it is well again.
    fn find_probe(
        &self,
        service: &str,
        excluded: &[EndpointKey],
        now: TimePoint,
    ) -> Option<EndpointKey> {
        self.entries()
            .filter(|(_, entry)| entry.may_serve(service))
            .filter(|(key, _)| !excluded.contains(key))
            .filter(|(key, _)| self.slots.in_use(*key, ShareUnit::Slot) == 0)
            .filter(|(key, _)| self.slots.free(*key, ShareUnit::Slot, now) > 0)
            .find(|(key, _)| self.health_step(*key, now) == HealthStep::Probe)
            .map(|(key, _)| key)
    }

    fn serving_endpoints(
        &self,
        service: &str,
        now: TimePoint,
    ) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        self.entries()
            .filter(move |(_, entry)| entry.may_serve(service))
            .filter(move |(key, _)| {
                let step = self.health_step(*key, now);
                matches!(step, HealthStep::Serve | HealthStep::Suspect)
            })
    }

    fn suspect_endpoints(&self, service: &str, now: TimePoint) -> Vec<EndpointKey> {
        self.serving_endpoints(service, now)
            .map(|(key, _)| key)
            .filter(|key| self.health_step(*key, now) == HealthStep::Suspect)
            .collect()
    }
}

fn arena_name(name: &str, incarnation: u64) -> String {
    format!("{name}/{incarnation}")
}
