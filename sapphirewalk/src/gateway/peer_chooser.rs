//! Chooses peers for forwarded requests by the free slots that they last reported.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::peer_choice::PeerReport;
use sapphirewalk_core::peer_choice::PeerStep;
use sapphirewalk_core::peer_choice::PeerTable;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::peer::PeerView;

/// Age after which a peer's report of its free slots is ignored.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_secs(3);
/// Round trip assumed to a peer in the same failure domain.
const SAME_DOMAIN_ROUND_TRIP: TimeSpan = TimeSpan::from_millis(1);
/// Round trip assumed to a peer in another failure domain.
const OTHER_DOMAIN_ROUND_TRIP: TimeSpan = TimeSpan::from_millis(3);

/// Free slots of the peers by service.
#[derive(Debug)]
pub struct PeerChooser {
    names: NameArena<VmKey>,
    /// Receipt time of the last status that was applied for each peer; indexed by key.
    heard_at: Vec<TimePoint>,
    /// Sorted by service.
    services: Vec<ServicePeers>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct ServicePeers {
    service: String,
    table: PeerTable,
}

impl PeerChooser {
    /// Creates a chooser without peers. `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            names: NameArena::new(),
            heard_at: Vec::new(),
            services: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies the status of a peer, unless it has already been applied. A peer that is not ready
    /// counts as full.
    pub fn update(&mut self, view: &PeerView, is_same_domain: bool) {
        let peer = self.names.intern(&view.status.vm);
        if peer.index() == self.heard_at.len() {
            self.heard_at.push(TimePoint::EPOCH);
        }
        if self.heard_at[peer.index()] == view.received_at {
            return;
        }
        self.heard_at[peer.index()] = view.received_at;
        for status in &view.status.services {
            let report = PeerReport {
                peer,
                free_slots: if view.status.ready {
                    status.free_slots
                } else {
                    0
                },
                round_trip: if is_same_domain {
                    SAME_DOMAIN_ROUND_TRIP
                } else {
                    OTHER_DOMAIN_ROUND_TRIP
                },
                reported_at: view.received_at,
            };
            self.table_mut(&status.service).report(report);
        }
    }

    /// Applies the free slots that a peer reported in its answer to a forwarded request.
    pub fn update_from_answer(
        &mut self,
        service: &str,
        peer: &str,
        free_slots: u32,
        now: TimePoint,
    ) {
        if let Some(peer) = self.names.find(peer) {
            self.table_mut(service).report_free(peer, free_slots, now);
        }
    }

    /// Chooses a peer whose round trip is shorter than `remaining`, and counts one of its slots as
    /// used. `None` if no such peer has a free slot.
    pub fn choose(&mut self, service: &str, remaining: TimeSpan, now: TimePoint) -> Option<String> {
        let position = self.search(service).ok()?;
        let table = &mut self.services[position].table;
        match table.choose(remaining, now, &mut self.rng) {
            PeerStep::Forward(peer) => Some(self.names.name(peer).to_owned()),
            PeerStep::NoneFree => None,
        }
    }

    /// Counts a peer as full until its next report.
    pub fn mark_full(&mut self, service: &str, peer: &str) {
        if let Some(key) = self.names.find(peer) {
            self.table_mut(service).mark_full(key);
        }
    }

    fn table_mut(&mut self, service: &str) -> &mut PeerTable {
        let position = match self.search(service) {
            Ok(position) => position,
            Err(insert_at) => {
                let peers = ServicePeers {
                    service: service.to_owned(),
                    table: PeerTable::with_lifetime(REPORT_LIFETIME),
                };
                self.services.insert(insert_at, peers);
                insert_at
            }
        };
        &mut self.services[position].table
    }

    fn search(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|peers| peers.service.as_str().cmp(service))
    }
}
