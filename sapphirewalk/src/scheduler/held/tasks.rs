//! The shard's tasks: loading them from rows, and carrying out the steps of their lifecycles.

use slog::info;

use sapphirewalk_core::batch_policy::AttemptEnd;
use sapphirewalk_core::batch_policy::EndedAttempt;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::task_lifecycle::FailureAction;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::task_lifecycle::StartRequest;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_queue::PendingTask;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_pool::FULL_SPEED_PERMILLE;
use sapphirewalk_core::worker_pool::LearnedSize;
use sapphirewalk_core::worker_pool::RunningAttempt;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::worker::AttemptName;
use sapphirewalk_wire::worker::CommandReply;
use sapphirewalk_wire::worker::StartCommand;
use sapphirewalk_wire::worker::TaskAction;
use sapphirewalk_wire::worker::TaskCommand;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::scheduler::effect::ShardEffect;
use crate::scheduler::held::HeldShard;
use crate::scheduler::held::QueuedChange;
use crate::scheduler::held::QueuedWrite;
use crate::scheduler::task_map::AttemptPlace;
use crate::scheduler::task_map::TaskEntry;
use crate::scheduler::task_row;
use crate::scheduler::worker_client::CommandError;

impl HeldShard {
    /// Handles the answer to a start command, or its failure.
    pub fn on_started(
        &mut self,
        worker: WorkerKey,
        command: &StartCommand,
        reply: &Result<CommandReply, CommandError>,
        now: TimePoint,
    ) {
        let node = self.workers.node(worker);
        let refused_at = node.lease.starts_refused_at(&self.params.timing);
        let reply = match reply {
            Ok(CommandReply::Done) => StartReply::Started,
            // The worker's report shows whether the epoch or the attempt's number was too low.
            Ok(CommandReply::Fenced | CommandReply::NotRunning) => StartReply::Duplicate,
            Ok(CommandReply::LeaseEnded) => StartReply::Refused,
            Ok(CommandReply::NoRoom) => {
                self.workers.node_mut(worker).unaccounted = true;
                StartReply::Refused
            }
            Err(CommandError::Unreachable(_)) => {
                self.workers.node_mut(worker).unanswered += 1;
                StartReply::Refused
            }
            Err(CommandError::AnswerLost(_)) => StartReply::Lost { refused_at },
        };
        self.sync_policy(worker);
        if !matches!(reply, StartReply::Started) {
            self.query_worker(worker, now);
        }
        let Some(task) = self.tasks.find(&command.task) else {
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        if entry.lifecycle.record().attempt == command.attempt {
            self.apply_event(task, LifecycleEvent::StartReplied(reply), now);
        }
    }

    /// Passes an event to a task's lifecycle and carries out the resulting step.
    pub(super) fn apply_event(&mut self, task: TaskKey, event: LifecycleEvent, now: TimePoint) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let step = entry.lifecycle.on_event(event, now);
        self.apply_step(task, step, now);
    }

    /// Loads a task from its row, unless it has ended or moved to another shard.
    pub(super) fn load_task(&mut self, id: &str, version: u64, row: TaskRow, now: TimePoint) {
        if task_row::is_final(row.state) || row.moved_to.is_some() {
            return;
        }
        let worker = row.worker.as_ref().map(|name| self.intern_worker(name));
        let record = task_row::to_record(&row, worker);
        let (lifecycle, step) = TaskLifecycle::load(version, record);
        let task = self.tasks.add(TaskEntry {
            id: id.to_owned(),
            kind: self.kinds.intern(&row.kind),
            team: self.teams.intern(&row.team),
            row,
            lifecycle,
            reservation: None,
            queued: false,
            unplaceable: false,
            ready_at: now,
            moving: None,
            failure_action: FailureAction::Retry,
            memory_floor_mib: 0,
            peak: None,
            from_start: false,
            started_at: now,
            candidates: Vec::new(),
        });
        self.adopt(task, now);
        self.apply_step(task, step, now);
    }

    /// Reserves the resources of the attempt that the row records, if it may be running and nothing
    /// is reserved for it yet. The reservation lasts until the end of the attempt is known.
    pub(super) fn adopt(&mut self, task: TaskKey, now: TimePoint) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let record = entry.lifecycle.record();
        let Some(worker) = record.worker.filter(|_| entry.lifecycle.may_run()) else {
            return;
        };
        if entry.reservation.is_some() {
            return;
        }
        let attempt = RunningAttempt {
            task,
            attempt: record.attempt,
            kind: entry.kind,
            team: entry.team,
            urgency: self.policy.ledger().kind(entry.kind).urgency,
            granted: record.granted,
            reserved: record.granted,
            started_at: now,
            checkpointed_at: now,
            evictions: record.evictions,
            cpu_permille: FULL_SPEED_PERMILLE,
            learned: LearnedSize::default(),
        };
        entry.reservation = Some(AttemptPlace {
            worker,
            attempt: record.attempt,
        });
        entry.started_at = now;
        entry.from_start = false;
        self.policy.adopt(worker, attempt, now);
    }

    /// Ends the reservation of a task's attempt, if there is one, and reports its usage and run
    /// time to the policy.
    pub(super) fn end_reservation(&mut self, task: TaskKey, end: AttemptEnd, now: TimePoint) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(reservation) = entry.reservation.take() else {
            return;
        };
        let granted = entry.lifecycle.record().granted;
        let is_whole_run = end == AttemptEnd::Finished && entry.from_start;
        let ended = EndedAttempt {
            worker: reservation.worker,
            task,
            attempt: reservation.attempt,
            end,
            // Without a measurement, the usage is assumed to be the granted amount.
            peak: entry.peak.unwrap_or(granted),
            run_time: is_whole_run.then(|| now.since(entry.started_at)),
        };
        entry.peak = None;
        if let Some(decision) = self.policy.on_end(ended, now) {
            self.set_failure_action(task, decision);
        }
    }

    /// Carries out a step that a task's lifecycle requested.
    pub(super) fn apply_step(&mut self, task: TaskKey, step: LifecycleStep, now: TimePoint) {
        match step {
            LifecycleStep::NoAction => {}
            LifecycleStep::Enqueue => self.enqueue(task, now),
            LifecycleStep::Write(write) => {
                if write.record.phase != RecordPhase::Running {
                    self.end_reservation(task, AttemptEnd::Stopped, now);
                }
                if let Some(entry) = self.tasks.get(task) {
                    let id = entry.id.clone();
                    self.writes.retain(|queued| queued.id != id);
                    let change = QueuedChange::Lifecycle(write);
                    self.writes.push(QueuedWrite { id, change });
                }
            }
            LifecycleStep::Read => self.reread_row(task),
            LifecycleStep::Start(request) => self.send_start(task, &request, now),
            LifecycleStep::QueryWorker { worker, not_before } => {
                self.query_worker(worker, not_before);
            }
            LifecycleStep::Evict { worker, attempt } => {
                self.command(task, worker, attempt, TaskAction::Evict);
            }
            LifecycleStep::Stop { worker, attempt } => {
                self.command(task, worker, attempt, TaskAction::Stop);
            }
            LifecycleStep::Done(_) => self.finish(task, now),
            LifecycleStep::StepDown => self.fenced = true,
        }
    }

    /// Queues a command for a running attempt of a task.
    pub(super) fn command(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        attempt: u64,
        action: TaskAction,
    ) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let name = AttemptName {
            task: entry.id.clone(),
            attempt,
        };
        self.command_attempt(worker, name, action);
    }

    /// Queues a command for a running attempt, whose task need not be loaded. Does nothing if the
    /// lease has ended or the worker has no address.
    pub(super) fn command_attempt(
        &mut self,
        worker: WorkerKey,
        attempt: AttemptName,
        action: TaskAction,
    ) {
        let Some(address) = self.workers.node(worker).address else {
            return;
        };
        if self.grant.authority == ShardAuthority::Nothing {
            return;
        }
        self.effects.push(ShardEffect::Command {
            address,
            worker,
            command: TaskCommand {
                epoch: self.params.epoch,
                attempt,
                action,
            },
        });
    }

    /// Queues a read of a task's row, on whose result the lifecycle waits.
    pub(super) fn reread_row(&mut self, task: TaskKey) {
        if let Some(entry) = self.tasks.get(task) {
            let id = entry.id.clone();
            self.read_row(&id);
        }
    }

    /// Adds a task to the policy's queue, unless it is there.
    pub(super) fn enqueue(&mut self, task: TaskKey, now: TimePoint) {
        self.end_reservation(task, AttemptEnd::Stopped, now);
        let Some(pending) = self.pending(task) else {
            return;
        };
        if let Some(entry) = self.tasks.get_mut(task)
            && !entry.queued
        {
            entry.queued = true;
            entry.ready_at = now;
            self.policy.restore(pending);
        }
    }

    /// The task as an entry of the policy's queue.
    pub(super) fn pending(&self, task: TaskKey) -> Option<PendingTask> {
        let entry = self.tasks.get(task)?;
        let record = entry.lifecycle.record();
        Some(PendingTask {
            task,
            kind: entry.kind,
            team: entry.team,
            declared: entry.row.resources,
            declared_run_time: TimeSpan::from_millis(entry.row.expected_run_ms),
            memory_floor_mib: entry.memory_floor_mib,
            submitted_at: TimePoint::from_millis(entry.row.submitted_at_ms),
            attempt: record.attempt,
            evictions: record.evictions,
        })
    }

    /// Queues a start command, if the lease still permits it at `now`.
    fn send_start(&mut self, task: TaskKey, request: &StartRequest, now: TimePoint) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        entry.started_at = now;
        entry.from_start = request.checkpoint.is_none();
        let node = self.workers.node(request.worker);
        let until = self
            .grant
            .worker_lease_until
            .filter(|_| self.grant.authority == ShardAuthority::Full)
            .filter(|_| !node.is_gone());
        let (Some(until), Some(address)) = (until, node.address) else {
            // Nothing was sent; treated as a lost answer, so that the worker is queried before the
            // attempt counts as ended.
            let reply = StartReply::Lost { refused_at: now };
            self.apply_event(task, LifecycleEvent::StartReplied(reply), now);
            return;
        };
        let command = StartCommand {
            epoch: self.params.epoch,
            incarnation: node.name.incarnation,
            task: entry.id.clone(),
            attempt: request.attempt,
            resources: request.granted,
            checkpoint: request.checkpoint.clone(),
            payload: entry.row.payload.clone(),
            lease_until_ms: until.as_millis(),
        };
        let candidates = std::mem::take(&mut entry.candidates);
        let node = self.workers.node_mut(request.worker);
        node.lease.note_sent(until);
        node.sent_until = node.sent_until.max(until);
        self.metrics.started();
        info!(self.logger, "{}", EventName::TaskPlaced; "task" => &command.task,
            "attempt" => command.attempt, "worker" => &node.name.name);
        self.audit.record(
            now,
            AuditDecision::TaskPlaced {
                task: command.task.clone(),
                attempt: command.attempt,
                worker: node.name.name.clone(),
                candidates,
                checkpoint: command.checkpoint.clone(),
                reason: "least cost among the workers compared".to_owned(),
                sequence: self.sequence,
            },
        );
        self.effects.push(ShardEffect::Start {
            address,
            worker: request.worker,
            command,
        });
    }

    /// Removes a task whose row is final or points to another shard.
    pub(super) fn finish(&mut self, task: TaskKey, now: TimePoint) {
        self.end_reservation(task, AttemptEnd::Cancelled, now);
        self.policy.cancel(vec![task]);
        if let Some(entry) = self.tasks.remove(task) {
            self.writes.retain(|queued| queued.id != entry.id);
        }
    }
}
