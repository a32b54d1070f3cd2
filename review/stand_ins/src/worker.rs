//! Stand-in of workers: lives, leases, runs and ends as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a worker writes its entry (`beat_ms` of the site).
const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Silence after which the platform removes an entry: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_300);
/// Longest lease (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 10_000;
/// Startup of a task that lasts.
const STARTUP_MS: u64 = 300;
/// Tail that is reported of a task that lasts.
const TAIL_MS: u64 = 10;
/// Longest delay of an answer to `/hold`.
const LONGEST_WAIT_MS: u64 = 2_000;

/// What a caller handed in, by the identifier of the job.
#[derive(Clone, Default)]
pub struct JobPlan {
    pub spec: String,
    pub phases: Vec<Value>,
    /// Duration of a run of each step.
    pub run_ms: Vec<u64>,
    /// The first runs of each task, up to this number, end `failed`.
    pub failing_runs: usize,
}

/// A run as it began.
#[derive(Clone, Debug)]
pub struct Start {
    pub worker: String,
    pub task: String,
    /// The resources in use with this run were more than the worker has.
    pub over_capacity: bool,
    /// A run of the task had ended `done`, and that end had been taken note of.
    pub after_noted_end: bool,
    /// Another run of the task was running on a worker that was up.
    pub beside_other: bool,
}

/// How a run ended.
#[derive(Clone, Debug)]
pub struct End {
    pub task: String,
    pub how: &'static str,
}

/// What all workers have seen, for the check of the rules.
#[derive(Default)]
pub struct Ledger {
    pub jobs: BTreeMap<String, JobPlan>,
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
    /// Tasks whose end `done` the system has taken note of.
    pub noted: BTreeMap<String, Instant>,
    /// Runs at work: task and worker.
    running: Vec<(String, String)>,
}

impl Ledger {
    /// Number of runs of a task that have ended `failed`.
    pub fn failed_ends(&self, task: &str) -> usize {
        let ends = self.ends.iter();
        ends.filter(|end| end.task == task && end.how == "failed")
            .count()
    }
}

struct Run {
    attempt: u64,
    begun_ms: u64,
    run_ms: u64,
    fails: bool,
    /// The task lasts: it is at work after a short startup.
    lasts: bool,
    demand: (u64, u64),
}

#[derive(Default)]
struct Life {
    born: u64,
    begun: Option<Instant>,
    fence: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    ended_attempts: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    capacity: (u64, u64),
    labels: Vec<String>,
}

/// One worker. Its identifier and address stay the same over its lives.
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    guards: bool,
    store: Arc<Store>,
    record: Record,
    ledger: Arc<Mutex<Ledger>>,
    life: Arc<(Mutex<Life>, Condvar)>,
    server: Mutex<Option<Server>>,
    last_beat: Mutex<Instant>,
}

impl Worker {
    /// Starts a worker with this capacity in thousandths of a core and MB, and these labels.
    pub fn start(
        id: &str,
        capacity: (u64, u64),
        labels: &[&str],
        guards: bool,
        store: &Arc<Store>,
        record: &Record,
        ledger: &Arc<Mutex<Ledger>>,
    ) -> std::io::Result<Arc<Self>> {
        let probe = std::net::TcpListener::bind(http::any_address())?;
        let address = probe.local_addr()?;
        drop(probe);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            guards,
            store: store.clone(),
            record: record.clone(),
            ledger: ledger.clone(),
            life: Arc::default(),
            server: Mutex::new(None),
            last_beat: Mutex::new(Instant::now()),
        });
        worker.begin_life(capacity, labels)?;
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                let is_up = beating.server.lock().unwrap().is_some();
                let silence = beating.last_beat.lock().unwrap().elapsed();
                if is_up && silence >= HEARTBEAT {
                    beating.write_entry();
                } else if !is_up && silence >= EXPIRY {
                    beating.store.remove("servers", &beating.id);
                }
            }
        });
        Ok(worker)
    }

    /// Begins a life: no runs, no fencing token, counts and clock anew.
    pub fn begin_life(
        self: &Arc<Self>,
        capacity: (u64, u64),
        labels: &[&str],
    ) -> std::io::Result<()> {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = unix.map_or(1, |since| since.as_millis() as u64);
        *self.life.0.lock().unwrap() = Life {
            born,
            begun: Some(Instant::now()),
            capacity,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            ..Life::default()
        };
        let shared = self.clone();
        let server = Server::open(self.address, move |request| shared.handle(request))?;
        *self.server.lock().unwrap() = Some(server);
        self.record.line(&format!(
            "worker {} begins a life: born {born}, capacity {capacity:?}, labels {labels:?}",
            self.id
        ));
        self.write_entry();
        Ok(())
    }

    /// Ends the life without notice, as a crash does.
    pub fn crash(&self) {
        let server = self.server.lock().unwrap().take();
        if let Some(server) = server {
            server.close();
        }
        let mut life = self.life.0.lock().unwrap();
        let lost = std::mem::take(&mut life.runs);
        let mut ledger = self.ledger.lock().unwrap();
        ledger.running.retain(|(_, worker)| *worker != self.id);
        let names: Vec<&String> = lost.keys().collect();
        self.record
            .line(&format!("worker {} crashes, running {names:?}", self.id));
    }

    /// Tasks that run here now.
    pub fn running(&self) -> Vec<String> {
        let mut life = self.life.0.lock().unwrap();
        self.advance(&mut life);
        life.runs.keys().cloned().collect()
    }

    fn write_entry(&self) {
        let entry = {
            let life = self.life.0.lock().unwrap();
            json!({"service": "moulage", "address": self.address.to_string(),
                "zone": "brest-atelier", "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "sequence": clock_ms(&life), "clock_ms": clock_ms(&life),
                "born": life.born, "labels": life.labels,
                "capacity": {"cpu": life.capacity.0, "mem_mb": life.capacity.1, "gpu": 0}})
        };
        self.store.put("servers", &self.id, &entry);
        *self.last_beat.lock().unwrap() = Instant::now();
    }

    fn handle(&self, request: &Request) -> Answer {
        if !request.expected_instance.is_empty() && request.expected_instance != self.id {
            return Some((421, Value::Null));
        }
        let (lock, changed) = &*self.life;
        let mut life = lock.lock().unwrap();
        self.advance(&mut life);
        let fence = request.body["fencing_token"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return Some((409, json!({"clock_ms": clock_ms(&life), "reason": "fence"})));
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => {
                let (status, reason) = self.start_run(&mut life, &request.body);
                let clock = clock_ms(&life);
                let answer = match reason {
                    "" => json!({"clock_ms": clock}),
                    reason => json!({"clock_ms": clock, "reason": reason}),
                };
                Some((status, answer))
            }
            "/run-stop" => {
                let task = request.body["task"].as_str().unwrap_or_default().to_owned();
                let attempt = request.body["attempt"].as_u64().unwrap_or(0);
                let runs_now = life
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt);
                let last = life.ended_attempts.entry(task.clone()).or_default();
                *last = (*last).max(attempt);
                if runs_now {
                    self.end_run(&mut life, &task, "stopped");
                    changed.notify_all();
                }
                Some((200, json!({"clock_ms": clock_ms(&life)})))
            }
            "/pace" => Some((200, json!({"clock_ms": clock_ms(&life)}))),
            "/hold" => {
                let born = life.born;
                if let Some(deadline) = request.body["deadline_ms"].as_u64() {
                    let most = clock_ms(&life) + HOLD_MAX_MS;
                    life.deadline_ms = life.deadline_ms.max(deadline.min(most));
                }
                self.note_ends(&mut life, request.body["last_seen"].as_u64().unwrap_or(0));
                let wait = request.body["wait_ms"].as_u64().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(LONGEST_WAIT_MS));
                loop {
                    self.advance(&mut life);
                    if life.born != born || !life.ends.is_empty() || Instant::now() >= end {
                        break;
                    }
                    // Runs end by time, which no signal tells.
                    let step = Duration::from_millis(5);
                    life = changed.wait_timeout(life, step).unwrap().0;
                }
                if life.born != born {
                    return None;
                }
                Some((200, lists(&life)))
            }
            _ => Some((404, Value::Null)),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        if life
            .runs
            .get(&task)
            .is_some_and(|run| run.attempt == attempt)
        {
            return (200, "");
        }
        if life
            .ended_attempts
            .get(&task)
            .is_some_and(|last| attempt <= *last)
        {
            return (409, "old");
        }
        let now_ms = clock_ms(life);
        if deadline <= now_ms {
            return (409, "late");
        }
        let mut ledger = self.ledger.lock().unwrap();
        let mut names = task.split('.');
        let plan = names.next().and_then(|job| ledger.jobs.get(job)).cloned();
        let step: usize = names.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
        let Some(plan) = plan.filter(|plan| step < plan.phases.len()) else {
            self.record.line(&format!(
                "worker {} is told to start {task}#{attempt}, which no caller sent",
                self.id
            ));
            return (400, "");
        };
        let phase = &plan.phases[step];
        let number = |name: &str| phase[name].as_u64().unwrap_or(0);
        let demand = (number("cpu"), number("mem_mb"));
        let used = life.runs.values().fold(demand, |sum, run| {
            (sum.0 + run.demand.0, sum.1 + run.demand.1)
        });
        let over_capacity = used.0 > life.capacity.0 || used.1 > life.capacity.1;
        if over_capacity && self.guards {
            return (409, "room");
        }
        let label = phase["required_label"].as_str();
        let lacks_label = label.is_some_and(|label| life.labels.iter().all(|known| known != label));
        let start = Start {
            worker: self.id.clone(),
            task: task.clone(),
            over_capacity,
            after_noted_end: ledger.noted.contains_key(&task),
            beside_other: ledger.running.iter().any(|(known, _)| *known == task),
        };
        let failed = ledger.failed_ends(&task);
        let mut remarks = String::new();
        for (is_so, remark) in [
            (over_capacity, "OVER CAPACITY"),
            (lacks_label, "WITHOUT THE REQUIRED LABEL"),
            (start.after_noted_end, "AFTER A NOTED END done"),
            (start.beside_other, "BESIDE ANOTHER RUN"),
        ] {
            if is_so {
                remarks.push_str(" - ");
                remarks.push_str(remark);
            }
        }
        self.record.line(&format!(
            "worker {} starts {task}#{attempt} (uses {} of {} thousandths of a core){remarks}",
            self.id, used.0, life.capacity.0
        ));
        ledger.starts.push(start);
        ledger.running.push((task.clone(), self.id.clone()));
        life.deadline_ms = life.deadline_ms.max(deadline.min(now_ms + HOLD_MAX_MS));
        life.runs.insert(
            task,
            Run {
                attempt,
                begun_ms: now_ms,
                run_ms: plan.run_ms[step],
                fails: failed < plan.failing_runs,
                lasts: phase["long_running"] == json!(true),
                demand,
            },
        );
        (200, "")
    }

    /// Ends runs whose time has come, and all when the lease is over.
    fn advance(&self, life: &mut Life) {
        let now_ms = clock_ms(life);
        let lapsed = now_ms > life.deadline_ms;
        let due: Vec<(String, &'static str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let is_over = now_ms >= run.begun_ms + run.run_ms;
                let how = match (is_over, run.fails) {
                    (true, true) => "failed",
                    (true, false) => "done",
                    (false, _) if lapsed => "lapsed",
                    (false, _) => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end_run(life, &task, how);
        }
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        let last = life.ended_attempts.entry(task.to_owned()).or_default();
        *last = (*last).max(run.attempt);
        life.last_end += 1;
        let number = life.last_end;
        life.ends.push((number, task.to_owned(), run.attempt, how));
        self.record.line(&format!(
            "worker {} ends {task}#{} {how}",
            self.id, run.attempt
        ));
        let mut ledger = self.ledger.lock().unwrap();
        let place = ledger
            .running
            .iter()
            .position(|(known, worker)| known == task && *worker == self.id);
        if let Some(place) = place {
            ledger.running.remove(place);
        }
        ledger.ends.push(End {
            task: task.to_owned(),
            how,
        });
    }

    /// Forgets the ends up to `last_seen`, which the system has taken note of.
    fn note_ends(&self, life: &mut Life, last_seen: u64) {
        let (seen, kept) = std::mem::take(&mut life.ends)
            .into_iter()
            .partition(|end| end.0 <= last_seen);
        life.ends = kept;
        let seen: Vec<(u64, String, u64, &'static str)> = seen;
        if seen.is_empty() {
            return;
        }
        let mut ledger = self.ledger.lock().unwrap();
        for (_, task, attempt, how) in seen {
            if how == "done" {
                self.record.line(&format!(
                    "worker {}: the end of {task}#{attempt} is taken note of",
                    self.id
                ));
                ledger.noted.insert(task, Instant::now());
            }
        }
    }
}

/// Time on the worker's clock, which begins with its life.
fn clock_ms(life: &Life) -> u64 {
    let elapsed = life.begun.map_or(Duration::ZERO, |begun| begun.elapsed());
    1 + u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn lists(life: &Life) -> Value {
    let now_ms = clock_ms(life);
    let running: Vec<Value> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let ran_ms = now_ms - run.begun_ms;
            if run.lasts {
                let percent = if ran_ms >= STARTUP_MS { 100 } else { 0 };
                return json!([task, run.attempt, "", percent, TAIL_MS]);
            }
            let percent = ran_ms * 100 / run.run_ms.max(1);
            json!([task, run.attempt, "", percent.min(99), run.demand.0])
        })
        .collect();
    let finished: Vec<Value> = life
        .ends
        .iter()
        .map(|(number, task, attempt, how)| json!([number, task, attempt, how, ""]))
        .collect();
    json!({"clock_ms": now_ms, "born": life.born, "running": running, "finished": finished})
}
