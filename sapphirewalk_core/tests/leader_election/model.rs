//! A model of a deployment in which the VMs elect a leader: a store that is slow or loses answers,
//! VMs of two sizes, and leaders that load the records before they serve.

use std::collections;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_core::leader_election::ElectionInput;
use sapphirewalk_core::leader_election::ElectionStep;
use sapphirewalk_core::leader_election::LeaderElection;
use sapphirewalk_core::leader_election::LeaderView;
use sapphirewalk_core::leader_election::LinkEnd;
use sapphirewalk_core::leadership_handback::HandbackStep;
use sapphirewalk_core::leadership_handback::LeadershipHandback;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Share of a core of a large VM, in thousandths.
pub const LARGE_CPU: u64 = 500;
/// Share of a core of a small VM, in thousandths.
pub const SMALL_CPU: u64 = 69;

const MS: u64 = 1_000;
const READ_US: u64 = 4 * MS;
const TRANSACTION_US: u64 = 5 * MS;
/// Factor by which a slow store takes longer.
const SLOW_FACTOR: u64 = 60;
/// A call is refused if this much work is queued before it.
const STORE_QUEUE_US: u64 = 1_000 * MS;
const LINK_US: u64 = 2 * MS;
const READ_TIMEOUT_US: u64 = 800 * MS;
const WRITE_TIMEOUT_US: u64 = 1_000 * MS;
const CONNECT_TIMEOUT_US: u64 = 400 * MS;
const HEARTBEAT_US: u64 = 300 * MS;
const HEARTBEAT_TIMEOUT_US: u64 = 1_200 * MS;
/// Interval between a leader's batches.
const BATCH_US: u64 = 50 * MS;
const REFUSED_BATCH_US: u64 = 80 * MS;
/// Time of a whole core that reading and restoring the records takes, in parts that each hold up
/// everything else in the process.
const LOAD_PARTS_US: [u64; 2] = [42 * MS, 42 * MS];
/// Time of a whole core that a connection costs the process that accepts it.
const CONNECTION_US: u64 = 10;

/// Connections that may wait until a process accepts them; others are refused.
const LISTEN_QUEUE: usize = 128;

/// A span of the day, in ms.
#[derive(Clone, Copy, Debug)]
pub struct DaySpan {
    pub from_ms: u64,
    pub until_ms: u64,
}

/// What happens on a day.
#[derive(Clone, Debug, Default)]
pub struct ElectionDay {
    pub slow: Vec<DaySpan>,
    /// Spans in which answers of the store are lost, with a probability; half of the calls
    /// concerned take effect seconds later.
    pub losing: Vec<(DaySpan, f64)>,
    /// Times at which the leader is killed, in ms.
    pub leader_kills: Vec<u64>,
    /// Spans in which the process that leads at their begin is frozen.
    pub leader_freezes: Vec<DaySpan>,
    /// Spans in which all large VMs are frozen.
    pub large_freezes: Vec<DaySpan>,
    /// Times at which a write of a VM that acquires the leadership takes effect, in ms, long after
    /// the VM has given it up.
    pub late_acquisitions: Vec<u64>,
    /// Number of that VM. Large VMs come first.
    pub late_vm: usize,
    /// By how much more records there are to load than usual; 0 for none.
    pub more_records: u64,
    pub end_ms: u64,
}

/// A leadership that began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Takeover {
    pub at_ms: u64,
    pub cpu_millis: u64,
    pub fence: u64,
}

/// What a day led to.
#[derive(Clone, Debug, Default)]
pub struct DayReport {
    pub takeovers: Vec<Takeover>,
    /// Times of batches that were committed, in ms.
    pub commits: Vec<u64>,
    /// Leaderships that began without the row in the store naming them.
    pub unverified: usize,
}

impl DayReport {
    /// The longest span without a committed batch between two times, in ms.
    pub fn longest_pause(&self, from_ms: u64, until_ms: u64) -> u64 {
        let mut last = from_ms;
        let mut longest = 0;
        let inside = |at: &&u64| (from_ms..until_ms).contains(*at);
        for at in self.commits.iter().filter(inside) {
            longest = longest.max(at - last);
            last = *at;
        }
        longest.max(until_ms - last)
    }

    /// Number of leaderships that began in a span.
    pub fn takeovers_in(&self, from_ms: u64, until_ms: u64) -> usize {
        let inside = |takeover: &&Takeover| (from_ms..until_ms).contains(&takeover.at_ms);
        self.takeovers.iter().filter(inside).count()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VmRole {
    Follower,
    /// Loads the records; the number of parts that are done.
    Loading(usize),
    Leading,
}

struct ModelVm {
    election: LeaderElection,
    incarnation: u64,
    cpu_millis: u64,
    role: VmRole,
    alive: bool,
    frozen_until: u64,
    /// Counts the steps of the election, so that late inputs are dropped.
    step: u64,
    /// Counts leaderships.
    term: u64,
    /// The leader row as this leader last wrote it.
    own: Option<LeaderView>,
    committed_at: u64,
    cpu_free_at: u64,
    /// Times at which waiting connections are accepted.
    waiting_links: Vec<u64>,
    last_step: ElectionStep,
    /// A peer was turned away since the row was last read for that.
    turned_away: bool,
    /// The step during which the row is being read because a peer was turned away.
    own_read: Option<u64>,
    handback: LeadershipHandback,
}

#[derive(Clone, Copy, Debug)]
enum WriteKind {
    Acquire { step: u64 },
    Batch { term: u64 },
}

#[derive(Clone, Copy, Debug)]
struct StoreWrite {
    vm: usize,
    row: LeaderView,
    expected: u64,
    kind: WriteKind,
    requested_at: u64,
    answered: bool,
}

#[derive(Clone, Copy, Debug)]
enum WriteAnswer {
    Applied(u64),
    Conflict(LeaderView),
    Refused,
    Unanswered,
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Input {
        vm: usize,
        step: u64,
        input: ElectionInput,
    },
    ReadRow {
        vm: usize,
        step: u64,
    },
    Execute(StoreWrite),
    Answer {
        write: StoreWrite,
        answer: WriteAnswer,
    },
    Connect {
        vm: usize,
        step: u64,
        holder: usize,
        requested_at: u64,
        stale_after: TimeSpan,
    },
    Beat {
        vm: usize,
        step: u64,
        holder: usize,
        term: u64,
        heard_at: u64,
        stale_after: TimeSpan,
    },
    LoadPart {
        vm: usize,
        term: u64,
    },
    OwnRow {
        vm: usize,
        step: u64,
    },
    Batch {
        vm: usize,
        term: u64,
    },
    KillLeader,
    FreezeLarge {
        until: u64,
    },
    AcquireLate,
    FreezeLeader {
        until: u64,
    },
}

/// A day under way.
pub struct ElectionModel {
    vms: Vec<ModelVm>,
    row: Option<LeaderView>,
    version: u64,
    store_free_at: u64,
    day: ElectionDay,
    events: collections::BTreeMap<(u64, u64), ModelEvent>,
    next_event: u64,
    now: u64,
    rng: ChaCha8Rng,
    report: DayReport,
}

/// Plays a day with these numbers of large and small VMs.
pub fn play(seed: u64, large: usize, small: usize, day: ElectionDay) -> DayReport {
    let mut model = ElectionModel::new(seed, large, small, day);
    model.run();
    model.report
}

impl ElectionModel {
    fn new(seed: u64, large: usize, small: usize, day: ElectionDay) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = (0..large + small)
            .map(|number| {
                let cpu_millis = if number < large { LARGE_CPU } else { SMALL_CPU };
                let incarnation = number as u64 + 1;
                let name = format!("vm-{}-{number}", rng.random_range(0..1_000_000));
                ModelVm {
                    election: LeaderElection::new(&name, incarnation, cpu_millis),
                    incarnation,
                    cpu_millis,
                    role: VmRole::Follower,
                    alive: true,
                    frozen_until: 0,
                    step: 0,
                    term: 0,
                    own: None,
                    committed_at: 0,
                    cpu_free_at: 0,
                    waiting_links: Vec::new(),
                    last_step: ElectionStep::Read,
                    turned_away: false,
                    own_read: None,
                    handback: LeadershipHandback::new(cpu_millis, 0, TimePoint::EPOCH),
                }
            })
            .collect();
        Self {
            vms,
            row: None,
            version: 0,
            store_free_at: 0,
            day,
            events: collections::BTreeMap::new(),
            next_event: 0,
            now: 0,
            rng,
            report: DayReport::default(),
        }
    }

    fn run(&mut self) {
        for vm in 0..self.vms.len() {
            let at = self.rng.random_range(0..50 * MS);
            let input = ElectionInput::Begun;
            self.schedule(at, ModelEvent::Input { vm, step: 0, input });
        }
        for at in self.day.leader_kills.clone() {
            self.schedule(at * MS, ModelEvent::KillLeader);
        }
        for span in self.day.large_freezes.clone() {
            let until = span.until_ms * MS;
            self.schedule(span.from_ms * MS, ModelEvent::FreezeLarge { until });
        }
        for at in self.day.late_acquisitions.clone() {
            self.schedule(at * MS, ModelEvent::AcquireLate);
        }
        for span in self.day.leader_freezes.clone() {
            let until = span.until_ms * MS;
            self.schedule(span.from_ms * MS, ModelEvent::FreezeLeader { until });
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.day.end_ms * MS {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, at: u64, event: ModelEvent) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn is_slow(&self) -> bool {
        let now_ms = self.now / MS;
        let holds = |span: &DaySpan| (span.from_ms..span.until_ms).contains(&now_ms);
        self.day.slow.iter().any(holds)
    }

    fn is_lost(&mut self) -> bool {
        let now_ms = self.now / MS;
        let losing = self.day.losing.iter();
        let mut inside = losing.filter(|(span, _)| (span.from_ms..span.until_ms).contains(&now_ms));
        let Some(&(_, probability)) = inside.next() else {
            return false;
        };
        self.rng.random_bool(probability)
    }

    fn store_span(&self, span: u64) -> u64 {
        if self.is_slow() {
            span * SLOW_FACTOR
        } else {
            span
        }
    }

    /// The time of the VM's share of a core that a time of a whole core takes.
    fn cpu_span(&self, vm: usize, span: u64) -> u64 {
        span * 1_000 / self.vms[vm].cpu_millis
    }

    /// The VM that is frozen handles an event when it wakes.
    fn is_postponed(&mut self, vm: usize, event: ModelEvent) -> bool {
        let until = self.vms[vm].frozen_until;
        if until > self.now {
            self.schedule(until, event);
        }
        until > self.now
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Input { vm, step, input } => {
                if self.vms[vm].alive && self.vms[vm].step == step && !self.is_postponed(vm, event)
                {
                    self.advance(vm, input);
                }
            }
            ModelEvent::ReadRow { vm, step } => {
                let input = ElectionInput::Row(self.row);
                let at = self.now + LINK_US;
                self.schedule(at, ModelEvent::Input { vm, step, input });
            }
            ModelEvent::Execute(write) => self.execute(write),
            ModelEvent::Answer { write, answer } => {
                if self.vms[write.vm].alive && !self.is_postponed(write.vm, event) {
                    self.answer(write, answer);
                }
            }
            ModelEvent::Connect {
                vm,
                step,
                holder,
                requested_at,
                stale_after,
            } => self.connect(vm, step, holder, requested_at, stale_after),
            ModelEvent::Beat {
                vm,
                step,
                holder,
                term,
                heard_at,
                stale_after,
            } => self.beat(vm, step, holder, term, heard_at, stale_after),
            ModelEvent::LoadPart { vm, term } => {
                if self.leads(vm, term) && !self.is_postponed(vm, event) {
                    self.load_part(vm, term);
                }
            }
            ModelEvent::Batch { vm, term } => {
                if self.leads(vm, term) && !self.is_postponed(vm, event) {
                    self.write_batch(vm, term);
                }
            }
            ModelEvent::OwnRow { vm, step } => self.judge_own_row(vm, step),
            ModelEvent::KillLeader => {
                if let Some(vm) = self.leader() {
                    self.vms[vm].alive = false;
                }
            }
            ModelEvent::FreezeLarge { until } => {
                for vm in self.vms.iter_mut().filter(|vm| vm.cpu_millis == LARGE_CPU) {
                    vm.frozen_until = until;
                }
            }
            ModelEvent::AcquireLate => self.acquire_late(),
            ModelEvent::FreezeLeader { until } => {
                if let Some(vm) = self.leader() {
                    self.vms[vm].frozen_until = until;
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let holder = self.row?.incarnation;
        self.vms.iter().position(|vm| vm.incarnation == holder)
    }

    fn leads(&self, vm: usize, term: u64) -> bool {
        let vm = &self.vms[vm];
        vm.alive && vm.term == term && vm.role != VmRole::Follower
    }

    fn acquire_late(&mut self) {
        let (Some(row), Some(vm)) = (self.row, self.vms.get(self.day.late_vm)) else {
            return;
        };
        self.version += 1;
        self.row = Some(LeaderView {
            incarnation: vm.incarnation,
            fence: row.fence + 1,
            batch: 0,
            released: false,
            cpu_millis: vm.cpu_millis,
            version: self.version,
            unreadable: false,
        });
    }

    fn advance(&mut self, number: usize, input: ElectionInput) {
        let now = TimePoint::from_micros(self.now);
        let vm = &mut self.vms[number];
        vm.step += 1;
        let step = vm.step;
        let next = vm.election.advance(input, now);
        vm.last_step = next;
        vm.own_read = None;
        self.read_own_row(number);
        match next {
            ElectionStep::Read => {
                if self.is_lost() {
                    self.give_input(number, step, READ_TIMEOUT_US, ElectionInput::Unread);
                    return;
                }
                let at = self.now + LINK_US + self.store_span(READ_US);
                self.schedule(at, ModelEvent::ReadRow { vm: number, step });
            }
            ElectionStep::Wait(span) | ElectionStep::AwaitTurn(span) => {
                self.give_input(number, step, span.as_micros(), ElectionInput::Waited);
            }
            ElectionStep::Follow {
                holder,
                stale_after,
            } => {
                let holder = holder.incarnation as usize - 1;
                let connect = ModelEvent::Connect {
                    vm: number,
                    step,
                    holder,
                    requested_at: self.now,
                    stale_after,
                };
                self.schedule(self.now + LINK_US, connect);
            }
            ElectionStep::Acquire { fence, version } => {
                let row = LeaderView {
                    incarnation: self.vms[number].incarnation,
                    fence,
                    batch: 0,
                    released: false,
                    cpu_millis: self.vms[number].cpu_millis,
                    version: 0,
                    unreadable: false,
                };
                self.vms[number].committed_at = self.now;
                self.write(number, row, version, WriteKind::Acquire { step });
            }
            ElectionStep::Release(own) => {
                let row = LeaderView {
                    released: true,
                    ..own
                };
                self.write(number, row, own.version, WriteKind::Acquire { step });
            }
            ElectionStep::Lead { fence, version } => self.begin_term(number, fence, version),
        }
    }

    /// A peer connects to a process that doesn't lead, which reads the row in case it names it.
    fn turn_away(&mut self, number: usize) {
        self.vms[number].turned_away = true;
        self.read_own_row(number);
    }

    /// Reads the row if a peer was turned away and the step under way depends on it.
    fn read_own_row(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let depends = matches!(
            vm.last_step,
            ElectionStep::Follow { .. } | ElectionStep::Acquire { .. }
        );
        if !depends || !vm.turned_away || vm.own_read == Some(vm.step) {
            return;
        }
        vm.turned_away = false;
        vm.own_read = Some(vm.step);
        let step = vm.step;
        let at = self.now + LINK_US + self.store_span(READ_US);
        self.schedule(at, ModelEvent::OwnRow { vm: number, step });
    }

    fn judge_own_row(&mut self, number: usize, step: u64) {
        let vm = &mut self.vms[number];
        if vm.step != step {
            return;
        }
        vm.own_read = None;
        match self.row.and_then(|row| vm.election.judge_own_row(row)) {
            Some(input) => self.give_input(number, step, LINK_US, input),
            None => self.read_own_row(number),
        }
    }

    fn give_input(&mut self, vm: usize, step: u64, after: u64, input: ElectionInput) {
        let at = self.now + after;
        self.schedule(at, ModelEvent::Input { vm, step, input });
    }

    fn begin_term(&mut self, number: usize, fence: u64, version: u64) {
        let vm = &mut self.vms[number];
        vm.term += 1;
        vm.role = VmRole::Loading(0);
        let now = TimePoint::from_micros(self.now);
        let takeovers = vm.election.recent_takeovers(now);
        vm.handback = LeadershipHandback::new(vm.cpu_millis, takeovers, now);
        vm.own = Some(LeaderView {
            incarnation: vm.incarnation,
            fence,
            batch: 0,
            released: false,
            cpu_millis: vm.cpu_millis,
            version,
            unreadable: false,
        });
        self.report.takeovers.push(Takeover {
            at_ms: self.now / MS,
            cpu_millis: vm.cpu_millis,
            fence,
        });
        let named = self
            .row
            .is_some_and(|row| row.fence >= fence && row.version >= version);
        self.report.unverified += usize::from(!named);
        let term = vm.term;
        let at = self.now + LINK_US + self.store_span(READ_US);
        self.occupy(number, at, LOAD_PARTS_US[0] * (1 + self.day.more_records));
        let at = self.vms[number].cpu_free_at;
        self.schedule(at, ModelEvent::LoadPart { vm: number, term });
    }

    /// Uses the VM's processor for a time of a whole core, from `at` or when it is free.
    fn occupy(&mut self, vm: usize, at: u64, span: u64) {
        let span = self.cpu_span(vm, span);
        let vm = &mut self.vms[vm];
        vm.cpu_free_at = vm.cpu_free_at.max(at) + span;
    }

    fn load_part(&mut self, number: usize, term: u64) {
        let vm = &mut self.vms[number];
        let VmRole::Loading(done) = vm.role else {
            return;
        };
        let more = self.day.more_records;
        if let Some(part) = LOAD_PARTS_US.get(done + 1) {
            vm.role = VmRole::Loading(done + 1);
            let at = self.now + LINK_US + self.store_span(READ_US);
            self.occupy(number, at, *part * (1 + more));
            let at = self.vms[number].cpu_free_at;
            self.schedule(at, ModelEvent::LoadPart { vm: number, term });
        } else {
            vm.role = VmRole::Leading;
            self.write_batch(number, term);
        }
    }

    fn write_batch(&mut self, number: usize, term: u64) {
        let Some(own) = self.vms[number].own else {
            return;
        };
        let row = LeaderView {
            batch: own.batch + 1,
            ..own
        };
        self.write(number, row, own.version, WriteKind::Batch { term });
    }

    fn write(&mut self, vm: usize, row: LeaderView, expected: u64, kind: WriteKind) {
        let mut write = StoreWrite {
            vm,
            row,
            expected,
            kind,
            requested_at: self.now,
            answered: true,
        };
        let queued = self.store_free_at.saturating_sub(self.now);
        if self.is_lost() {
            write.answered = false;
            if self.rng.random_bool(0.5) {
                let at = self.now + self.rng.random_range(1_000 * MS..6_000 * MS);
                self.schedule(at, ModelEvent::Execute(write));
                self.time_out(write);
                return;
            }
        }
        if queued > STORE_QUEUE_US {
            let at = self.now + 2 * LINK_US;
            let answer = WriteAnswer::Refused;
            self.schedule(at, ModelEvent::Answer { write, answer });
            return;
        }
        let span = self.store_span(TRANSACTION_US);
        self.store_free_at = self.store_free_at.max(self.now + LINK_US) + span;
        self.schedule(self.store_free_at, ModelEvent::Execute(write));
        let in_time = self.store_free_at + LINK_US <= self.now + WRITE_TIMEOUT_US;
        if !write.answered || !in_time {
            self.time_out(write);
        }
    }

    fn time_out(&mut self, write: StoreWrite) {
        let answer = WriteAnswer::Unanswered;
        let at = self.now + WRITE_TIMEOUT_US;
        self.schedule(at, ModelEvent::Answer { write, answer });
    }

    fn execute(&mut self, write: StoreWrite) {
        let present = self.row.map_or(0, |row| row.version);
        let answer = if present == write.expected {
            self.version += 1;
            let version = self.version;
            self.row = Some(LeaderView {
                version,
                ..write.row
            });
            if matches!(write.kind, WriteKind::Batch { .. }) {
                self.report.commits.push(self.now / MS);
            }
            WriteAnswer::Applied(version)
        } else {
            WriteAnswer::Conflict(self.row.unwrap_or(write.row))
        };
        let at = self.now + LINK_US;
        if write.answered && at <= write.requested_at + WRITE_TIMEOUT_US {
            self.schedule(at, ModelEvent::Answer { write, answer });
        }
    }

    fn answer(&mut self, write: StoreWrite, answer: WriteAnswer) {
        match write.kind {
            WriteKind::Acquire { step } => {
                let input = match answer {
                    WriteAnswer::Applied(version) => ElectionInput::Acquired(version),
                    WriteAnswer::Conflict(_) => ElectionInput::Conflict,
                    WriteAnswer::Refused => ElectionInput::Refused,
                    WriteAnswer::Unanswered => ElectionInput::Unanswered,
                };
                if self.vms[write.vm].step == step {
                    self.advance(write.vm, input);
                }
            }
            WriteKind::Batch { term } if self.leads(write.vm, term) => {
                self.answer_batch(write, answer, term);
            }
            WriteKind::Batch { .. } => {}
        }
    }

    fn answer_batch(&mut self, write: StoreWrite, answer: WriteAnswer, term: u64) {
        let number = write.vm;
        let vm = &mut self.vms[number];
        let after = match answer {
            WriteAnswer::Applied(version) => {
                vm.own = Some(LeaderView {
                    version,
                    ..write.row
                });
                vm.committed_at = write.requested_at;
                if self.hand_back(number) {
                    return;
                }
                BATCH_US
            }
            WriteAnswer::Conflict(row)
                if row.incarnation == vm.incarnation && row.fence == write.row.fence =>
            {
                vm.own = Some(row);
                0
            }
            WriteAnswer::Conflict(_) => {
                vm.role = VmRole::Follower;
                vm.own = None;
                self.advance(number, ElectionInput::Begun);
                return;
            }
            WriteAnswer::Refused => REFUSED_BATCH_US,
            WriteAnswer::Unanswered => 0,
        };
        let at = self.now + after;
        self.schedule(at, ModelEvent::Batch { vm: number, term });
    }

    /// Releases the leadership if it should be handed back.
    fn hand_back(&mut self, number: usize) -> bool {
        let now = TimePoint::from_micros(self.now);
        let vm = &mut self.vms[number];
        let batch_age = TimeSpan::from_micros(self.now - vm.committed_at);
        let HandbackStep::Release(cpu_millis) = vm.handback.decide(batch_age, now) else {
            return false;
        };
        let Some(own) = vm.own.take() else {
            return false;
        };
        vm.role = VmRole::Follower;
        vm.step += 1;
        let step = vm.step;
        let row = LeaderView {
            released: true,
            cpu_millis,
            ..own
        };
        self.write(number, row, own.version, WriteKind::Acquire { step });
        true
    }

    fn connect(
        &mut self,
        vm: usize,
        step: u64,
        holder: usize,
        requested_at: u64,
        stale_after: TimeSpan,
    ) {
        let target = &self.vms[holder];
        let (alive, role, term) = (target.alive, target.role, target.term);
        if !alive {
            let input = ElectionInput::Unlinked(LinkEnd::Refused);
            self.give_input(vm, step, LINK_US, input);
            return;
        }
        let silent = ElectionInput::Unlinked(LinkEnd::Silent);
        let deadline = requested_at + CONNECT_TIMEOUT_US;
        if target.frozen_until > deadline {
            let after = deadline - self.now;
            self.give_input(vm, step, after, silent);
            return;
        }
        let now = self.now;
        let waiting = &mut self.vms[holder].waiting_links;
        waiting.retain(|at| *at > now);
        if waiting.len() >= LISTEN_QUEUE {
            let input = ElectionInput::Unlinked(LinkEnd::Refused);
            self.give_input(vm, step, LINK_US, input);
            return;
        }
        self.occupy(holder, self.now, CONNECTION_US);
        let free_at = self.vms[holder].cpu_free_at;
        self.vms[holder].waiting_links.push(free_at);
        let served_at = self.vms[holder].cpu_free_at + LINK_US;
        if served_at > deadline {
            let after = deadline - self.now;
            self.give_input(vm, step, after, silent);
            return;
        }
        if role != VmRole::Follower {
            let beat = ModelEvent::Beat {
                vm,
                step,
                holder,
                term,
                heard_at: self.now,
                stale_after,
            };
            self.schedule(served_at, beat);
        } else {
            self.turn_away(holder);
            let incarnation = self.vms[holder].incarnation;
            let absent = ElectionInput::Unlinked(LinkEnd::Absent(incarnation));
            let after = served_at - self.now;
            self.give_input(vm, step, after, absent);
        }
    }

    fn beat(
        &mut self,
        vm: usize,
        step: u64,
        holder: usize,
        term: u64,
        heard_at: u64,
        stale_after: TimeSpan,
    ) {
        if self.vms[vm].step != step || !self.vms[vm].alive {
            return;
        }
        let target = &self.vms[holder];
        let loading = matches!(target.role, VmRole::Loading(_));
        // Restoring the records holds up the heartbeats of the process.
        let busy = loading && target.cpu_free_at > self.now;
        let frozen = target.frozen_until > self.now || busy;
        let committed_ago = TimeSpan::from_micros(self.now.saturating_sub(target.committed_at));
        let end = if !target.alive {
            Some(LinkEnd::Broken)
        } else if frozen {
            let silence = self.now - heard_at;
            (silence >= HEARTBEAT_TIMEOUT_US).then_some(LinkEnd::Silent)
        } else if target.term != term || target.role == VmRole::Follower {
            Some(LinkEnd::Absent(target.incarnation))
        } else {
            let stale = target.role == VmRole::Leading && committed_ago > stale_after;
            stale.then_some(LinkEnd::Stale)
        };
        if let Some(end) = end {
            self.give_input(vm, step, LINK_US, ElectionInput::Unlinked(end));
            return;
        }
        if self.vms[vm].frozen_until <= self.now {
            let cpu_millis = self.vms[vm].cpu_millis;
            let handback = &mut self.vms[holder].handback;
            handback.peer_connected(vm as u64, cpu_millis);
        }
        let beat = ModelEvent::Beat {
            vm,
            step,
            holder,
            term,
            heard_at: if frozen { heard_at } else { self.now },
            stale_after,
        };
        self.schedule(self.now + HEARTBEAT_US, beat);
    }
}
