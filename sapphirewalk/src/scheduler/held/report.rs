//! Handles workers' reports, which answer renewals, and the policy's preemption steps.

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
use sapphirewalk_core::task_lifecycle::RecordPhase;
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

/// The reason that a worker reports for an attempt that exceeded its memory limit.
const OUT_OF_MEMORY: &str = "out_of_memory";

/// The relation of a reported attempt to the shard's task rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptMatch {
    /// The present attempt of a task, which may be running.
    Current(TaskKey),
    /// Its start or end is not recorded yet, or its start command may still arrive; nothing is
    /// done.
    Unrecorded,
    /// Its end is recorded: the task has ended or is at a later attempt. Also an attempt of a task
    /// that is not loaded.
    Recorded,
}

/// A renewal that a worker answered.
#[derive(Clone, Copy, Debug)]
struct AnsweredRenewal {
    worker: WorkerKey,
    /// When the renewal was sent.
    queried_at: TimePoint,
}

impl HeldShard {
    /// Handles the answer to a renewal that was sent at `queried_at`, or its failure.
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

    /// Queries the worker after a command for a running attempt; its report shows the effect.
    pub fn on_commanded(&mut self, worker: WorkerKey, now: TimePoint) {
        self.query_worker(worker, now);
    }

    /// Stores the policy's decision on a failed attempt for the task's lifecycle.
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

    /// Carries out a preemption step of the policy: throttles or evicts an attempt in favour of
    /// other tasks.
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

    /// Writes a throttle command to the audit trail.
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

    /// Handles a worker's report. A report from a newer incarnation or a fenced one only changes
    /// the state of the worker or the shard.
    fn on_report(
        &mut self,
        worker: WorkerKey,
        queried_at: TimePoint,
        command: &RenewCommand,
        report: &WorkerReport,
        now: TimePoint,
    ) {
        if report.incarnation > command.incarnation {
            // A newer incarnation answered at this address.
            self.set_gone(worker, now);
            return;
        }
        if report.fenced {
            self.fenced |= report.epoch > self.params.epoch;
            return;
        }
        let node = self.workers.node_mut(worker);
        if node.confirmed_at.is_none() {
            // This renewal's lease has replaced those of former holders.
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

    /// Handles the attempts of a full report. Returns whether any runs that no row accounts for;
    /// also true while the rows are not loaded.
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

    /// Handles the running attempts of a brief report. Returns whether any runs that no row
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

    /// Compares a reported attempt with the shard's task rows.
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
            record.attempt > name.attempt || (is_same && record.phase != RecordPhase::Running);
        if is_recorded && now >= entry.lifecycle.droppable_from() {
            AttemptMatch::Recorded
        } else {
            AttemptMatch::Unrecorded
        }
    }

    /// Handles the full report of a task's present attempt. If it has ended, its reservation ends.
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

    /// Passes the reported status of a task's present attempt to its lifecycle.
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

    /// Applies the status `Unknown` to attempts that should run on the worker but that its report
    /// lacks.
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

    /// Applies a usage measurement of an attempt, which may lead to a preemption. A report without
    /// a measurement is ignored.
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
