//! A small deployment on loopback: entry processes, the store, workers and a caller.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Server;
use crate::store::Store;
use crate::worker::Kind;
use crate::worker::Ledger;
use crate::worker::Need;
use crate::worker::Run;
use crate::worker::Worker;

/// Host of the queue.
const HOST: &str = "jobs.test";
/// How long callers wait for an answer.
const CALL_WAIT: Duration = Duration::from_secs(3);

/// An entry process, killed when dropped.
pub struct Entry {
    child: process::Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

pub struct Rig {
    // Dropped first, before the stand-ins that they call.
    pub entries: Vec<Entry>,
    pub workers: Vec<Arc<Worker>>,
    pub store: Arc<Store>,
    pub ledger: Arc<Ledger>,
    _store_server: Server,
    record: Mutex<fs::File>,
    begun: Instant,
    temporary: PathBuf,
    next_entry: Mutex<usize>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.temporary);
        }
    }
}

/// A step of a job.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub need: Need,
    /// The step doesn't wait for the one before.
    pub parallel: bool,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Rig {
    /// Starts the stand-ins and `entries` processes, and waits until all of them are ready.
    pub fn start(folder: &Path, entries: usize, kinds: Vec<Kind>) -> Result<Self, String> {
        let fault = |error: std::io::Error| error.to_string();
        let temporary = std::env::temp_dir().join(format!("review-rig-{}", process::id()));
        fs::create_dir_all(&temporary).map_err(fault)?;
        let record = fs::File::create(folder.join("record.txt")).map_err(fault)?;
        let (store, store_server) = Store::start(loopback());
        let ledger = Arc::new(Ledger::default());
        store.put("op", "config", Some(&json!({"version": 3,
            "routes": [{"name": "bulk", "host": HOST, "path_prefix": "/bulk/", "service": "pool",
                "priority": 1, "max_attempts": 3, "slowdown_factor": 2.0, "target_latency_ms": 1_000}],
            "services": [{"name": "pool", "rejects_overload": kinds[0].guards}],
            "limits": {"max_body_bytes": 262_144}})));
        let mut workers = Vec::new();
        for (number, kind) in kinds.into_iter().enumerate() {
            workers.push(Worker::start(
                &format!("w-{number}"),
                loopback(),
                kind,
                &ledger,
                &store,
            ));
        }
        let mut rig = Self {
            entries: Vec::new(),
            workers,
            store,
            ledger,
            _store_server: store_server,
            record: Mutex::new(record),
            begun: Instant::now(),
            temporary,
            next_entry: Mutex::new(0),
        };
        for number in 0..entries {
            let entry = rig.start_entry(number)?;
            rig.entries.push(entry);
        }
        let ready = |rig: &Self| {
            rig.entries
                .iter()
                .all(|entry| http::call(entry.ready, "vm", "GET", "/ready", "", CALL_WAIT).0 == 200)
        };
        if !rig.until(Duration::from_secs(15), ready) {
            return Err("the entry processes are not ready".to_owned());
        }
        // Traffic starts 10 s after the machines; a leader and its list of workers take less.
        thread::sleep(Duration::from_secs(4));
        rig.note("all entry processes are ready");
        Ok(rig)
    }

    /// Starts a process with the command of the deploy file and settings as its template gives them.
    fn start_entry(&self, number: usize) -> Result<Entry, String> {
        let fault = |error: std::io::Error| error.to_string();
        let any = loopback().to_string();
        let settings = json!({"vm": format!("front-{number}"), "failure_domain": "zone-a",
            "caller_address": any, "ready_address": any, "peer_address": any, "metrics_address": any,
            "store_address": self._store_server.address.to_string(), "cpu_share": 0.25,
            "bounds": {"longest_lease_ms": 10_000, "retention_s": 120, "harm_tolerance_ms": 4_000,
                "rules_ms": 2_000, "unavailability_notice_ms": 4_500, "stop_grace_s": 6}});
        let path = self.temporary.join(format!("front-{number}.json"));
        fs::write(&path, settings.to_string()).map_err(fault)?;
        let log_path = self.temporary.join(format!("front-{number}.log"));
        let log = fs::File::create(&log_path).map_err(fault)?;
        let program =
            std::env::var("SAPPHIREWALK").unwrap_or("target/release/sapphirewalk".to_owned());
        let child = process::Command::new(program)
            .arg("entry")
            .env("SAPPHIREWALK_SETTINGS", &path)
            .stdout(log)
            .spawn()
            .map_err(fault)?;
        let mut entry = Entry {
            child,
            callers: loopback(),
            ready: loopback(),
        };
        let mut line = String::new();
        let started = self.until(Duration::from_secs(10), |_| {
            let log = fs::read_to_string(&log_path).unwrap_or_default();
            line = log
                .lines()
                .find(|line| line.contains("process_started"))
                .unwrap_or_default()
                .to_owned();
            !line.is_empty()
        });
        let address = |key: &str| {
            let word = line.split(' ').find_map(|word| word.strip_prefix(key));
            word.and_then(|word| word.parse().ok())
        };
        match (started, address("callers="), address("ready=")) {
            (true, Some(callers), Some(ready)) => (entry.callers, entry.ready) = (callers, ready),
            _ => return Err(format!("an entry process did not start: {line}")),
        }
        Ok(entry)
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        let _written = writeln!(record, "{at:8.3} {}", line.as_ref());
    }

    /// Seconds between the start of the case and a moment of it.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn until(&self, longest: Duration, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let end = Instant::now() + longest;
        while !condition(self) {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Sends a request to the next entry process, as the platform's balancer would.
    fn call(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        let mut next = self.next_entry.lock().unwrap();
        *next = (*next + 1) % self.entries.len();
        let address = self.entries[*next].callers;
        drop(next);
        http::call(address, HOST, method, path, body, CALL_WAIT)
    }

    /// Hands a job in, again after an answer that asks for it, and returns whether it was accepted.
    pub fn submit(&self, id: u64, steps: &[Step]) -> bool {
        let mut phases = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            let mut phase = json!({"count": step.count, "cpu": step.need.cpu, "mem_mb": step.need.mem_mb,
                "estimate_ms": step.need.work_ms});
            if step.need.checkpoints {
                phase["checkpointing"] = json!(true);
            }
            if !step.need.label.is_empty() {
                phase["required_label"] = json!(step.need.label);
            }
            if number > 0 && !step.parallel {
                phase["depends_on"] = json!([number - 1]);
            }
            phases.push(phase);
            let key = format!("{id:016x}.{number}");
            self.ledger
                .needs
                .lock()
                .unwrap()
                .insert(key, step.need.clone());
        }
        let body = json!({"spec": "review", "phases": phases}).to_string();
        for _ in 0..20 {
            let (status, _) = self.call("POST", &format!("/bulk/{id:016x}"), &body);
            self.note(format!(
                "POST job {id:016x} tasks {} -> {status}",
                steps.iter().map(|step| step.count).sum::<u64>()
            ));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// The state of a job; the status where there is none.
    pub fn state(&self, id: u64) -> String {
        let (status, value) = self.call("GET", &format!("/bulk/{id:016x}"), "");
        value["state"]
            .as_str()
            .map_or_else(|| status.to_string(), str::to_owned)
    }

    /// The runs of a job's tasks so far.
    pub fn runs(&self, id: u64) -> Vec<Run> {
        let prefix = format!("{id:016x}.");
        let runs = self.ledger.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(&prefix))
            .cloned()
            .collect()
    }

    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running()).sum()
    }

    /// Writes each run of a job into the record.
    pub fn note_runs(&self, id: u64) {
        for run in self.runs(id) {
            let end = run.end.map_or_else(
                || "running".to_owned(),
                |(at, how, number)| format!("{how} at {:.3} as number {number}", self.at(at)),
            );
            let seen = run
                .seen
                .map_or_else(String::new, |at| format!(", seen at {:.3}", self.at(at)));
            self.note(format!(
                "run {} attempt {} on {} life {} started at {:.3}: {end}{seen}",
                run.task,
                run.attempt,
                run.worker,
                run.life,
                self.at(run.started)
            ));
        }
    }
}
