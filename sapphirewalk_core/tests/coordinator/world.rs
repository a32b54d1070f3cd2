//! Workers, a store and coordinators on one modelled clock.

use std::cmp;
use std::collections;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::CoordinatorLimits;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::ListedEnd;
use sapphirewalk_core::coordinator::ListedRun;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::OrderTarget;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::coordinator::RunEnd;
use sapphirewalk_core::coordinator::SilentWorker;
use sapphirewalk_core::image_interference::LearnedImage;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::StepSpec;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::work_rule::PoolRule;
use sapphirewalk_core::work_rule::QueueRule;
use sapphirewalk_core::work_rule::WorkRules;
use sapphirewalk_core::worker_registry::WorkerReport;

/// The modelled clock starts here, so that no point lies before the epoch.
const START_MS: u64 = 1_000_000;
/// Port of the first worker.
const FIRST_PORT: u16 = 1_000;
/// Longest lease that the modelled workers grant.
const LONGEST_LEASE_MS: u64 = 10_000;
/// Time that a leaving worker says it has left.
const LEAVE_MS: u64 = 2_000;
/// Time after which an entry of the list lapses.
const LAPSE_MS: u64 = 4_500;
/// Time of one swing of a job's load.
const SWING_MS: f64 = 12_000.0;
/// Time that a stop takes.
const STOP_MS: u64 = 300;

/// What can go wrong, as shares of calls or as times.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Share of orders that get no answer and are carried out 2 to 12 s later.
    pub late_orders: f64,
    /// Share of orders that are carried out and whose answer is lost.
    pub lost_answers: f64,
    /// Share of batches that are recorded and not answered.
    pub lost_records: f64,
    /// Times at which another coordinator takes the leadership while the former one goes on.
    pub takeovers: Vec<u64>,
    /// Workers that are cut off: which, from, to.
    pub cuts: Vec<(usize, u64, u64)>,
    /// Workers that crash and come back with nothing: which, when, back when.
    pub crashes: Vec<(usize, u64, u64)>,
    /// Workers come back from a crash under another identifier at the same address.
    pub renamed: bool,
    /// Times in which the store refuses.
    pub outages: Vec<(u64, u64)>,
    /// Workers whose tasks go at a share of their rate: which, from, to, share.
    pub slow: Vec<(usize, u64, u64, f64)>,
    /// Share of runs that fail.
    pub failing_runs: f64,
}

/// A broken promise, in words.
pub type Breach = String;

struct ModelRun {
    name: RunName,
    fails: bool,
    stopping: bool,
    demand: ResourceVector,
    service: bool,
    pace: u32,
    best_effort: bool,
    image: String,
    gone_at: u64,
    left_ms: f64,
    work_ms: f64,
}

struct ModelWorker {
    id: String,
    capacity: ResourceVector,
    born_ms: u64,
    rate: f64,
    fence: u64,
    deadline_ms: u64,
    runs: Vec<ModelRun>,
    ends: Vec<ListedEnd>,
    next_end: u64,
    barred: collections::BTreeMap<TaskName, u32>,
    up: bool,
    /// Ends up to this number were listed before a lease ran out.
    void_ends: u64,
}

enum Action {
    Deliver {
        leader: usize,
        worker: usize,
        order: Order,
        late: bool,
        /// The incarnation of the worker that received the order.
        born_ms: u64,
    },
    Answer {
        leader: usize,
        event: Event,
    },
    Record {
        leader: usize,
        batch: CommitBatch,
        answered: bool,
    },
    Wake(usize),
    Submit(JobRecord),
    Cancel(JobId),
    Takeover,
    Crash(usize),
    Return(usize),
    List,
    Tick,
}

#[derive(Clone)]
enum Order {
    Start {
        target: OrderTarget,
        run: RunName,
        spec: std::rc::Rc<JobSpec>,
        deadline_ms: u64,
    },
    Stop {
        target: OrderTarget,
        run: RunName,
    },
    Poll {
        target: OrderTarget,
        deadline_ms: u64,
        acked: u64,
        until_ms: u64,
    },
    Pace {
        target: OrderTarget,
        run: RunName,
        percent: u32,
    },
}

struct Entry {
    at: u64,
    order: u64,
    action: Action,
}

struct Leader {
    coordinator: JobCoordinator,
    fence: u64,
    alive: bool,
    woken_for: u64,
}

/// The modelled deployment.
pub struct World {
    rng: ChaCha8Rng,
    plan: FaultPlan,
    now_ms: u64,
    queue: collections::BinaryHeap<Entry>,
    order: u64,
    workers: Vec<ModelWorker>,
    leaders: Vec<Leader>,
    rules: WorkRules,
    jobs: Vec<JobRecord>,
    cancelled: Vec<JobId>,
    progress: collections::BTreeMap<JobId, JobProgress>,
    store_fence: u64,
    learned: Vec<LearnedImage>,
    silent: Vec<SilentWorker>,
    /// Entries of the list that have not lapsed yet: identifier, worker, until when.
    lapsing: Vec<(String, usize, u64)>,
    done: collections::BTreeMap<TaskName, RunName>,
    failures: collections::BTreeMap<TaskName, u32>,
    /// Runs whose end `done` was acknowledged.
    acked: collections::BTreeSet<RunName>,
    /// Runs that were done and whose task was started again.
    restarted: collections::BTreeSet<RunName>,
    /// Starts by task.
    pub starts: collections::BTreeMap<TaskName, u32>,
    /// Completion times by job, in ms after its submission.
    pub completed: collections::BTreeMap<JobId, u64>,
    /// What was broken.
    pub breaches: Vec<Breach>,
    /// Time that service tasks were over their target, in ms.
    pub violating_ms: u64,
    /// Orders that were turned away for want of room.
    pub no_room: u32,
    /// The store loses what was learned of images.
    pub forgets_learned: bool,
    /// Workers that are about to leave.
    pub leaving: Vec<usize>,
    /// By how much the logarithm of service tasks' tails swings with the load of their job.
    pub swing: f64,
    /// Pairs of best-effort work and service images that interfere with one another.
    pub interfering: Vec<(String, String)>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl Order {
    fn target(&self) -> &OrderTarget {
        match self {
            Self::Start { target, .. }
            | Self::Stop { target, .. }
            | Self::Poll { target, .. }
            | Self::Pace { target, .. } => target,
        }
    }
}

impl World {
    pub fn new(seed: u64, workers: usize, plan: FaultPlan) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            plan,
            now_ms: START_MS,
            queue: collections::BinaryHeap::new(),
            order: 0,
            workers: Vec::new(),
            leaders: Vec::new(),
            rules: rules(),
            jobs: Vec::new(),
            cancelled: Vec::new(),
            progress: collections::BTreeMap::new(),
            store_fence: 0,
            learned: Vec::new(),
            silent: Vec::new(),
            lapsing: Vec::new(),
            done: collections::BTreeMap::new(),
            failures: collections::BTreeMap::new(),
            acked: collections::BTreeSet::new(),
            restarted: collections::BTreeSet::new(),
            starts: collections::BTreeMap::new(),
            completed: collections::BTreeMap::new(),
            breaches: Vec::new(),
            violating_ms: 0,
            no_room: 0,
            forgets_learned: false,
            leaving: Vec::new(),
            swing: 0.0,
            interfering: Vec::new(),
        };
        for number in 0..workers {
            world.workers.push(ModelWorker::new(number));
        }
        let plan = world.plan.clone();
        world.schedule(START_MS, Action::Takeover);
        for at in plan.takeovers {
            world.schedule(START_MS + at, Action::Takeover);
        }
        for (worker, from, back) in plan.crashes {
            world.schedule(START_MS + from, Action::Crash(worker));
            world.schedule(START_MS + back, Action::Return(worker));
        }
        world.schedule(START_MS + 1, Action::List);
        world.schedule(START_MS + 2, Action::Tick);
        world
    }

    /// Submits a job at a time after the start, in ms.
    pub fn submit(&mut self, at_ms: u64, id: u64, queue: &str, steps: Vec<StepSpec>) {
        let record = JobRecord {
            id: JobId(id),
            queue: queue.to_owned(),
            pool: "pool".to_owned(),
            spec: JobSpec {
                spec: "text".to_owned(),
                steps,
                schedule: None,
            },
            accepted_at: TimePoint::from_millis(START_MS + at_ms),
        };
        assert_eq!(record.spec.check(), Ok(()));
        self.schedule(START_MS + at_ms, Action::Submit(record));
    }

    /// Cancels a job at a time after the start, in ms.
    pub fn cancel(&mut self, at_ms: u64, id: u64) {
        self.schedule(START_MS + at_ms, Action::Cancel(JobId(id)));
    }

    /// Runs until a time after the start, in ms.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.queue.pop() {
            if entry.at > START_MS + until_ms {
                self.queue.push(entry);
                return;
            }
            self.now_ms = self.now_ms.max(entry.at);
            self.act(entry.action);
        }
    }

    /// The state that the leader shows.
    pub fn shown(&self, id: u64) -> Option<JobState> {
        let leader = self.leaders.iter().rev().find(|leader| leader.alive)?;
        leader.coordinator.committed_state(JobId(id))
    }

    /// The predecessors' processes end, and the leader learns of it.
    pub fn predecessor_ended(&mut self) {
        let now = self.now();
        let last = self.leaders.len() - 1;
        for leader in &mut self.leaders[..last] {
            leader.alive = false;
        }
        self.leaders[last].coordinator.predecessor_ended(now);
    }

    /// Starts of a job's tasks so far.
    pub fn starts_of(&self, id: u64) -> u32 {
        let starts = self.starts.iter();
        starts
            .filter(|(task, _)| task.job == JobId(id))
            .map(|(_, starts)| starts)
            .sum()
    }

    /// Tasks of a job that run on a worker now.
    pub fn running_on(&self, worker: usize, id: u64) -> usize {
        let runs = self.workers[worker].runs.iter();
        runs.filter(|run| run.name.task.job == JobId(id)).count()
    }

    /// Tasks of a job that run now.
    pub fn running(&self, id: u64) -> usize {
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        runs.filter(|run| run.name.task.job == JobId(id)).count()
    }

    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.now_ms)
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.order += 1;
        self.queue.push(Entry {
            at,
            order: self.order,
            action,
        });
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Takeover => self.take_over(),
            Action::Submit(record) => {
                self.jobs.push(record.clone());
                self.tell_all(&Event::Stored(record));
            }
            Action::Cancel(id) => {
                self.cancelled.push(id);
                self.tell_all(&Event::Cancelled(id));
            }
            Action::Wake(leader) => self.run_leader(leader),
            Action::Answer { leader, event } => {
                if self.leaders[leader].alive {
                    let now = self.now();
                    self.leaders[leader].coordinator.handle(event, now);
                    self.run_leader(leader);
                }
            }
            Action::Record {
                leader,
                batch,
                answered,
            } => self.record(leader, batch, answered),
            Action::Deliver {
                leader,
                worker,
                order,
                late,
                born_ms,
            } => {
                // A worker that has crashed since can't carry out what it had put off.
                if !late || self.workers[worker].born_ms == born_ms {
                    self.deliver(leader, worker, order, late);
                }
            }
            Action::Crash(worker) => self.crash(worker),
            Action::Return(number) => {
                let born = self.now_ms;
                let worker = &mut self.workers[number];
                worker.up = true;
                worker.born_ms = born;
                if self.plan.renamed {
                    let id = format!("{}-{born}", worker.id);
                    let former = std::mem::replace(&mut worker.id, id);
                    self.lapsing.push((former, number, born + LAPSE_MS));
                }
            }
            Action::List => {
                self.list();
                let at = self.now_ms + 700;
                self.schedule(at, Action::List);
            }
            Action::Tick => {
                self.advance();
                let at = self.now_ms + 5;
                self.schedule(at, Action::Tick);
            }
        }
    }

    fn take_over(&mut self) {
        let now = self.now();
        self.store_fence += 1;
        let fence = self.store_fence;
        let limits = CoordinatorLimits {
            longest_lease: TimeSpan::from_millis(LONGEST_LEASE_MS),
            retention: TimeSpan::from_secs(120),
            harm_tolerance: TimeSpan::from_secs(4),
        };
        let mut coordinator = JobCoordinator::new(limits, fence, now);
        coordinator.set_rules(self.rules.clone());
        if fence > 1 {
            let records = RecoveryRecords {
                jobs: self.jobs.clone(),
                progress: self.progress.values().cloned().collect(),
                cancelled: self.cancelled.clone(),
                learned: self.learned.clone(),
                silent: self.silent.clone(),
            };
            coordinator.restore(records, now);
        }
        self.leaders.push(Leader {
            coordinator,
            fence,
            alive: true,
            woken_for: u64::MAX,
        });
        self.list();
    }

    fn tell_all(&mut self, event: &Event) {
        let now = self.now();
        for number in 0..self.leaders.len() {
            if self.leaders[number].alive {
                self.leaders[number].coordinator.handle(event.clone(), now);
                self.run_leader(number);
            }
        }
    }

    fn list(&mut self) {
        let now_ms = self.now_ms;
        self.lapsing.retain(|(_, _, until)| *until > now_ms);
        let up = self.workers.iter().enumerate();
        let up = up
            .filter(|(_, worker)| worker.up)
            .map(|(number, worker)| (worker.id.clone(), number));
        let lapsing = self.lapsing.iter();
        let lapsing = lapsing.map(|(id, number, _)| (id.clone(), *number));
        let reports: Vec<WorkerReport> = up
            .chain(lapsing)
            .map(|(id, number)| (id, number, &self.workers[number]))
            .map(|(id, number, worker)| WorkerReport {
                id,
                pool: "pool".to_owned(),
                address: ([127, 0, 0, 1], FIRST_PORT + u16::try_from(number).unwrap()).into(),
                domain: "domain".to_owned(),
                rack: format!("r{}", number / 4),
                labels: vec!["a".to_owned(), format!("r{}", number / 4)],
                capacity: worker.capacity,
                draining: self.leaving.contains(&number),
                leaves_in: TimeSpan::from_millis(LEAVE_MS),
                born_ms: worker.born_ms,
            })
            .collect();
        let now = self.now();
        for number in 0..self.leaders.len() {
            if self.leaders[number].alive {
                let leader = &mut self.leaders[number];
                leader.coordinator.set_workers(reports.clone(), now);
                self.run_leader(number);
            }
        }
    }

    fn run_leader(&mut self, number: usize) {
        if !self.leaders[number].alive {
            return;
        }
        let now = self.now();
        let effects = self.leaders[number].coordinator.run(now);
        for effect in effects {
            self.perform(number, effect);
        }
        let leader = &mut self.leaders[number];
        let wake = leader.coordinator.next_wake(now).as_millis() + 1;
        let wake = wake.max(self.now_ms + 1);
        if leader.alive && (leader.woken_for <= self.now_ms || wake < leader.woken_for) {
            leader.woken_for = wake;
            self.schedule(wake, Action::Wake(number));
        }
    }

    fn perform(&mut self, leader: usize, effect: Effect) {
        let order = match effect {
            Effect::Log(_) => return,
            Effect::StepDown => {
                self.leaders[leader].alive = false;
                return;
            }
            Effect::Commit(batch) => {
                let took = self.rng.random_range(6..12);
                let answered = !self.rng.random_bool(self.plan.lost_records);
                let at = self.now_ms + took;
                self.schedule(
                    at,
                    Action::Record {
                        leader,
                        batch,
                        answered,
                    },
                );
                return;
            }
            Effect::Start {
                target,
                run,
                spec,
                deadline_ms,
                ..
            } => Order::Start {
                target,
                run,
                spec,
                deadline_ms,
            },
            Effect::Stop { target, run } => Order::Stop { target, run },
            Effect::Pace {
                target,
                run,
                percent,
            } => Order::Pace {
                target,
                run,
                percent,
            },
            Effect::Poll {
                target,
                deadline_ms,
                acked,
                wait_ms,
            } => Order::Poll {
                target,
                deadline_ms,
                acked,
                until_ms: self.now_ms + wait_ms,
            },
        };
        let port = order.target().address.port();
        let worker = usize::from(port - FIRST_PORT);
        let born_ms = self.workers[worker].born_ms;
        let late = !matches!(order, Order::Poll { .. }) && self.chance(self.plan.late_orders);
        if late {
            let at = self.now_ms + self.rng.random_range(2_000..12_000);
            let missing = missing(&order);
            let deliver = Action::Deliver {
                leader,
                worker,
                order,
                late,
                born_ms,
            };
            self.schedule(at, deliver);
            let at = self.now_ms + 500;
            self.schedule(
                at,
                Action::Answer {
                    leader,
                    event: missing,
                },
            );
        } else {
            let at = self.now_ms + self.rng.random_range(1..4);
            let deliver = Action::Deliver {
                leader,
                worker,
                order,
                late,
                born_ms,
            };
            self.schedule(at, deliver);
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    fn is_cut(&self, worker: usize) -> bool {
        let since = self.now_ms - START_MS;
        let cuts = &self.plan.cuts;
        cuts.iter()
            .any(|(cut, from, to)| *cut == worker && (*from..*to).contains(&since))
    }

    fn record(&mut self, leader: usize, batch: CommitBatch, answered: bool) {
        let since = self.now_ms - START_MS;
        let outages = &self.plan.outages;
        let out = outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&since));
        if out {
            let at = self.now_ms + 80;
            self.schedule(
                at,
                Action::Record {
                    leader,
                    batch,
                    answered,
                },
            );
            return;
        }
        if self.leaders[leader].fence != self.store_fence {
            self.leaders[leader].alive = false;
            return;
        }
        if let Some(learned) = batch.learned.filter(|_| !self.forgets_learned) {
            self.learned = learned;
        }
        if let Some(silent) = batch.silent {
            self.silent = silent;
        }
        for row in batch.rows {
            if row.state == JobState::Completed && !self.completed.contains_key(&row.id) {
                let job = self.jobs.iter().find(|job| job.id == row.id);
                let from = job.expect("only accepted jobs complete").accepted_at;
                let took = self.now_ms - from.as_millis();
                self.check_completed(row.id);
                self.completed.insert(row.id, took);
            }
            self.progress.insert(row.id, row);
        }
        let delay = if answered { 2 } else { 900 };
        let at = self.now_ms + delay;
        let event = Event::Committed(batch.number);
        self.schedule(at, Action::Answer { leader, event });
    }

    fn check_completed(&mut self, id: JobId) {
        let job = self.jobs.iter().find(|job| job.id == id);
        let spec = job.expect("only accepted jobs complete").spec.clone();
        for (step, number) in spec.steps.iter().zip(0u16..) {
            for index in 0..step.count {
                let task = TaskName {
                    job: id,
                    occurrence: 0,
                    step: number,
                    index,
                };
                if !self.done.contains_key(&task) {
                    self.breaches.push(format!("{id} completed without {task}"));
                }
            }
        }
    }

    fn deliver(&mut self, leader: usize, worker: usize, order: Order, late: bool) {
        if !self.workers[worker].up || self.is_cut(worker) {
            if !late {
                let at = self.now_ms + 500;
                let event = missing(&order);
                self.schedule(at, Action::Answer { leader, event });
            }
            return;
        }
        if let Order::Poll {
            target,
            acked,
            until_ms,
            ..
        } = &order
        {
            // The worker waits for an end before it answers.
            let model = &self.workers[worker];
            let quiet = model.ends.iter().all(|end| end.number <= *acked);
            let model_born = model.born_ms;
            if quiet && *until_ms > self.now_ms && target.fence >= model.fence {
                let at = self.now_ms + 5;
                self.schedule(
                    at,
                    Action::Deliver {
                        leader,
                        worker,
                        order,
                        late,
                        born_ms: model_born,
                    },
                );
                return;
            }
        }
        let event = self.carry_out(worker, &order);
        if late {
            return;
        }
        let lost = self.chance(self.plan.lost_answers);
        let (delay, event) = if lost {
            (500, missing(&order))
        } else {
            (self.rng.random_range(1..4), event)
        };
        let at = self.now_ms + delay;
        self.schedule(at, Action::Answer { leader, event });
    }

    fn carry_out(&mut self, number: usize, order: &Order) -> Event {
        self.lapse(number);
        if order.target().id != self.workers[number].id {
            let other = OrderAnswer::OtherIncarnation;
            return answer(order, other, PollAnswer::OtherIncarnation);
        }
        let now_ms = self.now_ms;
        let fence = order.target().fence;
        let clock_ms = self.workers[number].clock(now_ms);
        if fence < self.workers[number].fence {
            return answer(order, OrderAnswer::Fenced, PollAnswer::Fenced);
        }
        self.workers[number].fence = fence;
        let accepted = OrderAnswer::Accepted { clock_ms };
        match order {
            Order::Start {
                run,
                spec,
                deadline_ms,
                ..
            } => {
                let given = self.start(number, *run, spec, *deadline_ms);
                answer(order, given, PollAnswer::Missing)
            }
            Order::Stop { run, .. } => {
                let worker = &mut self.workers[number];
                let barred = worker.barred.entry(run.task).or_default();
                *barred = (*barred).max(run.attempt);
                for known in worker.runs.iter_mut().filter(|known| known.name == *run) {
                    if !known.stopping {
                        known.stopping = true;
                        known.gone_at = now_ms + STOP_MS;
                    }
                }
                answer(order, accepted, PollAnswer::Missing)
            }
            Order::Pace { run, percent, .. } => {
                let worker = &mut self.workers[number];
                for known in worker.runs.iter_mut().filter(|known| known.name == *run) {
                    known.pace = *percent;
                }
                answer(order, accepted, PollAnswer::Missing)
            }
            Order::Poll {
                deadline_ms, acked, ..
            } => {
                let tails = self.tails(number);
                let worker = &mut self.workers[number];
                worker.deadline_ms = worker.granted(*deadline_ms, now_ms);
                let void_ends = worker.void_ends;
                for end in worker.ends.iter().filter(|end| end.number <= *acked) {
                    if end.end == RunEnd::Done && end.number > void_ends {
                        self.acked.insert(end.run);
                    }
                }
                worker.ends.retain(|end| end.number > *acked);
                let twice = self.restarted.intersection(&self.acked);
                let twice: Vec<RunName> = twice.copied().collect();
                for done in twice {
                    self.restarted.remove(&done);
                    let breach = format!("{done} is acked, and its task was started again");
                    self.breaches.push(breach);
                }
                let worker = &mut self.workers[number];
                let running = worker.runs.iter().zip(tails).map(|(run, gauge)| ListedRun {
                    run: run.name,
                    checkpoint: String::new(),
                    percent: run.percent(),
                    gauge: Some(gauge),
                });
                let lists = PollAnswer::Lists {
                    clock_ms,
                    born_ms: worker.born_ms,
                    running: running.collect(),
                    ended: worker.ends.clone(),
                };
                answer(order, accepted, lists)
            }
        }
    }

    /// Tails of service tasks in ms, processor use of others in thousandths of a core.
    fn tails(&self, number: usize) -> Vec<f64> {
        let worker = &self.workers[number];
        let capacity = worker.capacity.cpu_millis as f64;
        let claim = |run: &ModelRun| run.demand.cpu_millis as f64 * f64::from(run.pace) / 100.0;
        let mut gauges = Vec::new();
        for run in &worker.runs {
            if !run.service {
                gauges.push(claim(run));
                continue;
            }
            let interference: f64 = worker
                .runs
                .iter()
                .filter(|other| other.best_effort)
                .filter(|other| {
                    let pair = (other.image.clone(), run.image.clone());
                    self.interfering.contains(&pair)
                })
                .map(|other| claim(other) / capacity * 6.0)
                .sum();
            let swing = self.swing * self.load_phase(run.name.task.job).sin();
            gauges.push((8.0 * (interference + swing).exp()).round());
        }
        gauges
    }

    /// Where the load of a job's service tasks stands in its swing, as an angle.
    fn load_phase(&self, job: JobId) -> f64 {
        let turns = self.now_ms as f64 / SWING_MS + job.0 as f64 * 0.37;
        turns * std::f64::consts::TAU
    }

    fn start(
        &mut self,
        number: usize,
        run: RunName,
        spec: &JobSpec,
        deadline_ms: u64,
    ) -> OrderAnswer {
        let now_ms = self.now_ms;
        let fails = self.chance(self.plan.failing_runs);
        let clock_ms = self.workers[number].clock(now_ms);
        let worker = &mut self.workers[number];
        if worker.runs.iter().any(|known| known.name == run) {
            return OrderAnswer::Accepted { clock_ms };
        }
        if worker
            .barred
            .get(&run.task)
            .is_some_and(|highest| run.attempt <= *highest)
        {
            worker.deadline_ms = worker.granted(deadline_ms, now_ms);
            return OrderAnswer::Superseded;
        }
        if deadline_ms <= clock_ms {
            return OrderAnswer::Expired;
        }
        let step = &spec.steps[usize::from(run.task.step)];
        let mut demand = step.demand;
        if step.best_effort {
            demand.cpu_millis = 0;
        }
        let used = worker.runs.iter().fold(ResourceVector::ZERO, |sum, known| {
            let mut counted = known.demand;
            if known.best_effort {
                counted.cpu_millis = 0;
            }
            sum + counted
        });
        if !demand.fits(worker.capacity.saturating_sub(used)) {
            self.no_room += 1;
            return OrderAnswer::NoRoom;
        }
        worker.deadline_ms = worker.granted(deadline_ms, now_ms);
        let work = step.estimate.as_millis();
        worker.runs.push(ModelRun {
            name: run,
            fails,
            stopping: false,
            demand: step.demand,
            service: step.service,
            pace: 100,
            best_effort: step.best_effort,
            image: step.image.clone(),
            gone_at: u64::MAX,
            left_ms: work as f64,
            work_ms: work as f64,
        });
        self.check_start(number, run, spec);
        OrderAnswer::Accepted { clock_ms }
    }

    fn check_start(&mut self, number: usize, run: RunName, spec: &JobSpec) {
        let task = run.task;
        *self.starts.entry(task).or_default() += 1;
        let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
            other != number && worker.up && worker.runs.iter().any(|known| known.name.task == task)
        });
        let here = self.workers[number]
            .runs
            .iter()
            .filter(|known| known.name.task == task)
            .count();
        if elsewhere || here > 1 {
            self.breaches
                .push(format!("{run} runs twice at {}", self.now_ms));
        }
        if let Some(done) = self.done.get(&task) {
            if self.acked.contains(done) {
                self.breaches
                    .push(format!("{run} starts after {done} was acked"));
            }
            self.restarted.insert(*done);
        }
        let step = &spec.steps[usize::from(task.step)];
        for before in &step.after {
            for index in 0..spec.steps[usize::from(*before)].count {
                let earlier = TaskName {
                    step: *before,
                    index,
                    ..task
                };
                if !self.done.contains_key(&earlier) {
                    self.breaches
                        .push(format!("{run} starts before {earlier} is done"));
                }
            }
        }
        let limit = self.rules.queues[0].max_attempts;
        let failures = self.failures.get(&task).copied().unwrap_or(0);
        if !step.service && failures >= limit {
            self.breaches
                .push(format!("{run} starts after {failures} failures"));
        }
    }

    fn crash(&mut self, number: usize) {
        // What was done there and not acknowledged is lost with it, and may run again.
        let worker = &mut self.workers[number];
        worker.up = false;
        worker.runs.clear();
        worker.ends.clear();
        worker.next_end = 1;
        worker.barred.clear();
        worker.fence = 0;
        worker.deadline_ms = 0;
    }

    fn lapse(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[number];
        if worker.clock(now_ms) < worker.deadline_ms {
            return;
        }
        // Ends that were not acknowledged when the lease ran out don't count, even if they are acknowledged later.
        if !worker.runs.is_empty() || worker.deadline_ms > 0 {
            worker.void_ends = worker.next_end - 1;
        }
        for run in std::mem::take(&mut worker.runs) {
            worker.end(run.name, RunEnd::Lapsed);
        }
    }

    /// Lets runs go on by one step of the clock.
    fn advance(&mut self) {
        let now_ms = self.now_ms;
        for number in 0..self.workers.len() {
            if !self.workers[number].up {
                continue;
            }
            self.lapse(number);
            let tails = self.tails(number);
            let over = self.workers[number]
                .runs
                .iter()
                .zip(&tails)
                .any(|(run, tail)| run.service && *tail > 18.0);
            if over {
                self.violating_ms += 5;
            }
            let worker = &mut self.workers[number];
            let capacity = worker.capacity.cpu_millis as f64;
            let fixed: f64 = worker
                .runs
                .iter()
                .filter(|run| !run.best_effort)
                .map(|run| run.demand.cpu_millis as f64 * if run.service { 0.42 } else { 1.0 })
                .sum();
            let wanted: f64 = worker
                .runs
                .iter()
                .filter(|run| run.best_effort)
                .map(|run| run.demand.cpu_millis as f64 * f64::from(run.pace) / 100.0)
                .sum();
            let speed = if wanted > 0.0 {
                ((capacity - fixed) / wanted).clamp(0.0, 1.0)
            } else {
                1.0
            };
            let since = now_ms - START_MS;
            let slowness = self
                .plan
                .slow
                .iter()
                .find(|(slow, from, to, _)| *slow == number && (*from..*to).contains(&since));
            let pulse = slowness.map_or(1.0, |(.., share)| *share);
            let mut ended = Vec::new();
            for run in &mut worker.runs {
                let rate = pulse
                    * if run.best_effort {
                        speed * f64::from(run.pace) / 100.0
                    } else {
                        1.0
                    };
                run.left_ms -= 5.0 * rate;
                if run.stopping {
                    if now_ms >= run.gone_at {
                        ended.push((run.name, RunEnd::Stopped));
                    }
                } else if !run.service && run.left_ms <= 0.0 {
                    let end = if run.fails {
                        RunEnd::Failed
                    } else {
                        RunEnd::Done
                    };
                    ended.push((run.name, end));
                }
            }
            for (name, end) in ended {
                let worker = &mut self.workers[number];
                worker.runs.retain(|run| run.name != name);
                worker.end(name, end);
                match end {
                    RunEnd::Done => {
                        self.done.insert(name.task, name);
                    }
                    RunEnd::Failed => *self.failures.entry(name.task).or_default() += 1,
                    _ => {}
                }
            }
        }
    }
}

impl ModelRun {
    fn percent(&self) -> u32 {
        if self.service {
            return 100;
        }
        let done = 1.0 - self.left_ms / self.work_ms.max(1.0);
        (done * 100.0).clamp(0.0, 100.0) as u32
    }
}

impl ModelWorker {
    fn new(number: usize) -> Self {
        Self {
            id: format!("w{number:03}"),
            capacity: ResourceVector {
                cpu_millis: 16_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            born_ms: START_MS - 5_000,
            // Every third clock is 2% slow.
            rate: if number.is_multiple_of(3) { 0.98 } else { 1.0 },
            fence: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            next_end: 1,
            barred: collections::BTreeMap::new(),
            up: true,
            void_ends: 0,
        }
    }

    fn clock(&self, now_ms: u64) -> u64 {
        ((now_ms - self.born_ms.min(now_ms)) as f64 * self.rate) as u64
    }

    fn granted(&self, deadline_ms: u64, now_ms: u64) -> u64 {
        let longest = self.clock(now_ms) + LONGEST_LEASE_MS;
        self.deadline_ms.max(deadline_ms.min(longest))
    }

    fn end(&mut self, name: RunName, end: RunEnd) {
        let barred = self.barred.entry(name.task).or_default();
        *barred = (*barred).max(name.attempt);
        self.ends.push(ListedEnd {
            number: self.next_end,
            run: name,
            end,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }
}

fn rules() -> WorkRules {
    let queue = |name: &str, priority| QueueRule {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        pool: "pool".to_owned(),
        priority,
        max_attempts: 3,
        slowdown_factor: 2.0,
        target_latency: TimeSpan::from_millis(1_000),
        advice: None,
    };
    WorkRules {
        version: 1,
        queues: vec![queue("bulk", 2), queue("service", 0), queue("urgent", 0)],
        pools: vec![PoolRule {
            name: "pool".to_owned(),
            enforces_capacity: true,
            standby: false,
        }],
        max_body_bytes: 262_144,
    }
}

fn missing(order: &Order) -> Event {
    answer(order, OrderAnswer::Missing, PollAnswer::Missing)
}

fn answer(order: &Order, given: OrderAnswer, lists: PollAnswer) -> Event {
    let worker = order.target().worker;
    match order {
        Order::Start { run, .. } => Event::Started {
            worker,
            run: *run,
            answer: given,
        },
        Order::Stop { run, .. } => Event::Stopped {
            worker,
            run: *run,
            answer: given,
        },
        Order::Pace { run, percent, .. } => Event::Paced {
            worker,
            run: *run,
            percent: *percent,
            answer: given,
        },
        Order::Poll { deadline_ms, .. } => Event::Polled {
            worker,
            deadline_ms: *deadline_ms,
            answer: lists,
        },
    }
}

/// A step of tasks that take a time and some cores.
pub fn step(count: u16, cpu_millis: u64, run_ms: u64, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        demand: ResourceVector {
            cpu_millis,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate: TimeSpan::from_millis(run_ms),
        after: after.to_vec(),
        ..StepSpec::default()
    }
}
