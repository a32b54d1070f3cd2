//! Entry processes of a small deployment, and clients of them.

use std::collections::HashMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::record::Record;
use crate::store;
use crate::store::Store;
use crate::worker::Step;
use crate::worker::World;

pub const HOST: &str = "kerlann.example";
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Attempts of a client to hand a job in.
const TRIES: usize = 5;
/// Memory of an entry machine of the deployment.
const MEMORY_MB: u64 = 260;
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub struct Fleet {
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub callers: Vec<SocketAddr>,
    children: Mutex<Vec<Child>>,
    settings: Vec<PathBuf>,
    folder: PathBuf,
}

/// What a client knows of a job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub queue: &'static str,
    /// When it was acknowledged, in ms since the begin; none if it never was.
    pub accepted_ms: Option<u64>,
}

impl Fleet {
    /// Starts `count` entry processes and waits until they are ready.
    pub async fn start(
        count: usize,
        world: &Arc<World>,
        store: &Arc<Store>,
        address: SocketAddr,
    ) -> Self {
        let route = |name: &str, priority: u32, attempts: u32, aim: u64| {
            json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"),
                "service": "moulage", "priority": priority, "max_attempts": attempts,
                "target_latency_ms": aim, "slowdown_factor": 2.0})
        };
        // As on the sheet of the deployment: priorities, attempts and objectives of its requests.
        let rules = json!({"version": 3,
            "routes": [route("mould-preview", 0, 2, 250), route("casting-run", 2, 3, 1_000),
                route("anneal-watch", 0, 4, 2_500)],
            "services": [{"name": "moulage", "rejects_overload": true}],
            "limits": {"max_body_bytes": 262_144}});
        store.put("op", "config", &rules);
        let folder = std::env::temp_dir().join(format!("fleet-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let mut callers = Vec::new();
        let mut ready = Vec::new();
        let mut children = Vec::new();
        let mut settings = Vec::new();
        let addresses = free_addresses(4 * count);
        for (number, ports) in addresses.chunks(4).enumerate() {
            let document = json!({
                "vm": format!("frontend-{number}"), "failure_domain": "brest-atelier",
                "caller_address": ports[0], "ready_address": ports[1],
                "peer_address": ports[2], "metrics_address": ports[3],
                "store_address": address, "cpu_share": 0.25,
                "limits": {"memory_mb": MEMORY_MB, "descriptors": 4_100},
                "bounds": {"longest_lease_ms": 10_000, "retention_s": 120,
                    "harm_tolerance_ms": 4_000, "rules_ms": 2_000,
                    "unavailability_notice_ms": 4_500, "row_bytes": store::ROW_BYTES,
                    "stop_grace_s": 6}
            });
            let path = folder.join(format!("frontend-{number}.json"));
            fs::write(&path, document.to_string()).expect("the temporary folder is writable");
            children.push(start_process(&path));
            settings.push(path);
            callers.push(ports[0]);
            ready.push(ports[1]);
        }
        let fleet = Self {
            store: store.clone(),
            world: world.clone(),
            callers,
            children: Mutex::new(children),
            settings,
            folder,
        };
        let mut waits = 0;
        for address in ready {
            while http::call(address, HOST, "GET", "/ready", "", DEADLINE)
                .await
                .is_none_or(|answer| answer.0 != 200)
            {
                waits += 1;
                if waits > 150 {
                    fleet.stop();
                    eprintln!("the entry processes aren't ready");
                    std::process::exit(2);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        // As the deployment's traffic, clients come some time after the processes have started.
        tokio::time::sleep(Duration::from_secs(4)).await;
        fleet
    }

    fn record(&self) -> &Record {
        &self.world.record
    }

    /// Hands a job in; each attempt goes to another entry process.
    pub async fn submit(&self, id: &str, queue: &'static str, steps: Vec<Step>) -> Job {
        let phases: Vec<Value> = steps.iter().map(Step::json).collect();
        let body = json!({"spec": format!("plan {id}"), "phases": phases});
        self.submit_body(id, queue, steps, &body).await
    }

    pub async fn submit_body(
        &self,
        id: &str,
        queue: &'static str,
        steps: Vec<Step>,
        body: &Value,
    ) -> Job {
        self.world
            .jobs
            .lock()
            .expect("not poisoned")
            .insert(id.to_owned(), steps);
        let path = format!("/{queue}/{id}");
        let mut job = Job {
            id: id.to_owned(),
            queue,
            accepted_ms: None,
        };
        let first = usize::from(id.as_bytes()[id.len() - 1]);
        for number in 0..TRIES {
            let entry = self.callers[(first + number) % self.callers.len()];
            let answer = http::call(entry, HOST, "POST", &path, &body.to_string(), DEADLINE).await;
            let status = answer.as_ref().map(|answer| answer.0);
            self.record().line(&format!("POST {path} -> {status:?}"));
            if status.is_some_and(|status| (200..300).contains(&status)) {
                job.accepted_ms = Some(self.record().now_ms());
                break;
            }
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        job
    }

    /// A job's state as an entry process shows it; the status if it shows none.
    pub async fn state(&self, job: &Job) -> String {
        let path = format!("/{}/{}", job.queue, job.id);
        for number in 0..self.callers.len() {
            let entry = self.callers[number];
            let answer = http::call(entry, HOST, "GET", &path, "", DEADLINE).await;
            if let Some((200, body)) = &answer {
                let state = body["state"].as_str().unwrap_or("unreadable").to_owned();
                return state;
            }
            if let Some((410, _)) = answer {
                return "410".to_owned();
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        "no answer".to_owned()
    }

    /// States of jobs, by how many are in each; the record gets one line for each job.
    pub async fn states(&self, jobs: &[Job]) -> HashMap<String, Vec<String>> {
        let mut states: HashMap<String, Vec<String>> = HashMap::new();
        for job in jobs {
            let state = self.state(job).await;
            self.record().line(&format!("GET {} -> {state}", job.id));
            states.entry(state).or_default().push(job.id.clone());
        }
        states
    }

    /// Copies the processes' log lines that contain one of the words into the record.
    pub fn copy_log(&self, words: &[&str], most: usize) {
        for number in 0..self.callers.len() {
            let path = self.folder.join(format!("frontend-{number}.log"));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)));
            for line in lines.take(most) {
                let line: String = line.chars().take(400).collect();
                self.record().line(&format!("log: {line}"));
            }
        }
    }

    /// Does for some time what the platform does with a process that exceeds its memory: kills it, and
    /// starts it again after a short delay. Returns how often each was killed.
    pub async fn enforce_memory(&self, time: Duration) -> Vec<u32> {
        let end = Instant::now() + time;
        let mut kills = vec![0; self.settings.len()];
        while Instant::now() < end {
            for (number, settings) in self.settings.iter().enumerate() {
                let over = {
                    let mut children = self.children.lock().expect("not poisoned");
                    let child = &mut children[number];
                    let size = resident_kb(child);
                    let over = size > MEMORY_MB * 1_024;
                    if over {
                        let _ended = child.kill();
                        let _status = child.wait();
                        let text = format!("process {number} has {size} kB and is killed");
                        self.record().line(&text);
                    }
                    over
                };
                if over {
                    kills[number] += 1;
                    tokio::time::sleep(RESTART_DELAY).await;
                    let child = start_process(settings);
                    self.children.lock().expect("not poisoned")[number] = child;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        kills
    }

    fn kill(&self) {
        let mut children = self.children.lock().expect("not poisoned");
        for child in children.iter_mut() {
            let _ended = child.kill();
        }
        for child in children.iter_mut() {
            let _status = child.wait();
        }
    }

    /// Ends the processes.
    pub fn stop(&self) {
        self.kill();
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts an entry process by the command of the deploy file; its log is appended to a file.
fn start_process(settings: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let child = Command::new("target/release/sapphirewalk")
        .arg("entry")
        .env("SAPPHIREWALK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.expect("the temporary folder is writable"))
        .spawn();
    child.unwrap_or_else(|error| {
        eprintln!("can't start target/release/sapphirewalk: {error}");
        std::process::exit(2);
    })
}

/// Resident memory of a process in kB; 0 once it has ended.
fn resident_kb(child: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    size.unwrap_or(0)
}

/// Free ports of a loopback address that other plays of a case don't use.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let id = std::process::id();
    let [_, high, middle, low] = id.to_be_bytes();
    let address = Ipv4Addr::new(127, 1 + high % 100, middle, 1 + low % 250);
    let listeners = (0..count).map(|_| TcpListener::bind((address, 0)).expect("a free port"));
    let listeners: Vec<TcpListener> = listeners.collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .map(|address| address.expect("a bound port"))
        .collect()
}
