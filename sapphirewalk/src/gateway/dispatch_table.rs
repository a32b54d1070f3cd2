//! State for dispatch decisions: endpoints, shares, health, queues and budgets.

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
use crate::peer::LeavingVm;

/// Maximum number of users with a key of their own; the others share one key.
const USERS_MAX: usize = 10_000;
/// Name of the key that the users beyond the maximum share. No user has this name, since names
/// can't contain `/`.
const OTHER_USERS: &str = "/other";

/// A slot of an endpoint, taken for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointKey,
    /// Unit of the endpoint's share to release when the attempt ends.
    pub unit: ShareKey,
}

/// State for dispatch decisions. One lock guards it all, so that each decision is atomic.
#[derive(Debug)]
pub struct DispatchTable {
    /// Slots and connections of this gateway's share, by endpoint.
    pub slots: SlotTable,
    /// Services of the bundles in force so far, sorted by name.
    pub services: Vec<ServiceState>,
    /// Keys of the kinds, by name.
    pub kinds: NameArena<KindKey>,
    /// Random numbers for the choice of endpoints.
    pub rng: ChaCha8Rng,
    endpoint_names: NameArena<EndpointKey>,
    /// Indexed by endpoint key.
    entries: Vec<EndpointEntry>,
    users: NameArena<UserKey>,
    /// Leaving incarnations, sorted. None is ever removed.
    leaving_marks: Vec<LeavingVm>,
    next_request: u32,
}

impl DispatchTable {
    /// Creates an empty table. `seed` determines its random choices.
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

    /// Returns a new request key. Keys wrap around after all values of `u32`.
    pub const fn next_request(&mut self) -> RequestKey {
        self.next_request = self.next_request.wrapping_add(1);
        RequestKey(self.next_request)
    }

    /// Returns the key of a user, or the common one once the maximum number of users is reached.
    pub fn user_key(&mut self, name: &str) -> UserKey {
        match self.users.find(name) {
            Some(key) => key,
            None if self.users.len() < USERS_MAX => self.users.intern(name),
            None => self.users.intern(OTHER_USERS),
        }
    }

    /// Returns a service by name; `None` if no bundle has named it yet.
    pub fn service(&self, name: &str) -> Option<&ServiceState> {
        let position = self.search_service(name).ok()?;
        Some(&self.services[position])
    }

    /// Returns a service by name, to change it; `None` if no bundle has named it yet.
    pub fn service_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        let position = self.search_service(name).ok()?;
        Some(&mut self.services[position])
    }

    /// Searches the sorted services by name.
    ///
    /// # Errors
    ///
    /// The position at which to insert the service, if it is not in the table.
    pub fn search_service(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.as_str().cmp(name))
    }

    /// Lists an incarnation of an endpoint, with its current address and capacity.
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

    /// Records that an incarnation is leaving, even if it is not in the table yet. It never gets
    /// requests again. Returns whether the record is new.
    pub fn insert_leaving(&mut self, mark: LeavingVm) -> bool {
        let Err(insert_at) = self.search_leaving(&mark.name, mark.incarnation) else {
            return false;
        };
        if let Some(key) = self.find_endpoint(&mark.name, mark.incarnation) {
            let name = self.entry(key).service.clone();
            if let Some(service) = self.service_mut(&name) {
                service.health.mark_leaving(key);
            }
        }
        self.leaving_marks.insert(insert_at, mark);
        true
    }

    /// Incarnations that are recorded as leaving, sorted by name and number.
    pub fn leaving_marks(&self) -> &[LeavingVm] {
        &self.leaving_marks
    }

    fn search_leaving(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.leaving_marks.binary_search_by(|mark| {
            (mark.name.as_str(), mark.incarnation).cmp(&(name, incarnation))
        })
    }

    /// Removes an incarnation from use after the VM list no longer shows it as live.
    pub fn unlist_endpoint(&mut self, key: EndpointKey) {
        self.entries[key.index()].is_listed = false;
        self.slots.remove_endpoint(key);
    }

    /// Returns the key of an incarnation; `None` if it was never in the table.
    pub fn find_endpoint(&self, name: &str, incarnation: u64) -> Option<EndpointKey> {
        self.endpoint_names.find(&arena_name(name, incarnation))
    }

    /// Returns the key of an incarnation. A new one gets an entry that is not listed.
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

    /// Returns the entry of a key that this table has issued.
    pub fn entry(&self, key: EndpointKey) -> &EndpointEntry {
        &self.entries[key.index()]
    }

    /// All incarnations that were ever in the table, with their keys.
    pub fn entries(&self) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, entry)| (EndpointKey::from_index(index), entry))
    }

    /// Updates the average latency of an endpoint and the time of its last answer.
    pub fn record_answer(&mut self, key: EndpointKey, latency: TimeSpan, now: TimePoint) {
        self.entries[key.index()].record_answer(latency, now);
    }

    /// Sets whether the last connection to an endpoint could be opened.
    pub fn set_reachable(&mut self, key: EndpointKey, is_reachable: bool) {
        self.entries[key.index()].is_reachable = is_reachable;
    }

    /// Requests that an endpoint may get at `now`.
    pub fn health_step(&self, key: EndpointKey, now: TimePoint) -> HealthStep {
        let entry = self.entry(key);
        match self.service(&entry.service) {
            Some(service) if entry.is_listed => service.health.step(key, now),
            _ => HealthStep::Leaving,
        }
    }

    /// Free slots of this gateway's share of a service at `now`.
    pub fn free_slots(&self, service: &str, now: TimePoint) -> u32 {
        self.serving_endpoints(service, now)
            .map(|(key, _)| self.slots.free(key, ShareUnit::Slot, now))
            .sum()
    }

    /// Slots of this gateway's share of a service at `now`, free or in use.
    pub fn share_slots(&self, service: &str, now: TimePoint) -> u32 {
        self.serving_endpoints(service, now)
            .map(|(key, _)| self.slots.limit(key, ShareUnit::Slot, now))
            .sum()
    }

    /// Input of a hedging decision on a request that was sent to the endpoints `used`.
    pub fn hedge_context(
        &self,
        service: &str,
        used: &[EndpointKey],
        earlier_decisions: u32,
        now: TimePoint,
    ) -> HedgeContext {
        let others = self
            .serving_endpoints(service, now)
            .filter(|(key, _)| !used.contains(key));
        let is_serving = |key: &EndpointKey| self.health_step(*key, now) == HealthStep::Serve;
        HedgeContext {
            free_slots: others
                .map(|(key, _)| self.slots.free(key, ShareUnit::Slot, now))
                .sum(),
            share_slots: self.share_slots(service, now),
            is_suspect: !used.iter().all(is_serving),
            earlier_decisions,
        }
    }

    /// Sets the number of free slots in the admission table of a service.
    pub fn refresh_capacity(&mut self, service: &str, now: TimePoint) {
        let free = self.free_slots(service, now);
        if let Some(state) = self.service_mut(service) {
            state.admission.set_free_slots(free);
        }
    }

    /// Takes a slot at an endpoint of `service` that is not in `excluded`.
    ///
    /// An idempotent request is sent to an ejected endpoint that is due for a probe, if there is
    /// one. Any other request avoids suspect endpoints if possible.
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
            // A request that is not idempotent can't be retried if a suspect endpoint fails.
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

    /// Returns an ejected endpoint that may get one request as a probe of its recovery.
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
