//! The state of a worker: leases, fencing, the capacity check and the running attempts.

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::worker as wire;

use crate::worker::WorkerPlan;
use crate::worker::attempt::SimulatedAttempt;
use crate::worker::attempt::WorkerHealth;
use crate::worker::ledger::AttemptLedger;
use crate::worker::ledger::AttemptOutcome;
use crate::worker::ledger::LedgerAttempt;
use crate::worker::ledger::RunningSpan;
use crate::worker::payload;

/// The highest attempt number of a task that was started; starts up to it are fenced.
#[derive(Debug)]
struct LatestAttempt {
    task: String,
    attempt: u64,
}

/// Whether the worker's simulated process is frozen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessState {
    /// Commands are applied and attempts make progress.
    Running,
    /// Commands wait and attempts make no progress.
    Paused,
}

/// The state of one incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    pub plan: WorkerPlan,
    pub health: WorkerHealth,
    pub leaving: bool,
    pub process: ProcessState,
    pub unreachable: bool,
    pub answers_to_lose: u32,
    ledger: AttemptLedger,
    /// The highest epoch of the commands that passed the epoch check.
    epoch: u64,
    /// Sorted by name.
    attempts: Vec<SimulatedAttempt>,
    /// Sorted by task.
    latest_attempts: Vec<LatestAttempt>,
}

impl WorkerState {
    pub const fn new(plan: WorkerPlan, ledger: AttemptLedger) -> Self {
        Self {
            plan,
            health: WorkerHealth::Healthy,
            leaving: false,
            process: ProcessState::Running,
            unreachable: false,
            answers_to_lose: 0,
            ledger,
            epoch: 0,
            attempts: Vec::new(),
            latest_attempts: Vec::new(),
        }
    }

    /// Simulates all attempts up to `now_ms`; does nothing while the process is paused. An attempt
    /// that ended in between is recorded with the exact end of its work or lease, not with
    /// `now_ms`.
    pub fn advance(&mut self, now_ms: u64) {
        if self.process == ProcessState::Paused {
            return;
        }
        let share = self.worker_share();
        for attempt in &mut self.attempts {
            let speed = attempt.speed(share);
            if let Some((outcome, ended_ms)) = attempt.advance(speed, now_ms) {
                self.ledger.record_end(attempt.record, outcome, ended_ms);
            }
        }
    }

    pub fn pause(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.process = ProcessState::Paused;
        for attempt in self.running() {
            self.ledger.record_pause(attempt.record, now_ms);
        }
    }

    /// Ends the pause. Attempts whose leases have ended stop before any command is applied.
    pub fn resume(&mut self, now_ms: u64) {
        if self.process == ProcessState::Running {
            return;
        }
        self.process = ProcessState::Running;
        for attempt in &mut self.attempts {
            if !attempt.is_running() {
                continue;
            }
            attempt.skip_to(now_ms);
            if attempt.lease_until_ms <= now_ms {
                attempt.state = wire::AttemptState::Stopped;
                self.ledger
                    .record_end(attempt.record, AttemptOutcome::Stopped, now_ms);
            } else {
                self.ledger.record_resume(attempt.record, now_ms);
            }
        }
    }

    /// Ends this incarnation: all running attempts are recorded as lost with their worker.
    pub fn end_as_lost(&mut self, now_ms: u64) {
        self.advance(now_ms);
        for attempt in self.attempts.drain(..) {
            if attempt.is_running() {
                self.ledger
                    .record_end(attempt.record, AttemptOutcome::WorkerLost, now_ms);
            }
        }
    }

    pub fn start(&mut self, command: &wire::StartCommand, now_ms: u64) -> wire::CommandReply {
        self.advance(now_ms);
        if self.is_fenced(command.epoch, Some(command.incarnation)) {
            return wire::CommandReply::Fenced;
        }
        let found = self.search_latest(&command.task);
        if found.is_ok_and(|position| self.latest_attempts[position].attempt >= command.attempt) {
            return wire::CommandReply::Fenced;
        }
        if command.lease_until_ms <= now_ms {
            return wire::CommandReply::LeaseEnded;
        }
        let used = self.in_use() + command.resources;
        if self.plan.capacity_check && !used.fits(self.plan.capacity) {
            return wire::CommandReply::NoRoom;
        }
        self.record_latest(command);
        self.ledger
            .record_use(&self.plan.name, self.plan.capacity, used);
        self.add_attempt(command, now_ms);
        wire::CommandReply::Done
    }

    pub fn renew(&mut self, command: &wire::RenewCommand, now_ms: u64) -> wire::WorkerReport {
        self.advance(now_ms);
        let fenced = self.is_fenced(command.epoch, Some(command.incarnation));
        if !fenced {
            self.forget(&command.forget);
            for attempt in &mut self.attempts {
                attempt.lease_until_ms = command.lease_until_ms;
            }
            self.advance(now_ms);
        }
        self.report(fenced, command.brief, now_ms)
    }

    pub fn command(&mut self, command: &wire::TaskCommand, now_ms: u64) -> wire::CommandReply {
        self.advance(now_ms);
        if self.is_fenced(command.epoch, None) {
            return wire::CommandReply::Fenced;
        }
        let Some(attempt) = self.find_running(&command.attempt) else {
            return wire::CommandReply::NotRunning;
        };
        let record = attempt.record;
        match command.action {
            wire::TaskAction::Checkpoint => attempt.take_checkpoint(),
            wire::TaskAction::Throttle { cpu_permille } => attempt.throttle(cpu_permille),
            wire::TaskAction::Evict => {
                attempt.take_checkpoint();
                attempt.state = wire::AttemptState::Stopped;
                self.ledger
                    .record_end(record, AttemptOutcome::Stopped, now_ms);
            }
            wire::TaskAction::Stop => {
                attempt.state = wire::AttemptState::Stopped;
                self.ledger
                    .record_end(record, AttemptOutcome::Stopped, now_ms);
            }
        }
        wire::CommandReply::Done
    }

    /// The sum of the resources granted to running attempts.
    pub fn in_use(&self) -> ResourceVector {
        self.running()
            .fold(ResourceVector::ZERO, |used, attempt| used + attempt.granted)
    }

    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether to drop the answer to this command; counts it against `answers_to_lose`.
    pub const fn take_answer_loss(&mut self) -> bool {
        let lost = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        lost
    }

    fn running(&self) -> impl Iterator<Item = &SimulatedAttempt> {
        self.attempts.iter().filter(|attempt| attempt.is_running())
    }

    /// The fraction, from 0 to 1, of the demanded processor time that the worker can give.
    fn worker_share(&self) -> f64 {
        let wanted: f64 = self
            .running()
            .map(SimulatedAttempt::wanted_cpu_millis)
            .sum();
        (self.plan.capacity.cpu_millis as f64 / wanted.max(1.0)).min(1.0)
    }

    /// Whether a command has a lower epoch than an earlier one or names another incarnation. Else
    /// stores its epoch.
    fn is_fenced(&mut self, epoch: u64, incarnation: Option<u64>) -> bool {
        let is_other = incarnation.is_some_and(|value| value != self.plan.incarnation);
        if is_other || epoch < self.epoch {
            return true;
        }
        self.epoch = epoch;
        false
    }

    fn record_latest(&mut self, command: &wire::StartCommand) {
        match self.search_latest(&command.task) {
            Ok(position) => self.latest_attempts[position].attempt = command.attempt,
            Err(position) => self.latest_attempts.insert(
                position,
                LatestAttempt {
                    task: command.task.clone(),
                    attempt: command.attempt,
                },
            ),
        }
    }

    fn add_attempt(&mut self, command: &wire::StartCommand, now_ms: u64) {
        let checkpoint = command.checkpoint.as_deref();
        if checkpoint.is_some_and(|id| payload::checkpoint_done_ms(&command.task, id).is_none()) {
            self.ledger.record_foreign_checkpoint();
        }
        let has_failed = self.ledger.has_failed(&command.task);
        let record = self.ledger.record_start(LedgerAttempt {
            worker: self.plan.name.clone(),
            incarnation: self.plan.incarnation,
            task: command.task.clone(),
            attempt: command.attempt,
            resources: command.resources,
            resumed_from: command.checkpoint.clone(),
            spans: vec![RunningSpan {
                started_ms: now_ms,
                ended_ms: None,
            }],
            outcome: AttemptOutcome::Running,
        });
        let attempt = SimulatedAttempt::new(command, record, self.health, has_failed, now_ms);
        let position = self
            .attempts
            .partition_point(|known| known.name < attempt.name);
        self.attempts.insert(position, attempt);
    }

    fn forget(&mut self, names: &[wire::AttemptName]) {
        self.attempts
            .retain(|attempt| attempt.is_running() || !names.contains(&attempt.name));
    }

    fn report(&self, fenced: bool, brief: bool, now_ms: u64) -> wire::WorkerReport {
        let lag_ms = self.plan.report_lag_ms;
        let reports = self
            .attempts
            .iter()
            .filter(|attempt| !brief || !attempt.is_running())
            .map(|attempt| attempt.report(lag_ms, now_ms));
        let running = self.running().filter(|_| brief);
        wire::WorkerReport {
            fenced,
            epoch: self.epoch,
            incarnation: self.plan.incarnation,
            leaving: self.leaving,
            attempts: reports.collect(),
            running: running.map(SimulatedAttempt::brief_report).collect(),
        }
    }

    fn find_running(&mut self, name: &wire::AttemptName) -> Option<&mut SimulatedAttempt> {
        let found = self
            .attempts
            .binary_search_by(|attempt| attempt.name.cmp(name));
        let attempt = &mut self.attempts[found.ok()?];
        attempt.is_running().then_some(attempt)
    }

    fn search_latest(&self, task: &str) -> Result<usize, usize> {
        self.latest_attempts
            .binary_search_by(|latest| latest.task.as_str().cmp(task))
    }
}
