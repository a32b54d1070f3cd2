//! The entry processes of a small deployment, started with the command of the deploy file.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::JobPlan;
use crate::worker::Ledger;

/// Time that callers wait for an answer (`deadline_ms` of the site).
const CALLER_WAIT: Duration = Duration::from_millis(3_000);
/// Host of the routes.
pub const HOST: &str = "jobs.example";

/// Identifiers of the processes that run, for an end of the case that can't wait.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that still run.
pub fn kill_all() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _killed = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

fn forget_process(child: &Child) {
    PROCESSES.lock().unwrap().retain(|id| *id != child.id());
}

/// One entry VM.
struct Entry {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
}

/// All entry VMs. Dropping it kills their processes.
pub struct Fleet {
    root: PathBuf,
    record: Record,
    ledger: Arc<Mutex<Ledger>>,
    entries: Vec<Entry>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            if let Some(mut child) = entry.child.take() {
                let _killed = child.kill();
                let _ended = child.wait();
                forget_process(&child);
            }
        }
    }
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind(http::any_address())?.local_addr()
}

impl Fleet {
    /// Starts entry VMs with settings as `deploy/settings.json` renders them, and waits until all
    /// are ready. `retention_s` is the deployment's `status_s`.
    pub fn start(
        root: &Path,
        folder: &Path,
        count: usize,
        retention_s: u64,
        store: &Store,
        record: &Record,
        ledger: &Arc<Mutex<Ledger>>,
    ) -> std::io::Result<Self> {
        let mut fleet = Self {
            root: root.to_owned(),
            record: record.clone(),
            ledger: ledger.clone(),
            entries: Vec::new(),
        };
        for number in 1..=count {
            let name = format!("frontend-{number}");
            let (callers, ready) = (free_address()?, free_address()?);
            let settings = json!({"vm": name, "failure_domain": "brest-atelier",
                "caller_address": callers, "ready_address": ready,
                "peer_address": free_address()?, "metrics_address": free_address()?,
                "store_address": store.address, "cpu_share": 0.25,
                "bounds": {"longest_lease_ms": 10_000, "retention_s": retention_s,
                    "harm_tolerance_ms": 4_000, "unavailability_notice_ms": 4_500,
                    "stop_grace_s": 6}});
            let path = folder.join(format!("{name}.json"));
            fs::write(&path, settings.to_string())?;
            fleet.entries.push(Entry {
                settings: path,
                log: folder.join(format!("{name}.log")),
                name,
                callers,
                ready,
                child: None,
            });
        }
        for number in 0..count {
            fleet.start_entry(number)?;
        }
        let end = Instant::now() + Duration::from_secs(20);
        while !(0..count).all(|number| fleet.is_ready(number)) || fleet.leader().is_none() {
            if Instant::now() > end {
                return Err(std::io::Error::other("the entry processes aren't ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(fleet)
    }

    fn start_entry(&mut self, number: usize) -> std::io::Result<()> {
        let entry = &mut self.entries[number];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&entry.log)?;
        let mut command = Command::new("target/release/sapphirewalk");
        command
            .arg("entry")
            .current_dir(&self.root)
            .env_clear()
            .env("SAPPHIREWALK_SETTINGS", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        entry.child = Some(child);
        self.record.line(&format!("{} is started", entry.name));
        Ok(())
    }

    fn is_ready(&self, number: usize) -> bool {
        let address = self.entries[number].ready;
        let wait = Duration::from_millis(500);
        http::call(address, "GET", HOST, "/ready", "", wait).0 == 200
    }

    /// The entry VM that has become the leader last, by the logs.
    pub fn leader(&self) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for (number, entry) in self.entries.iter().enumerate() {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            for line in log.lines() {
                let acquired = line.contains("event=leadership_acquired ");
                let fence = line.split("fence=").nth(1).filter(|_| acquired);
                let fence = fence.and_then(|rest| rest.split(' ').next()?.parse().ok());
                if let Some(fence) = fence
                    && best.is_none_or(|(most, _)| fence > most)
                {
                    best = Some((fence, number));
                }
            }
        }
        best.map(|(_, number)| number)
    }

    /// Stops a process with SIGTERM, waits until it has exited, and starts it again.
    pub fn restart_gracefully(&mut self, number: usize) -> std::io::Result<()> {
        let name = self.entries[number].name.clone();
        self.record.line(&format!("{name} gets SIGTERM"));
        let Some(mut child) = self.entries[number].child.take() else {
            return Ok(());
        };
        let id = child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let end = Instant::now() + Duration::from_secs(6);
        while child.try_wait()?.is_none() {
            if Instant::now() > end {
                child.kill()?;
            }
            thread::sleep(Duration::from_millis(20));
        }
        forget_process(&child);
        self.record.line(&format!("{name} has exited"));
        self.start_entry(number)
    }

    /// Sends a request to an entry VM and records it.
    pub fn call(&self, number: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let entry = &self.entries[number];
        let answer = http::call(entry.callers, method, HOST, path, body, CALLER_WAIT);
        self.record.line(&format!(
            "{method} {path} to {} -> {} {}",
            entry.name, answer.0, answer.1
        ));
        answer
    }

    /// Hands in a job at one entry VM and returns the status.
    pub fn submit_once(&self, number: usize, queue: &str, id: u64, plan: &JobPlan) -> u16 {
        let job = format!("{id:016x}");
        let mut ledger = self.ledger.lock().unwrap();
        ledger.jobs.insert(job.clone(), plan.clone());
        drop(ledger);
        let body = json!({"spec": plan.spec, "phases": plan.phases}).to_string();
        self.call(number, "POST", &format!("/{queue}/{job}"), &body)
            .0
    }

    /// Hands in a job; repeats it at the next entry VM after no answer or a refusal.
    pub fn submit(&self, number: usize, queue: &str, id: u64, plan: &JobPlan) -> bool {
        (0..self.entries.len()).any(|attempt| {
            let entry = (number + attempt) % self.entries.len();
            let status = self.submit_once(entry, queue, id, plan);
            (200..300).contains(&status)
        })
    }

    /// The state of a job as an entry VM shows it; the status if it shows none.
    pub fn state(&self, number: usize, queue: &str, id: u64) -> String {
        let (status, body) = self.call(number, "GET", &format!("/{queue}/{id:016x}"), "");
        let state = body["state"].as_str().map(str::to_owned);
        state.unwrap_or_else(|| status.to_string())
    }

    /// Waits until a job is shown in one of these states; returns the last one.
    pub fn await_state(
        &self,
        number: usize,
        queue: &str,
        id: u64,
        wanted: &[&str],
        wait: Duration,
    ) -> String {
        let end = Instant::now() + wait;
        loop {
            let state = self.state(number, queue, id);
            if wanted.contains(&state.as_str()) || Instant::now() > end {
                return state;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }
}

/// The operator's configuration: routes by name with priority and most failed runs of a task, on
/// one service.
pub fn put_config(
    store: &Store,
    record: &Record,
    version: u64,
    routes: &[(&str, u64, u64)],
    guards: bool,
) {
    let names: Vec<&str> = routes.iter().map(|route| route.0).collect();
    record.line(&format!(
        "the operator writes configuration {version}: routes {names:?}"
    ));
    let routes: Vec<Value> = routes
        .iter()
        .map(|(name, priority, max_attempts)| {
            json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"),
                "service": "moulage", "priority": priority, "target_latency_ms": 1_000,
                "max_attempts": max_attempts, "slowdown_factor": 2.0})
        })
        .collect();
    let config = json!({"version": version, "routes": routes,
        "services": [{"name": "moulage", "rejects_overload": guards}],
        "limits": {"max_body_bytes": 262_144}});
    store.put("op", "config", &config);
}

/// A job of one step.
pub fn one_step(spec: &str, phase: Value, run_ms: u64) -> JobPlan {
    JobPlan {
        spec: spec.to_owned(),
        phases: vec![phase],
        run_ms: vec![run_ms],
        failing_runs: 0,
    }
}
