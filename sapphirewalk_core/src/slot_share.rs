//! Static partition of each endpoint's slots and connections among the seats of a failure domain.
//!
//! The shares of all seats add up to exactly the capacity of the endpoint. An entry VM that holds a
//! seat therefore uses its share without coordination, and a network partition between entry VMs
//! cannot overload an endpoint.

use std::hash::Hasher;

use fnv::FnvHasher;

use crate::key::EndpointKey;
use crate::time::TimePoint;

/// Concurrent load that an endpoint can handle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCapacity {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// A unit of an endpoint's capacity.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShareUnit {
    /// Room for one running request.
    Slot,
    /// Room for one open connection.
    Connection,
}

/// A seat of a failure domain, held by one entry VM under an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeatGrant {
    /// Index of the seat, less than `seats`.
    pub seat: u32,
    /// Number of seats that the domain is divided into.
    pub seats: u32,
    /// Increases with each change of the holder or of the number of seats.
    pub epoch: u64,
    /// Point from which the holder may use the share; an earlier holder may use it until then.
    pub usable_from: TimePoint,
    /// Point at which the grant expires. `None` if the grant does not expire by itself: the seat is
    /// free only once the holder is proven to have ended.
    pub usable_until: Option<TimePoint>,
}

/// Key of a unit in use; needed to release it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShareKey {
    /// Endpoint whose capacity the unit belongs to.
    pub endpoint: EndpointKey,
    /// Whether the unit is a slot or a connection.
    pub unit: ShareUnit,
    /// Unique within the table, so that a second release of the unit is recognised.
    number: u64,
}

/// Result of taking a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeStep {
    /// The unit is in use until it is released with this key.
    Taken(ShareKey),
    /// All units of the share are in use. Choose another endpoint, forward the request or queue it.
    Full,
    /// The seat was taken over from another holder and may be used only from this point on.
    NotBefore(TimePoint),
    /// This entry VM holds no seat, or its grant has expired.
    NoSeat,
    /// The endpoint is not in the table.
    UnknownEndpoint,
}

/// Result of releasing a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseStep {
    /// The unit is free again; a queued request may use it.
    Freed,
    /// The unit was released before; nothing changed.
    AlreadyFree,
}

/// Shares of an entry VM at all endpoints, and the units in use.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    grant: Option<SeatGrant>,
    /// Share that applies until `grant` becomes usable.
    interim: InterimShare,
    /// Sorted by endpoint.
    shares: Vec<EndpointShare>,
    next_number: u64,
}

/// Share that may be used before the current grant becomes usable.
#[derive(Clone, Debug, Default)]
enum InterimShare {
    /// Nothing, since another VM may still use the seat.
    #[default]
    Nothing,
    /// The smallest of the shares under these earlier grants and the current one.
    Smallest(Vec<SeatGrant>),
}

#[derive(Clone, Debug)]
struct EndpointShare {
    endpoint: EndpointKey,
    name_hash: u64,
    capacity: EndpointCapacity,
    /// Removed with [`SlotTable::remove_endpoint`]; dropped once all units in use are released.
    is_removed: bool,
    /// Numbers of the [`ShareKey`]s of slots in use, ascending.
    slots_in_use: Vec<u64>,
    /// Numbers of the [`ShareKey`]s of connections in use, ascending.
    connections_in_use: Vec<u64>,
}

/// Share of `seat` when `capacity` units of the endpoint `name` are divided among `seats` seats.
///
/// Shares differ by at most one unit and add up to `capacity`. The endpoint name and the unit
/// determine which seats get the remainder, so that remainders are spread over the seats. The share
/// of a seat outside the division is zero.
pub fn seat_share(capacity: u32, seats: u32, seat: u32, name: &str, unit: ShareUnit) -> u32 {
    hashed_share(capacity, seats, seat, name_hash(name), unit)
}

impl SlotTable {
    /// A table without a grant and without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Installs the grant of a seat or of a changed division.
    ///
    /// A grant whose epoch is not above the current one is ignored. Before `usable_from`, a grant
    /// of the next epoch of the same seat permits the smallest share under all divisions that may
    /// still be in force, and any other grant permits nothing. `usable_from` must lie after the end
    /// of every request that an earlier holder or division may still run.
    pub fn set_seat(&mut self, mut grant: SeatGrant, now: TimePoint) {
        let Some(held) = self.grant else {
            self.grant = Some(grant);
            return;
        };
        if held.epoch >= grant.epoch {
            return;
        }
        let is_next_epoch = held.seat == grant.seat && held.epoch + 1 == grant.epoch;
        let is_valid = self.valid_grant(now).is_some();
        self.interim = if is_next_epoch && is_valid {
            grant.usable_from = grant.usable_from.max(held.usable_from);
            self.interim_share(held, now)
        } else {
            InterimShare::Nothing
        };
        self.grant = Some(grant);
    }

    /// Sets the expiry of the current grant; ignored if its epoch differs from `epoch`.
    pub fn renew_seat(&mut self, epoch: u64, usable_until: Option<TimePoint>) {
        if let Some(grant) = self.grant.as_mut().filter(|grant| grant.epoch == epoch) {
            grant.usable_until = usable_until;
        }
    }

    /// Drops the grant. No further unit can be taken; units in use stay so until released.
    pub fn clear_seat(&mut self) {
        self.grant = None;
        self.interim = InterimShare::Nothing;
    }

    /// The current grant, which may have expired or not be usable yet.
    pub const fn seat(&self) -> Option<SeatGrant> {
        self.grant
    }

    /// Adds an endpoint or changes its capacity. Units in use above a smaller share stay in use.
    pub fn put_endpoint(&mut self, endpoint: EndpointKey, name: &str, capacity: EndpointCapacity) {
        match self.search(endpoint) {
            Ok(position) => {
                self.shares[position].capacity = capacity;
                self.shares[position].is_removed = false;
            }
            Err(position) => {
                let share = EndpointShare::new(endpoint, name_hash(name), capacity);
                self.shares.insert(position, share);
            }
        }
    }

    /// Removes an endpoint; its units in use stay counted until released.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        if let Ok(position) = self.search(endpoint) {
            self.shares[position].is_removed = true;
            self.drop_if_idle(position);
        }
    }

    /// Takes a unit of this VM's share of `endpoint`, if one is free.
    pub fn take(&mut self, endpoint: EndpointKey, unit: ShareUnit, now: TimePoint) -> TakeStep {
        let Ok(position) = self.search(endpoint) else {
            return TakeStep::UnknownEndpoint;
        };
        if self.shares[position].is_removed {
            return TakeStep::UnknownEndpoint;
        }
        let Some(grant) = self.valid_grant(now) else {
            return TakeStep::NoSeat;
        };
        if now < grant.usable_from && matches!(self.interim, InterimShare::Nothing) {
            return TakeStep::NotBefore(grant.usable_from);
        }
        let limit = self.limit_at(position, unit, now);
        if self.shares[position].in_use(unit) >= limit {
            return TakeStep::Full;
        }
        self.next_number += 1;
        let number = self.next_number;
        self.shares[position].in_use_mut(unit).push(number);
        TakeStep::Taken(ShareKey {
            endpoint,
            unit,
            number,
        })
    }

    /// Releases a unit; a second release of the same unit has no effect.
    pub fn release(&mut self, key: ShareKey) -> ReleaseStep {
        let Ok(position) = self.search(key.endpoint) else {
            return ReleaseStep::AlreadyFree;
        };
        let held = self.shares[position].in_use_mut(key.unit);
        let Ok(index) = held.binary_search(&key.number) else {
            return ReleaseStep::AlreadyFree;
        };
        held.remove(index);
        self.drop_if_idle(position);
        ReleaseStep::Freed
    }

    /// This VM's share of `endpoint` at `now`, in units; zero without a valid grant.
    pub fn limit(&self, endpoint: EndpointKey, unit: ShareUnit, now: TimePoint) -> u32 {
        self.search(endpoint)
            .map_or(0, |position| self.limit_at(position, unit, now))
    }

    /// Number of units that this VM uses at `endpoint`.
    pub fn in_use(&self, endpoint: EndpointKey, unit: ShareUnit) -> u32 {
        self.search(endpoint)
            .map_or(0, |position| self.shares[position].in_use(unit))
    }

    /// Number of free units in this VM's share of `endpoint` at `now`.
    pub fn free(&self, endpoint: EndpointKey, unit: ShareUnit, now: TimePoint) -> u32 {
        self.limit(endpoint, unit, now)
            .saturating_sub(self.in_use(endpoint, unit))
    }

    /// Endpoints that have not been removed, sorted by key.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.shares
            .iter()
            .filter(|share| !share.is_removed)
            .map(|share| share.endpoint)
    }

    fn valid_grant(&self, now: TimePoint) -> Option<SeatGrant> {
        self.grant
            .filter(|grant| grant.usable_until.is_none_or(|until| now < until))
    }

    fn limit_at(&self, position: usize, unit: ShareUnit, now: TimePoint) -> u32 {
        let share = &self.shares[position];
        if share.is_removed {
            return 0;
        }
        let Some(grant) = self.valid_grant(now) else {
            return 0;
        };
        let own = share.share_under(grant, unit);
        if now >= grant.usable_from {
            return own;
        }
        match &self.interim {
            InterimShare::Nothing => 0,
            InterimShare::Smallest(earlier) => earlier
                .iter()
                .map(|division| share.share_under(*division, unit))
                .fold(own, u32::min),
        }
    }

    /// Interim share after the grant `held` is followed by a grant of the next epoch.
    fn interim_share(&self, held: SeatGrant, now: TimePoint) -> InterimShare {
        if now >= held.usable_from {
            return InterimShare::Smallest(vec![held]);
        }
        match &self.interim {
            InterimShare::Nothing => InterimShare::Nothing,
            InterimShare::Smallest(earlier) => {
                let mut divisions = earlier.clone();
                divisions.push(held);
                InterimShare::Smallest(divisions)
            }
        }
    }

    fn drop_if_idle(&mut self, position: usize) {
        if self.shares[position].is_idle() && self.shares[position].is_removed {
            self.shares.remove(position);
        }
    }

    fn search(&self, endpoint: EndpointKey) -> Result<usize, usize> {
        self.shares
            .binary_search_by_key(&endpoint, |share| share.endpoint)
    }
}

impl EndpointShare {
    const fn new(endpoint: EndpointKey, name_hash: u64, capacity: EndpointCapacity) -> Self {
        Self {
            endpoint,
            name_hash,
            capacity,
            is_removed: false,
            slots_in_use: Vec::new(),
            connections_in_use: Vec::new(),
        }
    }

    fn share_under(&self, grant: SeatGrant, unit: ShareUnit) -> u32 {
        let capacity = match unit {
            ShareUnit::Slot => self.capacity.slots,
            ShareUnit::Connection => self.capacity.connections,
        };
        hashed_share(capacity, grant.seats, grant.seat, self.name_hash, unit)
    }

    fn in_use(&self, unit: ShareUnit) -> u32 {
        let held = match unit {
            ShareUnit::Slot => &self.slots_in_use,
            ShareUnit::Connection => &self.connections_in_use,
        };
        u32::try_from(held.len()).unwrap_or(u32::MAX)
    }

    const fn in_use_mut(&mut self, unit: ShareUnit) -> &mut Vec<u64> {
        match unit {
            ShareUnit::Slot => &mut self.slots_in_use,
            ShareUnit::Connection => &mut self.connections_in_use,
        }
    }

    const fn is_idle(&self) -> bool {
        self.slots_in_use.is_empty() && self.connections_in_use.is_empty()
    }
}

fn hashed_share(capacity: u32, seats: u32, seat: u32, hash: u64, unit: ShareUnit) -> u32 {
    if seat >= seats {
        return 0;
    }
    let offset_hash = match unit {
        ShareUnit::Slot => hash,
        ShareUnit::Connection => hash.rotate_left(u64::BITS / 2),
    };
    let first_seat = u32::try_from(offset_hash % u64::from(seats)).unwrap_or(0);
    let rank = (seat + seats - first_seat) % seats;
    capacity / seats + u32::from(rank < capacity % seats)
}

/// 64-bit FNV-1a hash of a name. It must be the same on every VM and in every release, since all
/// holders compute their shares from it.
fn name_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
