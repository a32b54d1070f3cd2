//! Evacuation of failure domains: nothing new starts on their workers.
//!
//! It answers maintenance under full load, when each worker that has room gets a task within
//! milliseconds. The view of the operators' requests sets a flag on each worker, which placement
//! reads.

use crate::coordinator::JobCoordinator;
use crate::domain_evacuation::EvacuationChange;
use crate::domain_evacuation::EvacuationView;
use crate::domain_evacuation::ViewFreshness;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Share of the evacuation bound after the last read of the requests up to which a start may be
/// carried out. The rest covers workers' clocks, which are up to 2% slow.
const VALID_SHARE: f64 = 0.95;

/// What a coordinator knows of the requests.
#[derive(Debug, Default)]
pub(super) struct EvacuationState {
    view: EvacuationView,
    /// Freshness of the view as it was last logged.
    logged_freshness: ViewFreshness,
    /// Requested domains that no worker belonged to when this was logged; sorted.
    unknown_domains: Vec<String>,
}

/// Why a committed start is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartObstacle {
    /// The worker's failure domain is to be evacuated.
    Evacuated,
    /// A request for the worker's failure domain may have been missed.
    StaleView,
}

impl StartObstacle {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::StaleView => "evacuation_view_stale",
        }
    }
}

impl JobCoordinator {
    /// Replaces the operators' requests to evacuate failure domains. Cheap if nothing has changed.
    pub fn set_evacuations(&mut self, view: &EvacuationView, now: TimePoint) {
        let was_allowed = self.may_start_tasks(now);
        let changes = self.evacuation.view.update(view);
        if changes.is_empty() {
            self.place_due |= !was_allowed;
            return;
        }
        self.place_due = true;
        for slot in self.workers.slots() {
            self.mark_evacuated(slot);
        }
        for change in &changes {
            self.log_change(change, now);
        }
        self.log_unknown_domains();
    }

    /// Number of failure domains that are to be evacuated, unknown ones included.
    pub const fn evacuated_domains(&self) -> usize {
        self.evacuation.view.requests.len()
    }

    /// Number of tasks that are placed on workers of evacuated failure domains.
    pub fn evacuated_tasks(&self) -> usize {
        let workers = self.workers.iter().map(|(_, entry)| entry);
        workers
            .filter(|entry| entry.evacuated)
            .map(|entry| entry.tasks.len())
            .sum()
    }

    /// Whether there are listed workers, and the failure domain of each is to be evacuated, so that
    /// no job could run. Workers that have never answered, and don't now, are left out.
    pub fn is_wholly_evacuated(&self) -> bool {
        let workers = self.workers.iter().map(|(_, entry)| entry);
        let mut listed = workers
            .filter(|entry| entry.listed && (entry.fence_confirmed || entry.failed_polls == 0));
        let Some(first) = listed.next() else {
            return false;
        };
        first.evacuated && listed.all(|entry| entry.evacuated)
    }

    /// Whether the view of the requests is recent enough to start tasks.
    pub(super) fn may_start_tasks(&self, now: TimePoint) -> bool {
        self.view_freshness(now) == ViewFreshness::Current
    }

    /// Logs when starts are suspended because the view has become stale, and when they resume.
    pub(super) fn observe_evacuation_view(&mut self, now: TimePoint) {
        let freshness = self.view_freshness(now);
        if freshness == self.evacuation.logged_freshness {
            return;
        }
        self.evacuation.logged_freshness = freshness;
        let event = match freshness {
            ViewFreshness::Current => "starts_resumed",
            ViewFreshness::Stale => "starts_suspended",
        };
        let read_at = self.evacuation.view.read_at;
        let detail = if read_at == TimePoint::EPOCH {
            "cause=evacuations_unread".to_owned()
        } else {
            format!("cause=evacuations_age age={}", now.since(read_at))
        };
        self.log(event, None, detail);
    }

    /// Updates a worker's flag after its listing or the view has changed.
    pub(super) fn mark_evacuated(&mut self, worker: WorkerSlot) {
        let domain = &self.workers.get(worker).listing.domain;
        let evacuated = self.evacuation.view.contains(domain);
        self.workers.set_evacuated(worker, evacuated);
    }

    /// Whether some domain has been evacuated for `span`.
    pub(super) fn has_evacuation_since(&self, span: TimeSpan, now: TimePoint) -> bool {
        let mut requests = self.evacuation.view.requests.iter();
        requests.any(|request| now.since(request.seen_at) >= span)
    }

    /// Whether a worker's domain has been evacuated for `span`.
    pub(super) fn is_evacuated_for(
        &self,
        worker: WorkerSlot,
        span: TimeSpan,
        now: TimePoint,
    ) -> bool {
        let entry = self.workers.get(worker);
        entry.evacuated
            && self
                .evacuation
                .view
                .find(&entry.listing.domain)
                .is_some_and(|request| now.since(request.seen_at) >= span)
    }

    /// What forbids to send the start of a placed task now.
    pub(super) fn start_obstacle(&self, slot: TaskSlot, now: TimePoint) -> Option<StartObstacle> {
        let worker = self.jobs.task(slot).and_then(|task| task.worker);
        if worker.is_some_and(|worker| self.workers.get(worker).evacuated) {
            return Some(StartObstacle::Evacuated);
        }
        (!self.may_start_tasks(now)).then_some(StartObstacle::StaleView)
    }

    /// Time for which a start that is sent now may be carried out, at most `span`. A start that
    /// arrives late is then refused before the evacuation bound of a request that was missed.
    pub(super) fn start_validity(&self, span: TimeSpan, now: TimePoint) -> TimeSpan {
        let Some(bound) = self.limits.evacuation_bound else {
            return span;
        };
        let ends_at = self.evacuation.view.read_at + bound.scale(VALID_SHARE);
        span.min(ends_at.since(now))
    }

    /// Makes a task whose start was committed but not sent wait for another worker.
    pub(super) fn withhold_start(
        &mut self,
        slot: TaskSlot,
        obstacle: StartObstacle,
        now: TimePoint,
    ) {
        if let Some(run) = self.jobs.run_name(slot)
            && let Some(worker) = self.jobs.task(slot).and_then(|task| task.worker)
        {
            let id = &self.workers.get(worker).listing.id;
            let detail = format!("run={run} worker={id} reason={}", obstacle.as_str());
            self.log("run_withheld", Some(run.task.job), detail);
        }
        self.requeue_task(slot, now, TimeSpan::ZERO);
        self.mark_dirty(slot.job);
    }

    /// Stops a run whose start is unanswered, since the worker may still carry it out.
    pub(super) fn rule_out_start(&mut self, slot: TaskSlot) {
        self.order_stop(slot, StartObstacle::Evacuated.as_str());
        if let Some(task) = self.jobs.task_mut(slot) {
            task.phase = TaskPhase::Running;
        }
    }

    /// Logs each requested domain that no worker belongs to, once the workers are
    /// listed.
    pub(super) fn log_unknown_domains(&mut self) {
        let requests = &self.evacuation.view.requests;
        if requests.is_empty() || !self.workers.iter().any(|(_, entry)| entry.listed) {
            return;
        }
        let mut unknown = Vec::new();
        for request in requests {
            let mut workers = self.workers.iter();
            let is_known = workers.any(|(_, entry)| entry.listing.domain == request.domain);
            let logged = &self.evacuation.unknown_domains;
            if !is_known && logged.binary_search(&request.domain).is_err() {
                unknown.push((request.domain.clone(), request.version));
            }
        }
        for (domain, version) in unknown {
            let detail = format!("domain={domain} version={version}");
            self.log("evacuation_unknown", None, detail);
            let logged = &mut self.evacuation.unknown_domains;
            let place = logged.partition_point(|known| *known < domain);
            logged.insert(place, domain);
        }
    }

    fn view_freshness(&self, now: TimePoint) -> ViewFreshness {
        let bound = self.limits.evacuation_bound;
        self.evacuation.view.freshness(bound, now)
    }

    fn log_change(&mut self, change: &EvacuationChange, now: TimePoint) {
        let request = change.request();
        let domain = &request.domain;
        let event = match change {
            EvacuationChange::Requested(_) | EvacuationChange::Rewritten(_) => {
                "evacuation_requested"
            }
            EvacuationChange::Ended(_) => {
                self.evacuation
                    .unknown_domains
                    .retain(|known| known != domain);
                "evacuation_ended"
            }
        };
        let workers = self.workers.iter().map(|(_, entry)| entry);
        let tasks: usize = workers
            .filter(|entry| entry.listing.domain == *domain)
            .map(|entry| entry.tasks.len())
            .sum();
        let detail = format!(
            "domain={domain} version={} age={} tasks={tasks}",
            request.version,
            now.since(request.seen_at)
        );
        self.log(event, None, detail);
    }
}
