//! Stand-in of a minion, as PROTOCOL.md describes it. It knows from the clients' jobs how long a
//! task works and what it needs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::http;
use crate::http::Request;
use crate::record::Record;
use crate::store::Store;

/// Bounds of the deployment that concern minions.
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
pub const GANG_TIMEOUT_MS: u64 = 3_000;
const HOLD_MAX_MS: u64 = 10_000;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 250;
const STOP_MS: u64 = 100;
const MAX_LISTED_ENDS: usize = 500;
const TICK: Duration = Duration::from_millis(10);

/// What a client asks for in one step, and how long each of its tasks works.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Work of a task; the tasks of one step take from three quarters to five quarters of it.
    pub work_ms: u64,
    pub checkpointing: bool,
    pub gang: bool,
    pub long_running: bool,
    pub label: Option<&'static str>,
    pub image: String,
    /// Limit of the tail of a task that lasts; 0 for none.
    pub target_ms: u64,
    /// Its tasks take the capacity that others leave unused.
    pub fills: bool,
}

impl Step {
    pub fn plain(count: u64, cpu: u64, work_ms: u64) -> Self {
        Self {
            count,
            cpu,
            mem_mb: 500,
            work_ms,
            checkpointing: false,
            gang: false,
            long_running: false,
            label: None,
            image: String::new(),
            target_ms: 0,
            fills: false,
        }
    }

    /// Processor demand that counts against a minion's capacity.
    pub const fn claimed_cpu(&self) -> u64 {
        if self.fills { 0 } else { self.cpu }
    }

    /// The step as a client writes it.
    pub fn json(&self) -> Value {
        let mut step = json!({"count": self.count, "cpu": self.cpu, "mem_mb": self.mem_mb,
            "estimate_ms": self.work_ms});
        for (name, set) in [
            ("checkpointing", self.checkpointing),
            ("gang", self.gang),
            ("long_running", self.long_running),
            ("fill_count", self.fills),
        ] {
            if set {
                step[name] = json!(true);
            }
        }
        if !self.image.is_empty() {
            step["image"] = json!(self.image);
        }
        if self.target_ms > 0 {
            step["target_ms"] = json!(self.target_ms);
        }
        if let Some(label) = self.label {
            step["required_label"] = json!(label);
        }
        step
    }
}

/// What all minions know and report.
pub struct World {
    pub record: Arc<Record>,
    /// Steps of each job by its ID.
    pub jobs: Mutex<HashMap<String, Vec<Step>>>,
    pub events: Mutex<Vec<Event>>,
    gangs: Mutex<HashMap<(String, u64), Gang>>,
}

/// One run of a gang.
#[derive(Default)]
struct Gang {
    /// Checkpoints that the present members carried, by task.
    members: BTreeMap<String, String>,
    assembled: bool,
    broken: bool,
    done: bool,
}

/// A run that began or ended on a minion.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub label: String,
    pub kind: EventKind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// With the checkpoint that the start carried.
    Started(String),
    /// How it ended.
    Ended(&'static str),
    /// The minion crashed under it.
    Lost,
}

impl World {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            jobs: Mutex::default(),
            events: Mutex::default(),
            gangs: Mutex::default(),
        })
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("not poisoned").clone()
    }

    /// The step of a task, with the task's own work; tasks of a gang all work equally long.
    fn step(&self, task: &str) -> Option<Step> {
        let mut parts = task.split('.');
        let id = parts.next()?;
        let number: usize = parts.nth(1)?.parse().ok()?;
        let index: u64 = parts.next()?.parse().ok()?;
        let mut step = self
            .jobs
            .lock()
            .expect("not poisoned")
            .get(id)?
            .get(number)?
            .clone();
        if !step.gang {
            step.work_ms = step.work_ms * 3 / 4 + step.work_ms * index / (2 * step.count);
        }
        Some(step)
    }

    /// A checkpoint after some work: that work, and a text that depends on the step.
    fn checkpoint(&self, task: &str, work_ms: u64) -> String {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let mut hash = work_ms ^ 0xcbf2_9ce4_8422_2325;
        for byte in step.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        format!("{work_ms:08x}{:08x}", hash as u32)
    }
}

struct Run {
    attempt: u64,
    begun_ms: u64,
    /// Work saved when it began.
    resumed_ms: u64,
    /// Clock from which it works; none while its gang isn't complete.
    works_from_ms: Option<u64>,
    stopping_at_ms: Option<u64>,
    saved: String,
    step: Step,
}

#[derive(Default)]
struct Life {
    born: u64,
    fence: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    sequence: u64,
}

/// Kind of a minion in one life.
#[derive(Clone, Debug)]
pub struct Kind {
    pub label: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
}

pub struct Worker {
    pub id: String,
    rack: String,
    address: SocketAddr,
    world: Arc<World>,
    store: Arc<Store>,
    kind: Mutex<Kind>,
    life: Mutex<Life>,
    started_at: Mutex<Instant>,
    draining_until: Mutex<Option<Instant>>,
    tasks: Mutex<JoinSet<()>>,
}

impl Worker {
    /// Starts a minion and registers it.
    pub async fn start(
        id: &str,
        rack: &str,
        kind: Kind,
        world: &Arc<World>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            rack: rack.to_owned(),
            address: listener.local_addr().expect("a bound port"),
            world: world.clone(),
            store: store.clone(),
            kind: Mutex::new(kind),
            life: Mutex::default(),
            started_at: Mutex::new(Instant::now()),
            draining_until: Mutex::default(),
            tasks: Mutex::default(),
        });
        worker.begin_life(listener);
        worker
    }

    /// Tasks that run here now.
    pub fn running(&self) -> Vec<String> {
        let life = self.life.lock().expect("not poisoned");
        life.runs.keys().cloned().collect()
    }

    /// Processor demand of what runs here, in thousandths of a core.
    pub fn used_cpu(&self) -> u64 {
        let life = self.life.lock().expect("not poisoned");
        life.runs.values().map(|run| run.step.claimed_cpu()).sum()
    }

    /// Crashes: all connections close, and everything that runs here is gone.
    pub fn crash(&self) {
        self.tasks.lock().expect("not poisoned").abort_all();
        let life = std::mem::take(&mut *self.life.lock().expect("not poisoned"));
        for (task, run) in &life.runs {
            self.leave_gang(task, run, false);
            self.note(task, run.attempt, EventKind::Lost);
        }
        self.world.record.line(&format!(
            "{} crashes with {} runs",
            self.id,
            life.runs.len()
        ));
    }

    /// Starts again under the same identifier and address, possibly as another kind.
    pub async fn restart(self: &Arc<Self>, kind: Option<Kind>) {
        if let Some(kind) = kind {
            *self.kind.lock().expect("not poisoned") = kind;
        }
        *self.draining_until.lock().expect("not poisoned") = None;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_still_bound) => tokio::time::sleep(TICK).await,
            }
        };
        self.begin_life(listener);
        let label = self.kind.lock().expect("not poisoned").label;
        self.world
            .record
            .line(&format!("{} starts again, kind {label}", self.id));
    }

    /// Reports that it drains, and leaves after `time`.
    pub async fn drain(self: &Arc<Self>, time: Duration) {
        *self.draining_until.lock().expect("not poisoned") = Some(Instant::now() + time);
        self.register();
        self.world.record.line(&format!("{} drains", self.id));
        tokio::time::sleep(time).await;
        self.crash();
        self.store.drop_row("servers", &self.id);
        self.world.record.line(&format!("{} has left", self.id));
    }

    fn begin_life(self: &Arc<Self>, listener: TcpListener) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis());
        *self.started_at.lock().expect("not poisoned") = Instant::now();
        *self.life.lock().expect("not poisoned") = Life {
            born: born as u64,
            next_end: 1,
            ..Life::default()
        };
        self.register();
        let mut tasks = self.tasks.lock().expect("not poisoned");
        *tasks = JoinSet::new();
        let worker = self.clone();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let worker = worker.clone();
                connections.spawn(http::serve(stream, move |request| {
                    let worker = worker.clone();
                    async move { Some(worker.handle(&request).await) }
                }));
            }
        });
        let worker = self.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                worker.register();
            }
        });
        let worker = self.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                worker.advance(&mut worker.life.lock().expect("not poisoned"));
            }
        });
    }

    fn clock_ms(&self) -> u64 {
        self.started_at
            .lock()
            .expect("not poisoned")
            .elapsed()
            .as_millis() as u64
    }

    /// Writes its entry, as with each heartbeat.
    fn register(&self) {
        let kind = self.kind.lock().expect("not poisoned").clone();
        let draining = *self.draining_until.lock().expect("not poisoned");
        let (born, sequence) = {
            let mut life = self.life.lock().expect("not poisoned");
            life.sequence += 1;
            (life.born, life.sequence)
        };
        let mut entry = json!({"service": "moulage", "address": self.address.to_string(),
            "zone": "brest-atelier", "version": "v1", "slots": 8,
            "state": if draining.is_some() { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "labels": [kind.label, self.rack],
            "capacity": {"cpu": kind.cpu, "mem_mb": kind.mem_mb, "gpu": 0},
            "clock_ms": self.clock_ms(), "born": born, "sequence": sequence});
        if let Some(until) = draining {
            let left = until.saturating_duration_since(Instant::now());
            entry["remaining_ms"] = json!(left.as_millis() as u64);
        }
        self.store.put("servers", &self.id, &entry);
    }

    fn note(&self, task: &str, attempt: u64, kind: EventKind) {
        let label = self.kind.lock().expect("not poisoned").label.to_owned();
        // Job, occurrence, step and index with colons, so that a name can't be taken for an address.
        let name = task.replace('.', ":");
        self.world
            .record
            .run_line(&format!("{} {name}#{attempt} {kind:?}", self.id));
        self.world.events.lock().expect("not poisoned").push(Event {
            at_ms: self.world.record.now_ms(),
            label,
            kind,
        });
    }

    async fn handle(&self, request: &Request) -> (u16, Value) {
        let expected = request.headers.get("x-sapphirewalk-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return (421, json!({"clock_ms": self.clock_ms()}));
        }
        let body = request.json();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        {
            let mut life = self.life.lock().expect("not poisoned");
            if number("fencing_token") < life.fence {
                return (409, json!({"clock_ms": self.clock_ms(), "reason": "fence"}));
            }
            life.fence = number("fencing_token");
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/pace" => (200, json!({"clock_ms": self.clock_ms()})),
            "/hold" => {
                self.hold(
                    number("deadline_ms"),
                    number("last_seen"),
                    number("wait_ms"),
                )
                .await
            }
            _ => (404, Value::Null),
        }
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let until = body["deadline_ms"].as_u64().unwrap_or(0);
        let checkpoint = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        let mut life = self.life.lock().expect("not poisoned");
        let now = self.clock_ms();
        let refusal = |why: &str| (409, json!({"clock_ms": now, "reason": why}));
        if life
            .runs
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            return (200, json!({"clock_ms": now}));
        }
        if until <= now {
            return refusal("late");
        }
        let until = until.min(now + HOLD_MAX_MS);
        life.deadline_ms = life.deadline_ms.max(until);
        let last = life.ended.get(&task).copied().unwrap_or(0);
        if attempt <= last || life.runs.contains_key(&task) {
            return refusal("old");
        }
        let Some(step) = self.world.step(&task) else {
            self.note(&task, attempt, EventKind::Started(checkpoint));
            return (400, json!({"clock_ms": now}));
        };
        let kind = self.kind.lock().expect("not poisoned").clone();
        let used = life.runs.values().fold((0, 0), |(cpu, mem), run| {
            (cpu + run.step.claimed_cpu(), mem + run.step.mem_mb)
        });
        if used.0 + step.claimed_cpu() > kind.cpu || used.1 + step.mem_mb > kind.mem_mb {
            return refusal("room");
        }
        if step.gang {
            let mut gangs = self.world.gangs.lock().expect("not poisoned");
            let gang = gangs.entry(gang_key(&task, attempt)).or_default();
            gang.members.insert(task.clone(), checkpoint.clone());
            let mut carried: Vec<&String> = gang.members.values().collect();
            carried.dedup();
            // The members of a run all carry the same value; others don't find each other.
            if gang.members.len() as u64 == step.count && carried.len() == 1 && !gang.broken {
                gang.assembled = true;
            }
        }
        let resumed_ms = checkpoint
            .get(..8)
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        let delay = if checkpoint.is_empty() { 0 } else { RESTORE_MS };
        let run = Run {
            attempt,
            begun_ms: now,
            resumed_ms: resumed_ms.unwrap_or(0),
            works_from_ms: (!step.gang).then_some(now + delay),
            stopping_at_ms: None,
            saved: checkpoint.clone(),
            step,
        };
        self.note(&task, attempt, EventKind::Started(checkpoint));
        life.runs.insert(task, run);
        (200, json!({"clock_ms": now}))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let mut life = self.life.lock().expect("not poisoned");
        let now = self.clock_ms();
        let last = life.ended.entry(task.clone()).or_default();
        *last = (*last).max(attempt);
        if let Some(run) = life
            .runs
            .get_mut(&task)
            .filter(|run| run.attempt == attempt)
        {
            run.stopping_at_ms.get_or_insert(now + STOP_MS);
        }
        (200, json!({"clock_ms": now}))
    }

    async fn hold(&self, until: u64, seen: u64, wait_ms: u64) -> (u16, Value) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(2_000));
        loop {
            {
                let mut life = self.life.lock().expect("not poisoned");
                self.advance(&mut life);
                let now = self.clock_ms();
                life.deadline_ms = life.deadline_ms.max(until.min(now + HOLD_MAX_MS));
                life.ends.retain(|end| end.0 > seen);
                if !life.ends.is_empty() || Instant::now() >= end {
                    return (200, self.lists(&life, now));
                }
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn lists(&self, life: &Life, now: u64) -> Value {
        let running = life.runs.iter().map(|(task, run)| {
            // The tail of a task that lasts is well below its target; any other task uses what it asks
            // for.
            let gauge = if run.step.long_running {
                run.step.target_ms / 3
            } else {
                run.step.cpu
            };
            let percent = if run.step.long_running {
                u64::from(run.works_from_ms.is_some_and(|from| now > from)) * 100
            } else {
                (worked(run, now) * 100 / run.step.work_ms.max(1)).min(99)
            };
            json!([task, run.attempt, run.saved, percent, gauge])
        });
        let running: Vec<Value> = running.collect();
        let ends = life.ends.iter().take(MAX_LISTED_ENDS);
        let ends: Vec<Value> = ends
            .map(|(n, task, run, how, saved)| json!([n, task, run, how, saved]))
            .collect();
        json!({"clock_ms": now, "born": life.born, "running": running, "finished": ends})
    }

    /// Lets everything that runs here work until now, and ends what is over.
    fn advance(&self, life: &mut Life) {
        let now = self.clock_ms();
        let lapsed = now >= life.deadline_ms;
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &mut life.runs {
            let mut broken = false;
            let mut together = false;
            if run.step.gang {
                let mut gangs = self.world.gangs.lock().expect("not poisoned");
                let gang = gangs.entry(gang_key(task, run.attempt)).or_default();
                broken = gang.broken;
                together = gang.done;
                if gang.assembled && run.works_from_ms.is_none() {
                    run.works_from_ms = Some(now);
                }
            }
            let work = worked(run, now);
            if run.step.checkpointing && work / CHECKPOINT_MS > saved_ms(&run.saved) / CHECKPOINT_MS
            {
                run.saved = self
                    .world
                    .checkpoint(task, work / CHECKPOINT_MS * CHECKPOINT_MS);
            }
            let is_done = !run.step.long_running && work >= run.step.work_ms;
            let how = if lapsed {
                "lapsed"
            } else if together || (is_done && !broken) {
                "done"
            } else if broken {
                "broken"
            } else if run.stopping_at_ms.is_some_and(|at| now >= at) {
                if run.step.checkpointing && work > 0 {
                    run.saved = self.world.checkpoint(task, work);
                }
                "stopped"
            } else if run.works_from_ms.is_none() && now >= run.begun_ms + GANG_TIMEOUT_MS {
                "alone"
            } else {
                continue;
            };
            over.push((task.clone(), how));
        }
        for (task, how) in over {
            let Some(run) = life.runs.remove(&task) else {
                continue;
            };
            self.leave_gang(&task, &run, how == "done");
            let last = life.ended.entry(task.clone()).or_default();
            *last = (*last).max(run.attempt);
            self.note(&task, run.attempt, EventKind::Ended(how));
            life.ends
                .push((life.next_end, task, run.attempt, how, run.saved));
            life.next_end += 1;
        }
    }

    /// Takes a run out of its gang, which ends with it once it has assembled.
    fn leave_gang(&self, task: &str, run: &Run, done: bool) {
        if !run.step.gang {
            return;
        }
        let mut gangs = self.world.gangs.lock().expect("not poisoned");
        let gang = gangs.entry(gang_key(task, run.attempt)).or_default();
        gang.members.remove(task);
        if done {
            gang.done = true;
        } else if gang.assembled {
            gang.broken = true;
        }
    }
}

fn gang_key(task: &str, attempt: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), attempt)
}

fn worked(run: &Run, now: u64) -> u64 {
    let from = run.works_from_ms.unwrap_or(u64::MAX);
    run.resumed_ms + now.saturating_sub(from)
}

fn saved_ms(saved: &str) -> u64 {
    let digits = saved.get(..8);
    digits
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .unwrap_or(0)
}
