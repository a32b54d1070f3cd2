//! What all parts of the scheduler share.

use std::cmp;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;

use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::row::VmName;

use crate::config::SchedulerSettings;
use crate::peer::LeavingMark;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerRole;
use crate::peer::QuotaWant;
use crate::peer::ShardStatus;
use crate::process::ProcessKit;
use crate::scheduler::actor::ShardHandle;
use crate::scheduler::effect::ShardMessage;
use crate::scheduler::held::MoveTarget;
use crate::scheduler::metric::SchedulerMetrics;
use crate::scheduler::name;
use crate::scheduler::name::ShardName;
use crate::scheduler::notice::NoticeList;
use crate::scheduler::worker_client::WorkerClient;
use crate::scheduler::write_group::WriteGroup;

/// How long a peer that was heard counts as alive.
const PEER_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// How long what a holder said of its shards counts; those of other domains are heard in turn.
const STATUS_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// How much later each next candidate takes a vacant shard.
const ACQUISITION_STEP: TimeSpan = TimeSpan::from_millis(1_000);

/// What all parts of the scheduler share.
#[derive(Debug)]
pub struct SchedulerContext {
    /// The parts that every daemon shares.
    pub kit: Arc<ProcessKit>,
    /// The scheduler's settings.
    pub settings: SchedulerSettings,
    /// Spans and bounds of leases.
    pub rules: LeaseRules,
    /// Commands to workers.
    pub worker_client: WorkerClient,
    /// Writes rows for callers.
    pub writes: WriteGroup,
    /// The scheduler's metrics.
    pub metrics: SchedulerMetrics,
    /// Notices to holders that have not heard them yet.
    pub notices: NoticeList,
    /// The tasks of shards, sorted by name.
    shards: Mutex<Vec<ShardHandle>>,
}

impl SchedulerContext {
    /// Builds what the parts share, with no shards yet.
    pub fn new(kit: Arc<ProcessKit>) -> Self {
        let settings = kit.settings.scheduler;
        let interval = TimeSpan::from_millis(settings.insert_interval_ms);
        let timeout = TimeSpan::from_millis(settings.worker_timeout_ms);
        Self {
            settings,
            rules: lease_rules(&settings),
            worker_client: WorkerClient::new(timeout.into(), Arc::clone(&kit.links)),
            writes: WriteGroup::start(kit.platform.clone(), interval.into()),
            metrics: SchedulerMetrics::new(Arc::clone(&kit)),
            notices: NoticeList::default(),
            shards: Mutex::new(Vec::new()),
            kit,
        }
    }

    /// The tasks of shards that run here.
    pub fn shards(&self) -> Vec<ShardHandle> {
        self.shards
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Adds the task of a shard.
    pub fn add_shard(&self, handle: ShardHandle) {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(position) = shards.binary_search_by(|other| other.name.cmp(&handle.name)) {
            shards.insert(position, handle);
        }
    }

    /// Takes out the task of a shard.
    pub fn remove_shard(&self, name: &ShardName) -> Option<ShardHandle> {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let position = shards.binary_search_by(|other| other.name.cmp(name)).ok()?;
        Some(shards.remove(position))
    }

    /// Tells the shard's holder that a task's row is new or has changed, again later if it has not
    /// heard. Its scan finds what this never reaches.
    pub async fn notify(&self, shard: &ShardName, id: &str) {
        if !self.try_notify(shard, id).await {
            self.notices.add(shard, id);
        }
    }

    /// Tells the shard's holder once, and says whether it has heard.
    pub async fn try_notify(&self, shard: &ShardName, id: &str) -> bool {
        if self.notify_local(shard, id) {
            return true;
        }
        let Some(peer) = self
            .holder_of(shard)
            .and_then(|name| self.kit.find_peer(&name))
        else {
            return false;
        };
        let request = PeerRequest::TaskChanged { id: id.to_owned() };
        let call = self.kit.transport.call(&peer, &request, Bytes::new());
        let limit = TimeSpan::from_millis(self.settings.worker_timeout_ms);
        let answer = tokio::time::timeout(limit.into(), call).await;
        matches!(answer, Ok(Ok((PeerReply::Done, _))))
    }

    /// Tells this process's own part, if it holds the shard and has room to hear.
    pub fn notify_local(&self, shard: &ShardName, id: &str) -> bool {
        let shards = self.shards();
        let Some(handle) = shards.iter().find(|handle| handle.name == *shard) else {
            return false;
        };
        let message = ShardMessage::TaskChanged(id.to_owned());
        handle.is_held() && handle.messages.try_send(message).is_ok()
    }

    /// How long to leave a vacant shard to others that rank before this VM.
    pub fn acquisition_delay(&self, shard: &ShardName) -> TimeSpan {
        let own = &self.kit.settings.vm.name;
        let own_load = self.held_shards().len();
        let own_rank = name::rank(own, &shard.id_prefix());
        let before = self
            .live_candidates(shard)
            .iter()
            .filter(|peer| (peer.load, peer.rank) < (own_load, own_rank))
            .count();
        ACQUISITION_STEP.scale(before as f64)
    }

    /// Tells peers that a worker is leaving.
    pub fn announce_leaving(&self, name: &VmName) {
        let mark = LeavingMark {
            name: name.name.clone(),
            incarnation: name.incarnation,
        };
        self.kit.board.announce(|status| {
            if let Err(position) = status.leaving.binary_search(&mark) {
                status.leaving.insert(position, mark);
            }
        });
    }

    /// Workers that peers have seen to be leaving.
    pub fn leaving_workers(&self) -> Vec<VmName> {
        self.kit
            .board
            .peers()
            .into_iter()
            .flat_map(|peer| peer.status.leaving)
            .map(|mark| VmName {
                name: mark.name,
                incarnation: mark.incarnation,
            })
            .collect()
    }

    /// What the holders of all shards last said, this process among them: one status a shard, the
    /// newest where several said that they hold it.
    pub fn shard_statuses(&self) -> Vec<ShardStatus> {
        let now = self.kit.clock.now();
        let mut peers = self.kit.board.peers();
        peers.retain(|peer| now.since(peer.heard_at) <= STATUS_TIMEOUT);
        peers.sort_by_key(|peer| cmp::Reverse(peer.heard_at));
        let received = peers.into_iter().flat_map(|peer| peer.status.shards);
        let mut statuses: Vec<ShardStatus> = Vec::new();
        for status in self.kit.board.own().shards.into_iter().chain(received) {
            let position = statuses.binary_search_by(|other| {
                (&other.domain, other.index).cmp(&(&status.domain, status.index))
            });
            if let Err(position) = position {
                statuses.insert(position, status);
            }
        }
        statuses
    }

    /// What all shards lack of teams' quotas.
    pub fn quota_wants(&self) -> Vec<QuotaWant> {
        let statuses = self.shard_statuses().into_iter();
        statuses.flat_map(|status| status.quota_wants).collect()
    }

    /// The shards that tasks may be moved to.
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

    /// How many other schedulers may take a shard.
    pub fn candidate_count(&self, shard: &ShardName) -> usize {
        self.live_candidates(shard).len()
    }

    /// Whether a peer that was heard just now says that it holds a shard and stays.
    pub fn has_live_holder(&self, shard: &ShardName) -> bool {
        let now = self.kit.clock.now();
        self.kit.board.peers().iter().any(|peer| {
            let holds = peer
                .status
                .shards
                .iter()
                .any(|held| held.domain == shard.domain && held.index == shard.index);
            holds && peer.status.ready && is_alive(peer.heard_at, now)
        })
    }

    fn holder_of(&self, shard: &ShardName) -> Option<String> {
        let peers = self.kit.board.peers();
        let holds = |peer: &&crate::peer::PeerView| {
            peer.status
                .shards
                .iter()
                .any(|held| held.domain == shard.domain && held.index == shard.index)
        };
        let newest = peers.iter().filter(holds).max_by_key(|peer| peer.heard_at);
        newest.map(|peer| peer.status.vm.clone())
    }

    /// The other schedulers that may take a shard: those of its failure domain, else all.
    fn live_candidates(&self, shard: &ShardName) -> Vec<HolderCandidate> {
        let now = self.kit.clock.now();
        let is_own_domain = shard.domain == self.kit.settings.vm.domain;
        let addresses = self.kit.peers_of(PeerRole::Scheduler);
        self.kit
            .board
            .peers()
            .into_iter()
            .filter(|peer| is_alive(peer.heard_at, now) && peer.status.ready)
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

/// A scheduler that may take a shard.
#[derive(Clone, Copy, Debug)]
struct HolderCandidate {
    load: usize,
    rank: u64,
}

fn is_alive(heard_at: TimePoint, now: TimePoint) -> bool {
    now.since(heard_at) <= PEER_TIMEOUT
}

fn lease_rules(settings: &SchedulerSettings) -> LeaseRules {
    let silence_span = TimeSpan::from_millis(settings.silence_ms);
    let renew_every = TimeSpan::from_millis(settings.shard_renew_ms);
    LeaseRules {
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
