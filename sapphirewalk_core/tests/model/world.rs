//! Schedulers, table, workers and the messages between them.

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::shard_lease::ShardRow;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_lifecycle::TaskPhase;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::model::choice::ChoiceList;
use crate::model::holder::ModelHolder;
use crate::model::holder::OpenRequest;
use crate::model::holder::RequestBody;
use crate::model::table::ModelTable;
use crate::model::worker::ModelState;
use crate::model::worker::ModelWorker;

const HOLDERS: u32 = 3;
const WORKERS: usize = 2;
const TASKS: usize = 2;
/// Links of a scheduler: one to each worker, and one to the table.
const LINKS: usize = WORKERS + 1;
/// Messages among which the next to arrive is chosen; the oldest are among them.
const REORDER_SPAN: usize = 4;
const START: TimePoint = TimePoint::from_millis(1_000_000);
/// Steps of the calm end in which everything is answered.
const CALM_STEPS: usize = 4_000;

/// Messages delivered in each of them.
const CALM_MESSAGES: usize = 30;

/// Short spans, so that leases end often.
const RULES: LeaseRules = LeaseRules {
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
    Task(usize, u64, TaskRecord),
    Committed(u64),
    Conflict,
    Started(StartReply),
    Report(WorkerKey, bool, Vec<(usize, u64, AttemptStatus)>),
    Nothing,
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, OpenRequest),
    Answer(usize, u64, AnswerBody),
}

pub struct World {
    now: TimePoint,
    next_id: u64,
    pub table: ModelTable,
    holders: Vec<ModelHolder>,
    workers: Vec<ModelWorker>,
    messages: Vec<Message>,
    /// Links that carry nothing, by scheduler.
    cuts: [[bool; LINKS]; HOLDERS as usize],
    pub starts: usize,
}

impl World {
    pub fn new() -> Self {
        let holders = (0..HOLDERS)
            .map(|index| ModelHolder::new(index, u128::from(index), RULES, TASKS, WORKERS))
            .collect();
        Self {
            now: START,
            next_id: 100,
            table: ModelTable::new(TASKS),
            holders,
            workers: vec![ModelWorker::default(); WORKERS],
            messages: Vec::new(),
            cuts: [[false; LINKS]; HOLDERS as usize],
            starts: 0,
        }
    }

    /// Follows the choices, then lets everything be answered until all tasks have ended.
    pub fn run(&mut self, choices: &mut ChoiceList<'_>) {
        while self.step(choices).is_some() {
            self.check();
        }
        self.calm();
    }

    fn step(&mut self, choices: &mut ChoiceList<'_>) -> Option<()> {
        let holder = choices.next(HOLDERS as usize)?;
        match choices.next(64)? {
            0..=33 => self.deliver(choices.next(256)?),
            34..=37 => self.tick_holder(holder),
            38..=42 => self.place(holder, choices.next(TASKS)?, choices.next(WORKERS)?),
            43..=45 => self.pass(TimeSpan::from_millis(300 * (1 + choices.next(8)? as u64))),
            46 => self.pass(TimeSpan::from_secs(1 + choices.next(40)? as u64)),
            47..=48 => self.give_up(holder, choices.next(256)?),
            49 => self.holders[holder].paused = choices.next(5)? == 0,
            50 => self.crash(holder, choices.next(4)?),
            51..=53 => self.renew(holder, choices.next(WORKERS)?),
            54 => self.finish_now_and_then(choices.next(WORKERS)?, choices.next(64)?),
            55..=56 => self.change_task(holder, choices.next(TASKS)?, choices.next(250)?),
            57..=58 => self.set_cut(holder, choices.next(LINKS)?, choices.next(5)? == 0),
            _ => self.surely_over(holder, choices.next(WORKERS)?),
        }
        Some(())
    }

    fn finish_now_and_then(&mut self, worker: usize, choice: usize) {
        if choice == 0 {
            self.workers[worker].finish_one();
        }
    }

    /// Cuts a scheduler off from a worker or from the table, or mends the link.
    fn set_cut(&mut self, holder: usize, link: usize, cut: bool) {
        self.cuts[holder][link] = cut;
    }

    /// No crash, no pause, no loss: every task ends.
    fn calm(&mut self) {
        self.cuts = [[false; LINKS]; HOLDERS as usize];
        for holder in &mut self.holders {
            holder.paused = false;
        }
        for step in 0..CALM_STEPS {
            if self.all_ended() {
                return;
            }
            for _ in 0..CALM_MESSAGES {
                self.deliver(0);
                self.check();
            }
            self.pass(TimeSpan::from_millis(500));
            for holder in 0..self.holders.len() {
                self.drop_unanswered(holder);
                self.tick_holder(holder);
                self.renew(holder, step % WORKERS);
                self.place(holder, step % TASKS, step / 2 % WORKERS);
                self.surely_over(holder, step % WORKERS);
            }
            if step % 8 == 7 {
                self.workers[step / 8 % WORKERS].finish_one();
            }
            self.check();
        }
        let lives: Vec<_> = self.holders.iter().map(|holder| &holder.lives).collect();
        panic!(
            "tasks did not end: {:?} {lives:?} {:?}",
            self.table, self.workers
        );
    }

    fn all_ended(&self) -> bool {
        self.table
            .tasks
            .iter()
            .all(|row| matches!(row.record.phase, TaskPhase::Finished | TaskPhase::Cancelled))
    }

    /// What must hold at any time.
    fn check(&self) {
        for task in 0..TASKS {
            let attempts = || {
                self.workers
                    .iter()
                    .flat_map(|worker| &worker.attempts)
                    .filter(move |attempt| attempt.task == task)
            };
            let running = attempts()
                .filter(|attempt| attempt.state == ModelState::Running)
                .count();
            assert!(running <= 1, "task {task} runs {running} times at once");
            let mut numbers: Vec<u64> = attempts().map(|attempt| attempt.attempt).collect();
            numbers.sort_unstable();
            numbers.dedup();
            assert_eq!(numbers.len(), attempts().count(), "an attempt ran twice");
            assert!(self.table.finishes[task] <= 1, "task {task} finished twice");
            let row = &self.table.tasks[task].record;
            let ended = matches!(row.phase, TaskPhase::Finished | TaskPhase::Cancelled);
            assert!(!ended || running == 0, "task {task} runs after its end");
            assert!(
                attempts().all(|attempt| attempt.attempt <= row.attempt),
                "an attempt runs that no row records"
            );
        }
    }

    fn clock(&self, holder: usize) -> TimePoint {
        self.now + TimeSpan::from_millis(self.holders[holder].clock_ahead_ms)
    }

    /// Workers' clocks are as far behind as the bound allows.
    fn pass(&mut self, span: TimeSpan) {
        self.now = self.now + span;
        for worker in &mut self.workers {
            worker.on_time(self.now, &RULES);
        }
    }

    fn send(&mut self, holder: usize, body: RequestBody) {
        let open = OpenRequest {
            id: self.next_id,
            sent_at: self.clock(holder),
            body,
        };
        self.next_id += 1;
        self.holders[holder].open.push(open.clone());
        self.messages.push(Message::Request(holder, open));
    }

    fn on_life(&mut self, holder: usize, task: usize, event: LifecycleEvent) {
        let clock = self.clock(holder);
        let Some(life) = &mut self.holders[holder].lives[task] else {
            return;
        };
        let step = life.on_event(event, clock);
        self.follow(holder, task, step);
    }

    fn follow(&mut self, holder: usize, task: usize, step: LifecycleStep) {
        let clock = self.clock(holder);
        if let Some(body) = self.holders[holder].life_request(task, step, clock) {
            self.send(holder, body);
        }
    }

    fn tick_holder(&mut self, holder: usize) {
        if self.holders[holder].paused {
            return;
        }
        let clock = self.clock(holder);
        if !self.holders[holder].waits_for_shard() {
            let step = self.holders[holder].lease.on_tick(clock);
            for body in self.holders[holder].lease_request(step) {
                self.send(holder, body);
            }
        }
        for task in 0..TASKS {
            let known = self.holders[holder].lives[task].is_some();
            let waits = self.holders[holder].waits_for_task(task);
            if known && !waits {
                self.on_life(holder, task, LifecycleEvent::Tick);
            } else if !waits && self.holders[holder].lease.epoch().is_some() {
                self.send(holder, RequestBody::ReadTask(task));
            }
        }
    }

    fn place(&mut self, holder: usize, task: usize, worker: usize) {
        let ready = self.holders[holder].lives[task]
            .as_ref()
            .is_some_and(TaskLifecycle::is_ready);
        if self.holders[holder].paused || !ready || self.holders[holder].waits_for_task(task) {
            return;
        }
        self.next_id += 1;
        let event = LifecycleEvent::Placed {
            worker: WorkerKey(worker as u32),
            granted: ResourceVector::ZERO,
            token: AttemptToken(u128::from(self.next_id)),
        };
        self.on_life(holder, task, event);
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

    fn change_task(&mut self, holder: usize, task: usize, change: usize) {
        let waits = self.holders[holder].waits_for_task(task);
        if self.holders[holder].paused || waits {
            return;
        }
        let event = if change == 0 {
            LifecycleEvent::Cancel
        } else {
            LifecycleEvent::Evict
        };
        self.on_life(holder, task, event);
    }

    fn surely_over(&mut self, holder: usize, worker: usize) {
        let stopped_at = self.holders[holder].worker_leases[worker].stopped_by(&RULES);
        if self.holders[holder].paused || self.clock(holder) < stopped_at {
            return;
        }
        for task in 0..TASKS {
            if !self.holders[holder].waits_for_task(task) {
                let event = LifecycleEvent::AttemptOver {
                    worker: WorkerKey(worker as u32),
                };
                self.on_life(holder, task, event);
            }
        }
    }

    /// A process dies and another takes its place, now and then.
    fn crash(&mut self, holder: usize, choice: usize) {
        if choice == 0 {
            self.next_id += 1;
            self.holders[holder].crash(u128::from(self.next_id));
        }
    }

    /// A scheduler waits no longer for an answer; the message stays under way.
    fn give_up(&mut self, holder: usize, choice: usize) {
        if self.holders[holder].paused || self.holders[holder].open.is_empty() {
            return;
        }
        let position = choice % self.holders[holder].open.len();
        let open = self.holders[holder].open.swap_remove(position);
        self.on_lost(holder, &open);
    }

    fn drop_unanswered(&mut self, holder: usize) {
        while let Some(open) = self.holders[holder].open.pop() {
            self.on_lost(holder, &open);
        }
    }

    fn on_lost(&mut self, holder: usize, open: &OpenRequest) {
        match &open.body {
            RequestBody::WriteShard(_) => {
                let step = self.holders[holder].lease.on_unconfirmed();
                for body in self.holders[holder].lease_request(step) {
                    self.send(holder, body);
                }
            }
            RequestBody::WriteTask(task, ..) => {
                self.on_life(holder, *task, LifecycleEvent::Unconfirmed);
            }
            RequestBody::Start(task, order, ..) => {
                let lease = self.holders[holder].worker_leases[order.worker.0 as usize];
                let refused_at = lease.starts_refused_at(&RULES);
                let reply = StartReply::Lost { refused_at };
                self.on_life(holder, *task, LifecycleEvent::StartReplied(reply));
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
        let position = choice % self.messages.len().min(REORDER_SPAN);
        if self.is_held_back(&self.messages[position]) {
            // Later messages are not held up.
            let held_back = self.messages.remove(position);
            self.messages.push(held_back);
            return;
        }
        match self.messages.remove(position) {
            Message::Request(holder, open) => {
                let answer = self.serve(&open.body);
                self.messages.push(Message::Answer(holder, open.id, answer));
            }
            Message::Answer(holder, id, answer) => self.on_answer(holder, id, answer),
        }
    }

    fn is_held_back(&self, message: &Message) -> bool {
        match message {
            Message::Request(holder, open) => self.cuts[*holder][link(&open.body)],
            Message::Answer(holder, ..) => self.holders[*holder].paused,
        }
    }

    fn serve(&mut self, body: &RequestBody) -> AnswerBody {
        match body {
            RequestBody::ReadShard => AnswerBody::Shard(self.table.shard),
            RequestBody::WriteShard(write) => written(self.table.write_shard(write)),
            RequestBody::ReadTask(task) => {
                let row = &self.table.tasks[*task];
                AnswerBody::Task(*task, row.version, row.record.clone())
            }
            RequestBody::WriteTask(task, write, shard_version) => {
                written(self.table.write_task(*task, write, *shard_version))
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
                let views = (0..TASKS)
                    .map(|task| {
                        let attempt = self.table.tasks[task].record.attempt;
                        (task, attempt, worker.view(task, attempt))
                    })
                    .collect();
                AnswerBody::Report(*key, renewed, views)
            }
            RequestBody::Stop(task, worker, attempt, epoch) => {
                self.workers[worker.0 as usize].stop(*epoch, *task, *attempt);
                AnswerBody::Nothing
            }
        }
    }

    fn on_answer(&mut self, holder: usize, id: u64, answer: AnswerBody) {
        let open = &mut self.holders[holder].open;
        let Some(position) = open.iter().position(|request| request.id == id) else {
            return;
        };
        let open = open.swap_remove(position);
        let clock = self.clock(holder);
        match (answer, &open.body) {
            (AnswerBody::Shard(row), _) => {
                let step = self.holders[holder].lease.on_row(row, clock);
                self.follow_lease(holder, step);
            }
            (AnswerBody::Committed(version), RequestBody::WriteShard(_)) => {
                let step = self.holders[holder].lease.on_committed(version);
                self.follow_lease(holder, step);
            }
            (AnswerBody::Committed(version), RequestBody::WriteTask(task, ..)) => {
                self.on_life(holder, *task, LifecycleEvent::Committed { version });
            }
            (AnswerBody::Conflict, _) => self.on_lost(holder, &open),
            (AnswerBody::Task(task, version, record), _) => {
                self.on_task_row(holder, task, version, record);
            }
            (AnswerBody::Started(reply), RequestBody::Start(task, ..)) => {
                self.on_life(holder, *task, LifecycleEvent::StartReplied(reply));
            }
            (AnswerBody::Report(worker, true, views), _) => {
                for (task, attempt, view) in views {
                    let event = LifecycleEvent::Reported {
                        worker,
                        attempt,
                        queried_at: open.sent_at,
                        status: view,
                    };
                    if !self.holders[holder].waits_for_task(task) {
                        self.on_life(holder, task, event);
                    }
                }
            }
            _ => {}
        }
    }

    fn follow_lease(&mut self, holder: usize, step: sapphirewalk_core::shard_lease::LeaseStep) {
        for body in self.holders[holder].lease_request(step) {
            self.send(holder, body);
        }
    }

    fn on_task_row(&mut self, holder: usize, task: usize, version: u64, record: TaskRecord) {
        if self.holders[holder].lease.epoch().is_none() {
            return;
        }
        if self.holders[holder].lives[task].is_some() {
            self.on_life(holder, task, LifecycleEvent::RowRead { version, record });
        } else {
            let step = self.holders[holder].load(task, version, record);
            self.follow(holder, task, step);
        }
    }
}

fn written(version: Option<u64>) -> AnswerBody {
    version.map_or(AnswerBody::Conflict, AnswerBody::Committed)
}

fn link(body: &RequestBody) -> usize {
    match body {
        RequestBody::Start(_, order, ..) => order.worker.0 as usize,
        RequestBody::Renew(worker, ..) | RequestBody::Stop(_, worker, ..) => worker.0 as usize,
        RequestBody::ReadShard
        | RequestBody::WriteShard(_)
        | RequestBody::ReadTask(_)
        | RequestBody::WriteTask(..) => WORKERS,
    }
}
