//! Carries out the policy's decisions on pending tasks.

use sapphirewalk_core::batch_policy::AttemptEnd;
use sapphirewalk_core::batch_policy::QueueDecision;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::placement::ParkReason;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::time::TimePoint;

use crate::audit::PlacementCandidate;
use crate::scheduler::held::HeldShard;
use crate::scheduler::task_map::AttemptPlace;

/// Queued changes of rows from which no more tasks are started.
const WAITING_WRITES_MAX: usize = 400;

impl HeldShard {
    /// Starts, parks and preempts tasks as the policy decides, until nothing more can start now.
    pub fn place(&mut self, now: TimePoint) {
        while self.may_start() {
            match self.policy.decide_next(now) {
                QueueDecision::Start {
                    pending,
                    worker,
                    granted,
                } => self.start_pending(pending.task, worker, granted, now),
                QueueDecision::Park { pending, reason } => {
                    self.unqueue(pending.task);
                    self.park(pending.task, reason, now);
                }
                QueueDecision::Preempt(steps) => {
                    for step in steps {
                        self.apply_preemption(step, now);
                    }
                }
                QueueDecision::Idle => return,
            }
        }
    }

    /// Whether tasks may be started. Each start needs a write, so none is begun while the table
    /// does not answer or too many writes are queued.
    fn may_start(&self) -> bool {
        self.loaded
            && self.quota_read
            && self.table_answers
            && self.grant.authority == ShardAuthority::Full
            && self.writes.len() < WAITING_WRITES_MAX
    }

    fn start_pending(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        granted: ResourceVector,
        now: TimePoint,
    ) {
        self.unqueue(task);
        let candidates = self.candidates();
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        entry.candidates = candidates;
        entry.reservation = Some(AttemptPlace {
            worker,
            attempt: entry.lifecycle.record().attempt + 1,
        });
        if !entry.lifecycle.is_ready() {
            self.end_reservation(task, AttemptEnd::Stopped, now);
            return;
        }
        let event = LifecycleEvent::Placed {
            worker,
            granted,
            token: AttemptToken(rand::random()),
        };
        self.apply_event(task, event, now);
    }

    /// Parks a task. One that is too large for this shard only is kept for a move to another.
    fn park(&mut self, task: TaskKey, reason: ParkReason, now: TimePoint) {
        if reason == ParkReason::LargerThanAnyWorker && !self.exceeds_all_workers(task) {
            self.set_unplaceable(task);
            return;
        }
        self.apply_event(task, LifecycleEvent::Parked(reason), now);
    }

    fn unqueue(&mut self, task: TaskKey) {
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.queued = false;
        }
    }

    /// The workers compared by the last placement, with their costs.
    fn candidates(&self) -> Vec<PlacementCandidate> {
        self.policy
            .candidates()
            .iter()
            .map(|score| PlacementCandidate {
                worker: self.workers.node(score.worker).name.name.clone(),
                cost: score.cost,
            })
            .collect()
    }
}
