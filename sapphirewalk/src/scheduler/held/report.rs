//! What workers say: answers to renewals and to commands.

use slog::warn;

use sapphirewalk_core::batch_policy::AttemptEnd;
use sapphirewalk_core::batch_policy::AttemptUsage;
use sapphirewalk_core::eviction::PreemptionStep;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::task_failure::FailureKind;
use sapphirewalk_core::task_failure::RetryDecision;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::FailureAction;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::TaskPhase;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_lease::WorkerLease;
use sapphirewalk_wire::worker::AttemptName;
use sapphirewalk_wire::worker::AttemptReport;
use sapphirewalk_wire::worker::AttemptState;
use sapphirewalk_wire::worker::BriefReport;
use sapphirewalk_wire::worker::RenewCommand;
use sapphirewalk_wire::worker::TaskAction;
use sapphirewalk_wire::worker::WorkerReport;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::scheduler::held::HeldShard;
use crate::scheduler::worker_client::CommandError;

/// The reason of an attempt that needed more memory than it was given.
const OUT_OF_MEMORY: &str = "out_of_memory";

/// How an attempt in a report relates to the shard's tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptMatch {
    /// It is the task's present attempt, which may run.
    Current(TaskKey),
    /// Its row is being written.
    Unrecorded,
    /// Its row is final or beyond it.
    Recorded,
}

/// A renewal that a worker answered.
#[derive(Clone, Copy, Debug)]
struct AnsweredRenewal {
    worker: WorkerKey,
    queried_at: TimePoint,
}

impl HeldShard {
    /// A renewal was answered or not.
    pub fn on_renewed(
        &mut self,
        worker: WorkerKey,
        queried_at: TimePoint,
        command: &RenewCommand,
        reply: Result<WorkerReport, CommandError>,
        now: TimePoint,
    ) {
        self.workers.node_mut(worker).renewing = false;
        match reply {
            Ok(report) => self.on_report(worker, queried_at, command, &report, now),
            Err(error) => {
                let node = self.workers.node_mut(worker);
                node.unanswered += 1;
                if node.unanswered == 1 {
                    warn!(self.logger, "{}", EventName::WorkerFailed;
                        "worker" => &node.name.name, "error" => %error);
                }
                self.sync_policy(worker);
            }
        }
    }

    /// A command for a running attempt was sent: what came of it shows in the next report.
    pub fn on_commanded(&mut self, worker: WorkerKey, now: TimePoint) {
        self.query_worker(worker, now);
    }

    /// Turns the policy's verdict on a failure into the one that the task's life is told.
    pub(super) fn set_failure_action(&mut self, task: TaskKey, decision: RetryDecision) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        entry.failure_action = match decision {
            RetryDecision::Retry { memory_floor_mib } => {
                entry.memory_floor_mib = entry.memory_floor_mib.max(memory_floor_mib);
                FailureAction::Retry
            }
            RetryDecision::Park(reason) => FailureAction::Park(reason),
        };
    }

    /// Carries out a step that makes room or relieves an attempt.
    pub(super) fn apply_preemption(&mut self, step: PreemptionStep, now: TimePoint) {
        match step {
            PreemptionStep::NoAction => {}
            PreemptionStep::Throttle {
                worker,
                task,
                cpu_permille,
            } => {
                let attempt = self
                    .tasks
                    .get(task)
                    .map(|entry| entry.lifecycle.record().attempt);
                if let Some(attempt) = attempt {
                    self.policy.on_throttled(worker, task, cpu_permille, now);
                    let action = TaskAction::Throttle { cpu_permille };
                    self.command(task, worker, attempt, action);
                    self.metrics.throttled();
                    self.record_throttle(task, worker, attempt, now);
                }
            }
            PreemptionStep::Evict { task, .. } => {
                self.apply_event(task, LifecycleEvent::Evict, now);
            }
        }
    }

    fn record_throttle(&self, task: TaskKey, worker: WorkerKey, attempt: u64, now: TimePoint) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let decision = AuditDecision::TaskChanged {
            task: entry.id.clone(),
            attempt,
            change: "throttled".to_owned(),
            worker: Some(self.workers.node(worker).name.name.clone()),
            reason: "slows more urgent tasks on its worker".to_owned(),
        };
        self.audit.record(now, decision);
    }

    fn on_report(
        &mut self,
        worker: WorkerKey,
        queried_at: TimePoint,
        command: &RenewCommand,
        report: &WorkerReport,
        now: TimePoint,
    ) {
        if report.incarnation > command.incarnation {
            // Another incarnation answers in its place.
            self.set_gone(worker, now);
            return;
        }
        if report.fenced {
            self.fenced |= report.epoch > self.start.epoch;
            return;
        }
        let node = self.workers.node_mut(worker);
        if node.confirmed_at.is_none() {
            // Leases of former holders were replaced by this renewal's.
            node.lease = WorkerLease::new(TimePoint::from_millis(command.lease_until_ms));
        }
        node.confirmed_at = Some(queried_at);
        node.unanswered = 0;
        node.leaving |= report.leaving;
        node.forget.retain(|name| !command.forget.contains(name));
        let answered = AnsweredRenewal { worker, queried_at };
        let unaccounted = self.on_attempts(answered, &report.attempts, now);
        let unknown = self.on_running(answered, &report.running, now);
        self.workers.node_mut(worker).unaccounted = unaccounted || unknown;
        self.report_missing(answered, report, now);
        self.sync_policy(worker);
    }

    /// Takes in the attempts of a report. Returns whether some run that no row accounts for.
    fn on_attempts(
        &mut self,
        answered: AnsweredRenewal,
        attempts: &[AttemptReport],
        now: TimePoint,
    ) -> bool {
        let mut unaccounted = !self.loaded;
        for attempt in attempts {
            match self.match_attempt(answered.worker, &attempt.name, now) {
                AttemptMatch::Current(task) => self.on_current(answered, task, attempt, now),
                AttemptMatch::Unrecorded => {}
                AttemptMatch::Recorded if !self.loaded => {}
                AttemptMatch::Recorded if attempt.state == AttemptState::Running => {
                    unaccounted = true;
                    let name = attempt.name.clone();
                    self.command_attempt(answered.worker, name, TaskAction::Stop);
                }
                AttemptMatch::Recorded => {
                    let forget = &mut self.workers.node_mut(answered.worker).forget;
                    if !forget.contains(&attempt.name) {
                        forget.push(attempt.name.clone());
                    }
                }
            }
        }
        unaccounted
    }

    /// Takes in the running attempts of a brief report. Returns whether some run that no row
    /// accounts for.
    fn on_running(
        &mut self,
        answered: AnsweredRenewal,
        running: &[BriefReport],
        now: TimePoint,
    ) -> bool {
        let mut unaccounted = false;
        for attempt in running {
            match self.match_attempt(answered.worker, &attempt.name, now) {
                AttemptMatch::Current(task) => {
                    let checkpoint = attempt.checkpoint.clone();
                    self.apply_status(answered, task, AttemptStatus::Running { checkpoint }, now);
                }
                AttemptMatch::Unrecorded => {}
                AttemptMatch::Recorded => {
                    unaccounted = true;
                    if self.loaded {
                        let name = attempt.name.clone();
                        self.command_attempt(answered.worker, name, TaskAction::Stop);
                    }
                }
            }
        }
        unaccounted
    }

    fn match_attempt(&self, worker: WorkerKey, name: &AttemptName, now: TimePoint) -> AttemptMatch {
        let found = self.tasks.find(&name.task);
        let Some((task, entry)) = found.and_then(|task| Some((task, self.tasks.get(task)?))) else {
            return AttemptMatch::Recorded;
        };
        let record = entry.lifecycle.record();
        let is_same = record.worker == Some(worker) && record.attempt == name.attempt;
        if is_same && entry.lifecycle.may_run() {
            return AttemptMatch::Current(task);
        }
        let is_recorded =
            record.attempt > name.attempt || (is_same && record.phase != TaskPhase::Running);
        if is_recorded && now >= entry.lifecycle.forget_from() {
            AttemptMatch::Recorded
        } else {
            AttemptMatch::Unrecorded
        }
    }

    fn on_current(
        &mut self,
        answered: AnsweredRenewal,
        task: TaskKey,
        attempt: &AttemptReport,
        now: TimePoint,
    ) {
        self.record_usage(answered.worker, task, attempt, now);
        let status = match &attempt.state {
            AttemptState::Running => AttemptStatus::Running {
                checkpoint: attempt.checkpoint.clone(),
            },
            AttemptState::Finished => {
                self.end_reservation(task, AttemptEnd::Finished, now);
                AttemptStatus::Finished
            }
            AttemptState::Failed { reason } => {
                let end = AttemptEnd::Failed(failure_kind(reason));
                self.end_reservation(task, end, now);
                AttemptStatus::Failed {
                    checkpoint: attempt.checkpoint.clone(),
                    action: self.failure_action(task),
                }
            }
            AttemptState::Stopped => {
                self.end_reservation(task, AttemptEnd::Stopped, now);
                AttemptStatus::Stopped {
                    checkpoint: attempt.checkpoint.clone(),
                }
            }
        };
        self.apply_status(answered, task, status, now);
    }

    fn failure_action(&self, task: TaskKey) -> FailureAction {
        self.tasks
            .get(task)
            .map_or(FailureAction::Retry, |entry| entry.failure_action)
    }

    fn apply_status(
        &mut self,
        answered: AnsweredRenewal,
        task: TaskKey,
        status: AttemptStatus,
        now: TimePoint,
    ) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let event = LifecycleEvent::Reported {
            worker: answered.worker,
            attempt: entry.lifecycle.record().attempt,
            queried_at: answered.queried_at,
            status,
        };
        self.apply_event(task, event, now);
    }

    /// Attempts of the shard's tasks that the worker does not know.
    fn report_missing(&mut self, answered: AnsweredRenewal, report: &WorkerReport, now: TimePoint) {
        for task in self.tasks_on(answered.worker) {
            let Some(entry) = self.tasks.get(task) else {
                continue;
            };
            let attempt = entry.lifecycle.record().attempt;
            let is_same = |name: &AttemptName| name.task == entry.id && name.attempt == attempt;
            let is_known = report.attempts.iter().any(|known| is_same(&known.name))
                || report.running.iter().any(|known| is_same(&known.name));
            if !is_known {
                self.apply_status(answered, task, AttemptStatus::Unknown, now);
            }
        }
    }

    fn record_usage(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        attempt: &AttemptReport,
        now: TimePoint,
    ) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        if attempt.measured_at_ms == 0 {
            return;
        }
        let peak = entry.peak.unwrap_or(attempt.usage);
        entry.peak = Some(peak.max(attempt.usage));
        if attempt.state != AttemptState::Running {
            return;
        }
        let usage = AttemptUsage {
            worker,
            task,
            used: attempt.usage,
            progress: attempt.progress,
            speed: attempt.speed,
            measured_at: TimePoint::from_millis(attempt.measured_at_ms),
        };
        let step = self.policy.on_usage(usage, now);
        self.apply_preemption(step, now);
    }
}

fn failure_kind(reason: &str) -> FailureKind {
    if reason == OUT_OF_MEMORY {
        FailureKind::OutOfMemory
    } else {
        FailureKind::Error
    }
}
