//! State that all parts of the scheduler share.

use std::cmp;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;

use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::row::VmIncarnation;

use crate::config::SchedulerSettings;
use crate::peer::LeavingVm;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerRole;
use crate::peer::QuotaShortage;
use crate::peer::ShardStatus;
use crate::process::DaemonProcess;
use crate::scheduler::actor::ShardHandle;
use crate::scheduler::effect::ShardMessage;
use crate::scheduler::held::MoveTarget;
use crate::scheduler::metric::SchedulerMetrics;
use crate::scheduler::name;
use crate::scheduler::name::ShardName;
use crate::scheduler::notice::NoticeList;
use crate::scheduler::worker_client::WorkerClient;
use crate::scheduler::write_group::WriteGroup;

/// Age of a peer's last status from which the peer does not count as live.
const PEER_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Age from which the shard statuses of a peer are ignored. Longer than [`PEER_TIMEOUT`], since
/// each round of the status exchange reaches all peers of the own domain, but only one of the other
/// domains.
const STATUS_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Delay between one candidate's attempt to acquire a vacant shard and the next candidate's.
const ACQUISITION_STEP: TimeSpan = TimeSpan::from_millis(1_000);

/// State that all parts of the scheduler share.
#[derive(Debug)]
pub struct SchedulerContext {
    /// The parts that every kind of daemon has: settings, clock, platform client, peers, rollout.
    pub process: Arc<DaemonProcess>,
    /// The scheduler's section of the settings, read once at the start.
    pub settings: SchedulerSettings,
    /// Durations and tolerances of leases, from the settings.
    pub timing: LeaseTiming,
    /// Sends commands to workers.
    pub worker_client: WorkerClient,
    /// Writes rows on behalf of callers: submissions and cancellations.
    pub writes: WriteGroup,
    /// Sends the scheduler's metrics to the metrics server.
    pub metrics: SchedulerMetrics,
    /// Notices that holders of shards have not acknowledged yet.
    pub notices: NoticeList,
    /// The actors of the shards that this process watches or holds, sorted by name.
    shards: Mutex<Vec<ShardHandle>>,
}

impl SchedulerContext {
    /// Builds the shared state, with no shards yet, and starts the task that writes rows for
    /// callers.
    pub fn new(process: Arc<DaemonProcess>) -> Self {
        let settings = process.settings.scheduler;
        let interval = TimeSpan::from_millis(settings.insert_interval_ms);
        let timeout = TimeSpan::from_millis(settings.worker_timeout_ms);
        Self {
            settings,
            timing: lease_timing(&settings),
            worker_client: WorkerClient::new(
                timeout.into(),
                Arc::clone(&process.worker_or_endpoint_traffic),
            ),
            writes: WriteGroup::start(process.platform.clone(), interval.into()),
            metrics: SchedulerMetrics::new(Arc::clone(&process)),
            notices: NoticeList::default(),
            shards: Mutex::new(Vec::new()),
            process,
        }
    }

    /// The actors of the shards that this process watches or holds, sorted by name.
    pub fn shards(&self) -> Vec<ShardHandle> {
        self.shards
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Adds the actor of a shard, unless one of this name is present.
    pub fn add_shard(&self, handle: ShardHandle) {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(position) = shards.binary_search_by(|other| other.name.cmp(&handle.name)) {
            shards.insert(position, handle);
        }
    }

    /// Removes the actor of a shard; `None` if there is none.
    pub fn remove_shard(&self, name: &ShardName) -> Option<ShardHandle> {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let position = shards.binary_search_by(|other| other.name.cmp(name)).ok()?;
        Some(shards.remove(position))
    }

    /// Notifies the shard's holder that a task's row is new or has changed, and retries later if
    /// the holder does not acknowledge it. The holder's periodic scan covers notices that are never
    /// delivered.
    pub async fn notify(&self, shard: &ShardName, id: &str) {
        if !self.try_notify(shard, id).await {
            self.notices.add(shard, id);
        }
    }

    /// Notifies the shard's holder once, without a retry. Returns whether it acknowledged.
    pub async fn try_notify(&self, shard: &ShardName, id: &str) -> bool {
        if self.notify_local(shard, id) {
            return true;
        }
        let Some(peer) = self
            .holder_of(shard)
            .and_then(|name| self.process.find_peer(&name))
        else {
            return false;
        };
        let request = PeerRequest::TaskChanged { id: id.to_owned() };
        let call = self.process.transport.call(&peer, &request, Bytes::new());
        let limit = TimeSpan::from_millis(self.settings.worker_timeout_ms);
        let answer = tokio::time::timeout(limit.into(), call).await;
        matches!(answer, Ok(Ok((PeerReply::Done, _))))
    }

    /// Notifies the shard's actor in this process. Returns false if this process does not hold the
    /// shard or the actor's queue is full.
    pub fn notify_local(&self, shard: &ShardName, id: &str) -> bool {
        let shards = self.shards();
        let Some(handle) = shards.iter().find(|handle| handle.name == *shard) else {
            return false;
        };
        let message = ShardMessage::TaskChanged(id.to_owned());
        handle.is_held() && handle.messages.try_send(message).is_ok()
    }

    /// Delay before this VM acquires a vacant shard: one step for each live candidate that precedes
    /// it. Candidates are ordered by the number of shards held, then by rank.
    pub fn acquisition_delay(&self, shard: &ShardName) -> TimeSpan {
        let own = &self.process.settings.vm.name;
        let own_load = self.held_shards().len();
        let own_rank = name::rank(own, &shard.id_prefix());
        let preceding = self
            .live_candidates(shard)
            .iter()
            .filter(|peer| (peer.load, peer.rank) < (own_load, own_rank))
            .count();
        ACQUISITION_STEP.scale(preceding as f64)
    }

    /// Announces to the peers that a worker is leaving.
    pub fn announce_leaving(&self, incarnation: &VmIncarnation) {
        let mark = LeavingVm {
            name: incarnation.name.clone(),
            incarnation: incarnation.incarnation,
        };
        self.process.gossip.announce(|status| {
            if let Err(position) = status.leaving.binary_search(&mark) {
                status.leaving.insert(position, mark);
            }
        });
    }

    /// Endpoints and workers that peers announced as leaving.
    pub fn leaving_vms(&self) -> Vec<VmIncarnation> {
        self.process
            .gossip
            .peers()
            .into_iter()
            .flat_map(|peer| peer.status.leaving)
            .map(|mark| VmIncarnation {
                name: mark.name,
                incarnation: mark.incarnation,
            })
            .collect()
    }

    /// The last status of each shard from its holder, this process included. If several processes
    /// claim a shard, this process's status has priority, then the newest.
    pub fn shard_statuses(&self) -> Vec<ShardStatus> {
        let now = self.process.clock.now();
        let mut peers = self.process.gossip.peers();
        peers.retain(|peer| now.since(peer.received_at) <= STATUS_TIMEOUT);
        peers.sort_by_key(|peer| cmp::Reverse(peer.received_at));
        let received = peers.into_iter().flat_map(|peer| peer.status.shards);
        let mut statuses: Vec<ShardStatus> = Vec::new();
        for status in self
            .process
            .gossip
            .own_status()
            .shards
            .into_iter()
            .chain(received)
        {
            let position = statuses.binary_search_by(|other| {
                (&other.domain, other.index).cmp(&(&status.domain, status.index))
            });
            if let Err(position) = position {
                statuses.insert(position, status);
            }
        }
        statuses
    }

    /// The shortages of teams' quotas that all shards report.
    pub fn quota_shortages(&self) -> Vec<QuotaShortage> {
        let statuses = self.shard_statuses().into_iter();
        statuses.flat_map(|status| status.quota_wants).collect()
    }

    /// The shards that have a holder, as possible targets of a move; includes this process's
    /// shards.
    pub fn move_targets(&self) -> Vec<MoveTarget> {
        let to_target = |status: ShardStatus| MoveTarget {
            name: ShardName {
                domain: status.domain,
                index: status.index,
            },
            largest_free: status.largest_free,
            free_cpu_millis: status.free_cpu_millis,
            is_open: status.is_open,
            pending: status.pending,
        };
        self.shard_statuses().into_iter().map(to_target).collect()
    }

    /// The shards that this process holds, sorted by name.
    pub fn held_shards(&self) -> Vec<ShardName> {
        let shards = self.shards().into_iter();
        shards
            .filter(ShardHandle::is_held)
            .map(|handle| handle.name)
            .collect()
    }

    /// The number of other live schedulers that may acquire a shard.
    pub fn candidate_count(&self, shard: &ShardName) -> usize {
        self.live_candidates(shard).len()
    }

    /// Whether a live peer that is not shutting down reports that it holds the shard.
    pub fn has_live_holder(&self, shard: &ShardName) -> bool {
        let now = self.process.clock.now();
        self.process.gossip.peers().iter().any(|peer| {
            let holds = peer
                .status
                .shards
                .iter()
                .any(|held| held.domain == shard.domain && held.index == shard.index);
            holds && peer.status.ready && is_alive(peer.received_at, now)
        })
    }

    /// The name of the VM whose newest status claims the shard.
    fn holder_of(&self, shard: &ShardName) -> Option<String> {
        let peers = self.process.gossip.peers();
        let holds = |peer: &&crate::peer::PeerView| {
            peer.status
                .shards
                .iter()
                .any(|held| held.domain == shard.domain && held.index == shard.index)
        };
        let newest = peers
            .iter()
            .filter(holds)
            .max_by_key(|peer| peer.received_at);
        newest.map(|peer| peer.status.vm.clone())
    }

    /// The other live schedulers that may acquire a shard. For a shard of the own failure domain
    /// these are the schedulers of that domain; a shard of another domain may go to any.
    fn live_candidates(&self, shard: &ShardName) -> Vec<HolderCandidate> {
        let now = self.process.clock.now();
        let is_own_domain = shard.domain == self.process.settings.vm.domain;
        let addresses = self.process.peers_with_role(PeerRole::Scheduler);
        self.process
            .gossip
            .peers()
            .into_iter()
            .filter(|peer| is_alive(peer.received_at, now) && peer.status.ready)
            .filter(|peer| {
                let found = addresses
                    .iter()
                    .find(|address| address.name == peer.status.vm);
                !is_own_domain || found.is_some_and(|address| address.domain == shard.domain)
            })
            .map(|peer| HolderCandidate {
                load: peer.status.shards.len(),
                rank: name::rank(&peer.status.vm, &shard.id_prefix()),
            })
            .collect()
    }
}

/// The order of a scheduler among those that may acquire a shard; the least goes first.
#[derive(Clone, Copy, Debug)]
struct HolderCandidate {
    /// Shards that it holds.
    load: usize,
    /// Breaks ties of the load.
    rank: u64,
}

fn is_alive(heard_at: TimePoint, now: TimePoint) -> bool {
    now.since(heard_at) <= PEER_TIMEOUT
}

fn lease_timing(settings: &SchedulerSettings) -> LeaseTiming {
    let silence_span = TimeSpan::from_millis(settings.silence_ms);
    let renew_every = TimeSpan::from_millis(settings.shard_renew_ms);
    LeaseTiming {
        shard_span: TimeSpan::from_millis(settings.shard_lease_ms),
        worker_span: TimeSpan::from_millis(settings.worker_lease_ms),
        renew_every,
        recheck_after: renew_every.scale(2.0),
        silence_span,
        read_gap_max: silence_span.scale(0.5),
        drift_max: TimeSpan::from_millis(settings.clock_drift_ms),
        stop_delay_max: TimeSpan::from_millis(settings.stop_delay_ms),
    }
}
