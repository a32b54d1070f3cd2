//! Workers: they run tasks under leases, list ended runs until these are seen, and reject what does
//! not fit.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::store::Store;

/// Interval between a worker's entries in the store.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_100);
/// Beats without an entry after which the entry is removed.
const SILENT_BEATS: u32 = 3;
/// Longest lease, in ms.
const LONGEST_LEASE_MS: u64 = 10_000;
/// Most ended runs in one answer.
const LISTED_ENDS: usize = 500;
/// Time of work after which a task has a new checkpoint, in ms.
const CHECKPOINT_MS: u64 = 500;
/// Interval at which lapsed leases and ended runs are looked for.
const TICK: Duration = Duration::from_millis(4);

/// What a worker has; may change between its lives.
#[derive(Clone, Debug)]
pub struct Kind {
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
    /// Tasks that do not fit are rejected.
    pub guards: bool,
}

/// What a task needs, as its caller stated it.
#[derive(Clone, Debug, Default)]
pub struct Need {
    pub cpu: u64,
    pub mem_mb: u64,
    pub label: String,
    /// Work in ms; 0 for a task that fails.
    pub work_ms: u64,
    pub checkpoints: bool,
}

/// One run of a task, as seen on its worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub life: u32,
    pub task: String,
    pub attempt: u64,
    pub started: Instant,
    /// The worker's labels at the start.
    pub labels: Vec<String>,
    /// Time, kind and number of the end.
    pub end: Option<(Instant, &'static str, u64)>,
    /// When the end's number was first seen by the system, with no lapse in between.
    pub seen: Option<Instant>,
}

/// Everything that workers have done, and what callers have asked for.
#[derive(Default)]
pub struct Ledger {
    pub runs: Mutex<Vec<Run>>,
    /// Needs of the tasks of a step, by `ID.K.STEP` without K.
    pub needs: Mutex<HashMap<String, Need>>,
}

impl Ledger {
    fn need(&self, task: &str) -> Option<Need> {
        let mut parts = task.split('.');
        let (id, _, step) = (parts.next()?, parts.next()?, parts.next()?);
        self.needs
            .lock()
            .unwrap()
            .get(&format!("{id}.{step}"))
            .cloned()
    }
}

struct Active {
    attempt: u64,
    until: Instant,
    begun: Instant,
    need: Need,
    checkpoint: String,
    /// Index in the ledger.
    entry: usize,
}

struct Life {
    number: u32,
    born_ms: u64,
    begun: Instant,
    kind: Kind,
    fence: u64,
    lease_ms: u64,
    lapsed_at: Option<Instant>,
    active: BTreeMap<String, Active>,
    /// Highest attempt of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    /// Number, task, attempt, kind, checkpoint and index in the ledger.
    ends: Vec<(u64, String, u64, &'static str, String, usize)>,
    next_end: u64,
    sequence: u64,
    cut: bool,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    ledger: Arc<Ledger>,
    store: Arc<Store>,
    /// When the last entry was written.
    beat_at: Mutex<Option<Instant>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Ends runs whose work is done, and all runs once the lease is over.
    fn advance(&mut self, ledger: &Ledger) {
        let now = Instant::now();
        if self.active.is_empty() {
            return;
        }
        let done = self.active.iter().filter(|(_, run)| run.until <= now);
        let done: Vec<(String, bool)> = done
            .map(|(task, run)| (task.clone(), run.need.work_ms == 0))
            .collect();
        for (task, failed) in done {
            self.end(&task, if failed { "failed" } else { "done" }, ledger);
        }
        if self.clock_ms() >= self.lease_ms && !self.active.is_empty() {
            self.lapsed_at = Some(now);
            let tasks: Vec<String> = self.active.keys().cloned().collect();
            for task in tasks {
                self.end(&task, "lapsed", ledger);
            }
        }
    }

    fn end(&mut self, task: &str, how: &'static str, ledger: &Ledger) {
        let Some(run) = self.active.remove(task) else {
            return;
        };
        let number = self.next_end;
        self.next_end += 1;
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        ledger.runs.lock().unwrap()[run.entry].end = Some((Instant::now(), how, number));
        self.ends.push((
            number,
            task.to_owned(),
            run.attempt,
            how,
            run.checkpoint,
            run.entry,
        ));
    }

    fn room(&self) -> (u64, u64) {
        let used = self.active.values().fold((0, 0), |sum, run| {
            (sum.0 + run.need.cpu, sum.1 + run.need.mem_mb)
        });
        (
            self.kind.cpu.saturating_sub(used.0),
            self.kind.mem_mb.saturating_sub(used.1),
        )
    }

    fn refuse(&self, reason: &str) -> Answer {
        Answer::Json(409, json!({"clock_ms": self.clock_ms(), "reason": reason}))
    }

    fn lists(&mut self) -> Value {
        for run in self.active.values_mut() {
            if run.need.checkpoints {
                let saves = run.begun.elapsed().as_millis() as u64 / CHECKPOINT_MS;
                if saves > 0 {
                    run.checkpoint = format!("{:08x}{:08x}", run.entry, saves);
                }
            }
        }
        let running: Vec<Value> = self
            .active
            .iter()
            .map(|(task, run)| {
                let percent =
                    run.begun.elapsed().as_millis() as u64 * 100 / run.need.work_ms.max(1);
                json!([
                    task,
                    run.attempt,
                    run.checkpoint,
                    percent.min(99),
                    run.need.cpu
                ])
            })
            .collect();
        let finished: Vec<Value> = self
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, attempt, how, checkpoint, _)| {
                json!([number, task, attempt, how, checkpoint])
            })
            .collect();
        json!({"clock_ms": self.clock_ms(), "born": self.born_ms, "running": running, "finished": finished})
    }
}

impl Worker {
    /// Starts a worker on an address of its own, which it keeps in all of its lives.
    pub fn start(
        id: &str,
        address: SocketAddr,
        kind: Kind,
        ledger: &Arc<Ledger>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let port = std::net::TcpListener::bind(address).and_then(|listener| listener.local_addr());
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: port.expect("a loopback address for a worker"),
            life: Mutex::new(None),
            server: Mutex::new(None),
            ledger: ledger.clone(),
            store: store.clone(),
            beat_at: Mutex::new(None),
        });
        worker.be_born(1, kind);
        let ticking = Arc::downgrade(&worker);
        thread::spawn(move || {
            while let Some(worker) = ticking.upgrade() {
                worker.tick();
                drop(worker);
                thread::sleep(TICK);
            }
        });
        worker
    }

    /// Begins a life: it holds and knows nothing of before, and registers at once.
    pub fn be_born(self: &Arc<Self>, number: u32, kind: Kind) {
        *self.life.lock().unwrap() = Some(Life {
            number,
            born_ms: unix_ms(),
            begun: Instant::now(),
            kind,
            fence: 0,
            lease_ms: 0,
            lapsed_at: None,
            active: BTreeMap::new(),
            over: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
            sequence: 0,
            cut: false,
        });
        let weak = Arc::downgrade(self);
        let handler = Arc::new(move |request: &Request| match weak.upgrade() {
            Some(worker) => worker.handle(request),
            None => Answer::Silence,
        });
        *self.server.lock().unwrap() = Server::start(self.address, handler).ok();
        self.beat();
    }

    /// Ends the present life at once, without a word. What ran is gone.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        drop(self.server.lock().unwrap().take());
        let Some(life) = life else { return };
        let mut runs = self.ledger.runs.lock().unwrap();
        for run in life.active.values() {
            runs[run.entry].end = Some((Instant::now(), "gone", 0));
        }
    }

    /// Sets whether the worker is partitioned from everything. It runs on.
    pub fn set_cut(&self, cut: bool) {
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            life.cut = cut;
        }
    }

    pub fn running(&self) -> usize {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |life| life.active.len())
    }

    /// The share of the processor that runs here have, in thousandths of a core.
    pub fn used_cpu(&self) -> u64 {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |life| life.active.values().map(|run| run.need.cpu).sum())
    }

    fn tick(&self) {
        let due = self
            .beat_at
            .lock()
            .unwrap()
            .is_none_or(|at| at.elapsed() >= BEAT_INTERVAL);
        let mut alive = false;
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            life.advance(&self.ledger);
            alive = !life.cut;
        }
        if alive && due {
            self.beat();
        }
        let mut beat_at = self.beat_at.lock().unwrap();
        if beat_at.is_some_and(|at| at.elapsed() > BEAT_INTERVAL * SILENT_BEATS) {
            *beat_at = None;
            self.store.put("servers", &self.id, None);
        }
    }

    /// Writes the worker's entry into the store.
    fn beat(&self) {
        let Some(entry) = self.life.lock().unwrap().as_mut().map(|life| {
            life.sequence += 1;
            json!({"service": "pool", "address": self.address.to_string(), "zone": "zone-a",
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": life.kind.cpu, "mem_mb": life.kind.mem_mb},
                "labels": life.kind.labels, "born": life.born_ms, "clock_ms": life.clock_ms(),
                "sequence": life.sequence})
        }) else {
            return;
        };
        *self.beat_at.lock().unwrap() = Some(Instant::now());
        self.store.put("servers", &self.id, Some(&entry));
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = request.json();
        {
            let mut life = self.life.lock().unwrap();
            let Some(life) = life.as_mut() else {
                return Answer::Silence;
            };
            if life.cut {
                return Answer::Silence;
            }
            life.advance(&self.ledger);
            if request
                .header("x-sapphirewalk-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                return Answer::Json(421, json!({"clock_ms": life.clock_ms()}));
            }
            let fence = body["fencing_token"].as_u64().unwrap_or(0);
            if fence < life.fence {
                return life.refuse("fence");
            }
            life.fence = fence;
        }
        let answer = match request.path.as_str() {
            "/hold" => self.hold(&body),
            path => self.order(path, &body),
        };
        // An answer under way when the worker is cut off is lost.
        match self.life.lock().unwrap().as_ref() {
            Some(life) if !life.cut => answer,
            _ => Answer::Silence,
        }
    }

    fn order(&self, path: &str, body: &Value) -> Answer {
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else {
            return Answer::Silence;
        };
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match path {
            "/run-start" => self.run(life, task, attempt, body),
            "/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(attempt);
                if life
                    .active
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    life.end(&task, "stopped", &self.ledger);
                }
                Answer::Json(200, json!({"clock_ms": life.clock_ms()}))
            }
            "/pace" => Answer::Json(200, json!({"clock_ms": life.clock_ms()})),
            _ => Answer::Json(404, Value::Null),
        }
    }

    fn run(&self, life: &mut Life, task: String, attempt: u64, body: &Value) -> Answer {
        let granted = |life: &Life| {
            body["deadline_ms"]
                .as_u64()
                .unwrap_or(0)
                .min(life.clock_ms() + LONGEST_LEASE_MS)
        };
        if life
            .active
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            return Answer::Json(200, json!({"clock_ms": life.clock_ms()}));
        }
        if attempt <= life.over.get(&task).copied().unwrap_or(0) || life.active.contains_key(&task)
        {
            life.lease_ms = life.lease_ms.max(granted(life));
            return life.refuse("old");
        }
        if granted(life) <= life.clock_ms() {
            return life.refuse("late");
        }
        let Some(need) = self.ledger.need(&task) else {
            return Answer::Json(400, json!({"clock_ms": life.clock_ms()}));
        };
        life.lease_ms = life.lease_ms.max(granted(life));
        let (cpu, mem_mb) = life.room();
        if life.kind.guards && (need.cpu > cpu || need.mem_mb > mem_mb) {
            return life.refuse("room");
        }
        let now = Instant::now();
        let mut runs = self.ledger.runs.lock().unwrap();
        let entry = runs.len();
        runs.push(Run {
            worker: self.id.clone(),
            life: life.number,
            task: task.clone(),
            attempt,
            started: now,
            labels: life.kind.labels.clone(),
            end: None,
            seen: None,
        });
        drop(runs);
        let until = now + Duration::from_millis(need.work_ms.max(50));
        let checkpoint = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        life.active.insert(
            task,
            Active {
                attempt,
                until,
                begun: now,
                need,
                checkpoint,
                entry,
            },
        );
        Answer::Json(200, json!({"clock_ms": life.clock_ms()}))
    }

    fn hold(&self, body: &Value) -> Answer {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let mut first = true;
        loop {
            {
                let mut life = self.life.lock().unwrap();
                let Some(life) = life.as_mut() else {
                    return Answer::Silence;
                };
                if life.cut {
                    return Answer::Silence;
                }
                if first {
                    first = false;
                    let granted = body["deadline_ms"].as_u64().unwrap_or(0);
                    life.lease_ms = life
                        .lease_ms
                        .max(granted.min(life.clock_ms() + LONGEST_LEASE_MS));
                    let mut runs = self.ledger.runs.lock().unwrap();
                    let lapsed_at = life.lapsed_at;
                    for (number, .., entry) in &life.ends {
                        let run = &mut runs[*entry];
                        let ended = run.end.map(|end| end.0);
                        let lapsed =
                            lapsed_at.is_some_and(|at| ended.is_some_and(|ended| at >= ended));
                        if *number <= seen && run.seen.is_none() && !lapsed {
                            run.seen = Some(Instant::now());
                        }
                    }
                    drop(runs);
                    life.ends.retain(|(number, ..)| *number > seen);
                }
                life.advance(&self.ledger);
                if !life.ends.is_empty() || Instant::now() >= end {
                    return Answer::Json(200, life.lists());
                }
            }
            thread::sleep(TICK);
        }
    }
}
