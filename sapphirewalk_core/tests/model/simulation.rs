//! Schedulers, a table, workers and the messages between them.

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::shard_lease::ShardRow;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::model::choice::ChoiceList;
use crate::model::holder::ModelHolder;
use crate::model::holder::OpenRequest;
use crate::model::holder::RequestBody;
use crate::model::table::ModelTable;
use crate::model::worker::AttemptState;
use crate::model::worker::ModelWorker;

const HOLDERS: u32 = 3;
const WORKERS: usize = 2;
const TASKS: usize = 2;
/// Number of links of a scheduler: one to each worker, and the last to the table.
const LINKS: usize = WORKERS + 1;
/// Number of oldest messages from which the next delivered one is chosen.
const REORDER_WINDOW: usize = 4;
const START: TimePoint = TimePoint::from_millis(1_000_000);
/// Limit of steps without faults at the end of a run, in which all tasks must end.
const FAULT_FREE_STEPS: usize = 4_000;
/// Messages delivered in each of these steps.
const FAULT_FREE_MESSAGES: usize = 30;

/// Rules with short spans, so that leases end often.
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    shard_span: TimeSpan::from_secs(60),
    worker_span: TimeSpan::from_secs(30),
    renew_every: TimeSpan::from_secs(3),
    recheck_after: TimeSpan::from_secs(6),
    silence_span: TimeSpan::from_secs(5),
    read_gap_max: TimeSpan::from_secs(20),
    drift_max: TimeSpan::from_secs(1),
    stop_delay_max: TimeSpan::from_secs(2),
};

#[derive(Clone, Debug)]
enum AnswerBody {
    Shard(Option<ShardRow>),
    /// Task, version, record.
    Task(usize, u64, TaskRecord),
    /// The row's new version.
    Committed(u64),
    Conflict,
    Started(StartReply),
    /// Worker, whether the leases were renewed, and the task, attempt and status of each attempt.
    Report(WorkerKey, bool, Vec<(usize, u64, AttemptStatus)>),
    Empty,
}

#[derive(Clone, Debug)]
enum Message {
    /// Sending scheduler, request.
    Request(usize, OpenRequest),
    /// Receiving scheduler, identifier of the request, answer.
    Answer(usize, u64, AnswerBody),
}

pub struct SchedulerSimulation {
    now: TimePoint,
    next_id: u64,
    pub table: ModelTable,
    holders: Vec<ModelHolder>,
    workers: Vec<ModelWorker>,
    messages: Vec<Message>,
    /// Whether a link delivers no requests, by scheduler and link.
    cut_links: [[bool; LINKS]; HOLDERS as usize],
    /// Number of attempts started on any worker.
    pub starts: usize,
}

impl SchedulerSimulation {
    pub fn new() -> Self {
        let holders = (0..HOLDERS)
            .map(|index| ModelHolder::new(index, u128::from(index), LEASE_TIMING, TASKS, WORKERS))
            .collect();
        Self {
            now: START,
            next_id: 100,
            table: ModelTable::new(TASKS),
            holders,
            workers: vec![ModelWorker::default(); WORKERS],
            messages: Vec::new(),
            cut_links: [[false; LINKS]; HOLDERS as usize],
            starts: 0,
        }
    }

    /// Applies the choices, then runs without faults until all tasks have ended.
    pub fn run(&mut self, choices: &mut ChoiceList<'_>) {
        while self.step(choices).is_some() {
            self.check_invariants();
        }
        self.run_without_faults();
    }

    fn step(&mut self, choices: &mut ChoiceList<'_>) -> Option<()> {
        let holder = choices.next(HOLDERS as usize)?;
        match choices.next(64)? {
            0..=33 => self.deliver(choices.next(256)?),
            34..=37 => self.tick_holder(holder),
            38..=42 => self.place(holder, choices.next(TASKS)?, choices.next(WORKERS)?),
            43..=45 => self.advance(TimeSpan::from_millis(300 * (1 + choices.next(8)? as u64))),
            46 => self.advance(TimeSpan::from_secs(1 + choices.next(40)? as u64)),
            47..=48 => self.abandon_request(holder, choices.next(256)?),
            49 => self.holders[holder].paused = choices.next(5)? == 0,
            50 => self.crash(holder, choices.next(4)?),
            51..=53 => self.renew(holder, choices.next(WORKERS)?),
            54 => self.finish_attempt(choices.next(WORKERS)?, choices.next(64)?),
            55..=56 => self.cancel_or_evict(holder, choices.next(TASKS)?, choices.next(250)?),
            57..=58 => self.set_link_cut(holder, choices.next(LINKS)?, choices.next(5)? == 0),
            _ => self.report_attempts_over(holder, choices.next(WORKERS)?),
        }
        Some(())
    }

    /// Finishes an attempt for one choice in 64.
    fn finish_attempt(&mut self, worker: usize, choice: usize) {
        if choice == 0 {
            self.workers[worker].finish_first_running();
        }
    }

    /// Cuts or restores the link of a scheduler to a worker or to the table.
    fn set_link_cut(&mut self, holder: usize, link: usize, cut: bool) {
        self.cut_links[holder][link] = cut;
    }

    /// Runs without crashes, pauses and cut links; panics unless every task ends.
    fn run_without_faults(&mut self) {
        self.cut_links = [[false; LINKS]; HOLDERS as usize];
        for holder in &mut self.holders {
            holder.paused = false;
        }
        for step in 0..FAULT_FREE_STEPS {
            if self.all_ended() {
                return;
            }
            for _ in 0..FAULT_FREE_MESSAGES {
                self.deliver(0);
                self.check_invariants();
            }
            self.advance(TimeSpan::from_millis(500));
            for holder in 0..self.holders.len() {
                self.abandon_open_requests(holder);
                self.tick_holder(holder);
                self.renew(holder, step % WORKERS);
                self.place(holder, step % TASKS, step / 2 % WORKERS);
                self.report_attempts_over(holder, step % WORKERS);
            }
            if step % 8 == 7 {
                self.workers[step / 8 % WORKERS].finish_first_running();
            }
            self.check_invariants();
        }
        let lifecycles: Vec<_> = self
            .holders
            .iter()
            .map(|holder| &holder.lifecycles)
            .collect();
        panic!(
            "tasks did not end: {:?} {lifecycles:?} {:?}",
            self.table, self.workers
        );
    }

    fn all_ended(&self) -> bool {
        self.table.tasks.iter().all(|row| {
            matches!(
                row.record.phase,
                RecordPhase::Finished | RecordPhase::Cancelled
            )
        })
    }

    /// Asserts the invariants that hold after each step.
    fn check_invariants(&self) {
        for task in 0..TASKS {
            let attempts = || {
                self.workers
                    .iter()
                    .flat_map(|worker| &worker.attempts)
                    .filter(move |attempt| attempt.task == task)
            };
            let running = attempts()
                .filter(|attempt| attempt.state == AttemptState::Running)
                .count();
            assert!(
                running <= 1,
                "task {task} has {running} running attempts at once"
            );
            let mut numbers: Vec<u64> = attempts().map(|attempt| attempt.attempt).collect();
            numbers.sort_unstable();
            numbers.dedup();
            assert_eq!(
                numbers.len(),
                attempts().count(),
                "an attempt of task {task} ran twice"
            );
            assert!(self.table.finishes[task] <= 1, "task {task} finished twice");
            let row = &self.table.tasks[task].record;
            let ended = matches!(row.phase, RecordPhase::Finished | RecordPhase::Cancelled);
            assert!(!ended || running == 0, "task {task} runs after its end");
            assert!(
                attempts().all(|attempt| attempt.attempt <= row.attempt),
                "task {task} has an attempt that its row does not record"
            );
        }
    }

    fn clock(&self, holder: usize) -> TimePoint {
        self.now + TimeSpan::from_millis(self.holders[holder].clock_ahead_ms)
    }

    /// Advances the simulated time. Workers' clocks show it; a scheduler's clock is ahead by up
    /// to `drift_max`: the largest difference that the rules allow.
    fn advance(&mut self, span: TimeSpan) {
        self.now = self.now + span;
        for worker in &mut self.workers {
            worker.stop_expired_attempts(self.now, &LEASE_TIMING);
        }
    }

    fn send(&mut self, holder: usize, body: RequestBody) {
        let request = OpenRequest {
            id: self.next_id,
            sent_at: self.clock(holder),
            body,
        };
        self.next_id += 1;
        self.holders[holder].open_requests.push(request.clone());
        self.messages.push(Message::Request(holder, request));
    }

    fn on_lifecycle_event(&mut self, holder: usize, task: usize, event: LifecycleEvent) {
        let clock = self.clock(holder);
        let Some(lifecycle) = &mut self.holders[holder].lifecycles[task] else {
            return;
        };
        let step = lifecycle.on_event(event, clock);
        self.send_lifecycle_request(holder, task, step);
    }

    fn send_lifecycle_request(&mut self, holder: usize, task: usize, step: LifecycleStep) {
        let clock = self.clock(holder);
        if let Some(body) = self.holders[holder].lifecycle_request(task, step, clock) {
            self.send(holder, body);
        }
    }

    fn tick_holder(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        let clock = self.clock(holder);
        if !self.holders[holder].awaits_shard() {
            let step = self.holders[holder].lease.on_tick(clock);
            for body in self.holders[holder].lease_request(step) {
                self.send(holder, body);
            }
        }
        for task in 0..TASKS {
            let is_loaded = self.holders[holder].lifecycles[task].is_some();
            let awaits_answer = self.holders[holder].awaits_task(task);
            if is_loaded && !awaits_answer {
                self.on_lifecycle_event(holder, task, LifecycleEvent::Tick);
            } else if !awaits_answer && self.holders[holder].lease.epoch().is_some() {
                self.send(holder, RequestBody::ReadTask(task));
            }
        }
    }

    fn place(&mut self, holder: usize, task: usize, worker: usize) {
        let ready = self.holders[holder].lifecycles[task]
            .as_ref()
            .is_some_and(TaskLifecycle::is_ready);
        if self.holders[holder].paused || !ready || self.holders[holder].awaits_task(task) {
            return;
        }
        self.next_id += 1;
        let event = LifecycleEvent::Placed {
            worker: WorkerKey(worker as u32),
            granted: ResourceVector::ZERO,
            token: AttemptToken(u128::from(self.next_id)),
        };
        self.on_lifecycle_event(holder, task, event);
    }

    fn renew(&mut self, holder: usize, worker: usize) {
        let clock = self.clock(holder);
        if self.holders[holder].paused {
            return;
        }
        let body = self.holders[holder].renew_request(WorkerKey(worker as u32), clock);
        if let Some(body) = body {
            self.send(holder, body);
        }
    }

    fn cancel_or_evict(&mut self, holder: usize, task: usize, change: usize) {
        let awaits_answer = self.holders[holder].awaits_task(task);
        if self.holders[holder].paused || awaits_answer {
            return;
        }
        let event = if change == 0 {
            LifecycleEvent::Cancel
        } else {
            LifecycleEvent::Evict
        };
        self.on_lifecycle_event(holder, task, event);
    }

    /// Reports a worker's attempts as over, once its lease has ended and the bounds on clock drift
    /// and stopping have passed.
    fn report_attempts_over(&mut self, holder: usize, worker: usize) {
        let stopped_at = self.holders[holder].worker_leases[worker].stopped_by(&LEASE_TIMING);
        if self.holders[holder].paused || self.clock(holder) < stopped_at {
            return;
        }
        for task in 0..TASKS {
            if !self.holders[holder].awaits_task(task) {
                let event = LifecycleEvent::AttemptOver {
                    worker: WorkerKey(worker as u32),
                    is_gone: false,
                };
                self.on_lifecycle_event(holder, task, event);
            }
        }
    }

    /// Replaces a scheduler process by a new one, for one choice in four.
    fn crash(&mut self, holder: usize, choice: usize) {
        if choice == 0 {
            self.next_id += 1;
            self.holders[holder].crash(u128::from(self.next_id));
        }
    }

    /// Closes one open request as unanswered. Its message is still delivered later.
    fn abandon_request(&mut self, holder: usize, choice: usize) {
        if self.holders[holder].paused || self.holders[holder].open_requests.is_empty() {
            return;
        }
        let position = choice % self.holders[holder].open_requests.len();
        let request = self.holders[holder].open_requests.swap_remove(position);
        self.on_lost(holder, &request);
    }

    /// Closes all open requests as unanswered.
    fn abandon_open_requests(&mut self, holder: usize) {
        while let Some(request) = self.holders[holder].open_requests.pop() {
            self.on_lost(holder, &request);
        }
    }

    fn on_lost(&mut self, holder: usize, request: &OpenRequest) {
        match &request.body {
            RequestBody::WriteShard(_) => {
                let step = self.holders[holder].lease.on_unconfirmed();
                for body in self.holders[holder].lease_request(step) {
                    self.send(holder, body);
                }
            }
            RequestBody::WriteTask(task, ..) => {
                self.on_lifecycle_event(holder, *task, LifecycleEvent::Unconfirmed);
            }
            RequestBody::Start(task, order, ..) => {
                let lease = self.holders[holder].worker_leases[order.worker.0 as usize];
                let refused_at = lease.starts_refused_at(&LEASE_TIMING);
                let reply = StartReply::Lost { refused_at };
                self.on_lifecycle_event(holder, *task, LifecycleEvent::StartReplied(reply));
            }
            RequestBody::ReadShard
            | RequestBody::ReadTask(_)
            | RequestBody::Renew(..)
            | RequestBody::Stop(..) => {}
        }
    }

    fn deliver(&mut self, choice: usize) {
        if self.messages.is_empty() {
            return;
        }
        let position = choice % self.messages.len().min(REORDER_WINDOW);
        if self.is_blocked(&self.messages[position]) {
            // A blocked message doesn't block later ones.
            let blocked = self.messages.remove(position);
            self.messages.push(blocked);
            return;
        }
        match self.messages.remove(position) {
            Message::Request(holder, request) => {
                let answer = self.serve(&request.body);
                self.messages
                    .push(Message::Answer(holder, request.id, answer));
            }
            Message::Answer(holder, id, answer) => self.on_answer(holder, id, answer),
        }
    }

    fn is_blocked(&self, message: &Message) -> bool {
        match message {
            Message::Request(holder, request) => self.cut_links[*holder][link_index(&request.body)],
            Message::Answer(holder, ..) => self.holders[*holder].paused,
        }
    }

    fn serve(&mut self, body: &RequestBody) -> AnswerBody {
        match body {
            RequestBody::ReadShard => AnswerBody::Shard(self.table.shard),
            RequestBody::WriteShard(write) => write_answer(self.table.write_shard(write)),
            RequestBody::ReadTask(task) => {
                let row = &self.table.tasks[*task];
                AnswerBody::Task(*task, row.version, row.record.clone())
            }
            RequestBody::WriteTask(task, write, shard_version) => {
                write_answer(self.table.write_task(*task, write, *shard_version))
            }
            RequestBody::Start(task, order, epoch, until) => {
                let worker = &mut self.workers[order.worker.0 as usize];
                let reply = worker.start(*epoch, *task, order.attempt, *until, self.now);
                self.starts += usize::from(reply == StartReply::Started);
                AnswerBody::Started(reply)
            }
            RequestBody::Renew(key, epoch, until) => {
                let worker = &mut self.workers[key.0 as usize];
                let renewed = worker.renew(*epoch, *until, self.now);
                let statuses = (0..TASKS)
                    .map(|task| {
                        let attempt = self.table.tasks[task].record.attempt;
                        (task, attempt, worker.status(task, attempt))
                    })
                    .collect();
                AnswerBody::Report(*key, renewed, statuses)
            }
            RequestBody::Stop(task, worker, attempt, epoch) => {
                self.workers[worker.0 as usize].stop(*epoch, *task, *attempt);
                AnswerBody::Empty
            }
        }
    }

    fn on_answer(&mut self, holder: usize, id: u64, answer: AnswerBody) {
        let open_requests = &mut self.holders[holder].open_requests;
        let Some(position) = open_requests.iter().position(|request| request.id == id) else {
            return;
        };
        let request = open_requests.swap_remove(position);
        let clock = self.clock(holder);
        match (answer, &request.body) {
            (AnswerBody::Shard(row), _) => {
                let step = self.holders[holder].lease.on_row(row, clock);
                self.send_lease_requests(holder, step);
            }
            (AnswerBody::Committed(version), RequestBody::WriteShard(_)) => {
                let step = self.holders[holder].lease.on_committed(version);
                self.send_lease_requests(holder, step);
            }
            (AnswerBody::Committed(version), RequestBody::WriteTask(task, ..)) => {
                self.on_lifecycle_event(holder, *task, LifecycleEvent::Committed { version });
            }
            (AnswerBody::Conflict, _) => self.on_lost(holder, &request),
            (AnswerBody::Task(task, version, record), _) => {
                self.on_task_row(holder, task, version, record);
            }
            (AnswerBody::Started(reply), RequestBody::Start(task, ..)) => {
                self.on_lifecycle_event(holder, *task, LifecycleEvent::StartReplied(reply));
            }
            (AnswerBody::Report(worker, true, statuses), _) => {
                for (task, attempt, attempt_status) in statuses {
                    let event = LifecycleEvent::Reported {
                        worker,
                        attempt,
                        queried_at: request.sent_at,
                        status: attempt_status,
                    };
                    if !self.holders[holder].awaits_task(task) {
                        self.on_lifecycle_event(holder, task, event);
                    }
                }
            }
            _ => {}
        }
    }

    fn send_lease_requests(
        &mut self,
        holder: usize,
        step: sapphirewalk_core::shard_lease::LeaseStep,
    ) {
        for body in self.holders[holder].lease_request(step) {
            self.send(holder, body);
        }
    }

    fn on_task_row(&mut self, holder: usize, task: usize, version: u64, record: TaskRecord) {
        if self.holders[holder].lease.epoch().is_none() {
            return;
        }
        if self.holders[holder].lifecycles[task].is_some() {
            self.on_lifecycle_event(holder, task, LifecycleEvent::RowRead { version, record });
        } else {
            let step = self.holders[holder].load(task, version, record);
            self.send_lifecycle_request(holder, task, step);
        }
    }
}

fn write_answer(version: Option<u64>) -> AnswerBody {
    version.map_or(AnswerBody::Conflict, AnswerBody::Committed)
}

fn link_index(body: &RequestBody) -> usize {
    match body {
        RequestBody::Start(_, order, ..) => order.worker.0 as usize,
        RequestBody::Renew(worker, ..) | RequestBody::Stop(_, worker, ..) => worker.0 as usize,
        RequestBody::ReadShard
        | RequestBody::WriteShard(_)
        | RequestBody::ReadTask(_)
        | RequestBody::WriteTask(..) => WORKERS,
    }
}
