//! Processes, stand-ins and callers of one test.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sapphirewalk_platform::stand_in::StoreStandIn;
use sapphirewalk_platform::stand_in::WorkerStandIn;
use serde_json::Value;
use serde_json::json;

/// Longest wait for a condition; far above what any of them takes on a busy machine.
const PATIENCE: time::Duration = time::Duration::from_secs(40);
/// Time between two polls a condition.
const POLL: time::Duration = time::Duration::from_millis(25);
/// Workers of a fleet.
const WORKERS: usize = 4;

/// One entry VM's process.
pub struct EntryProcess {
    name: String,
    settings: path::PathBuf,
    child: Option<process::Child>,
    /// Nobody reads what it logs.
    unread: bool,
    pub callers: net::SocketAddr,
    pub ready: net::SocketAddr,
    pub metrics: net::SocketAddr,
}

/// Entry VMs, workers and the store.
pub struct EntryFleet {
    pub store: StoreStandIn,
    pub workers: Vec<WorkerStandIn>,
    pub entries: Vec<EntryProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
    folder: path::PathBuf,
}

impl EntryProcess {
    fn start(&mut self) {
        let path = self.settings.with_extension("log");
        let before = self.log().len();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the test's folder takes files");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_sapphirewalk"))
            .arg("entry")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(if self.unread {
                process::Stdio::piped()
            } else {
                process::Stdio::from(log)
            })
            .spawn()
            .expect("the binary starts");
        let first_line = if self.unread {
            // Only the first line is read; what follows stays in the pipe.
            let output = child.stdout.as_mut().expect("the output is piped");
            let mut line = Vec::new();
            let mut byte = [0];
            while byte != *b"\n" && io::Read::read(output, &mut byte).is_ok_and(|read| read == 1) {
                line.push(byte[0]);
            }
            String::from_utf8_lossy(&line).into_owned()
        } else {
            self.await_first_line(before)
        };
        self.child = Some(child);
        self.callers = address_in(&first_line, "callers");
        self.ready = address_in(&first_line, "ready");
        self.metrics = address_in(&first_line, "metrics");
    }

    fn await_first_line(&self, before: usize) -> String {
        let end = time::Instant::now() + PATIENCE;
        loop {
            let log = self.log();
            let mut lines = log[before..].split_inclusive('\n');
            if let Some(line) = lines.find(|line| line.ends_with('\n')) {
                return line.to_owned();
            }
            assert!(time::Instant::now() < end, "{} doesn't start", self.name);
            std::thread::sleep(POLL);
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process was started here");
            child.wait().expect("the process was started here");
        }
    }

    /// Starts the process again, with a standard output that nobody reads.
    pub fn restart_unread(&mut self) {
        self.unread = true;
        self.restart();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Asks the process to stop and waits until it has.
    pub fn terminate(&mut self) -> process::ExitStatus {
        let mut child = self.child.take().expect("the process runs");
        let id = rustix::process::Pid::from_child(&child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .expect("the process was started here");
        child.wait().expect("the process was started here")
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Drop for EntryFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for entry in &self.entries {
                eprintln!("--- log of {}\n{}", entry.name, entry.log());
            }
        }
        for entry in &mut self.entries {
            entry.kill();
        }
        // A folder that stays does no harm.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl EntryFleet {
    /// Starts stand-ins and so many entry VMs, and waits until one of them leads.
    pub async fn start(test: &str, entries: usize) -> Self {
        let store = StoreStandIn::start().await.expect("loopback has ports");
        store.put_rules(1, &[("bulk", 2), ("urgent", 0)]);
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            let worker = WorkerStandIn::start(&format!("w{number}"))
                .await
                .expect("loopback has ports");
            worker.register(&store, "ready");
            workers.push(worker);
        }
        let folder = std::env::temp_dir().join(format!("sw-{test}-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder takes folders");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut fleet = Self {
            store,
            workers,
            entries: Vec::new(),
            client,
            folder,
        };
        for number in 0..entries {
            fleet.add_entry(number);
        }
        fleet
            .until("an entry VM is in leader", async |fleet| {
                fleet.leader().is_some()
            })
            .await;
        for number in 0..entries {
            fleet
                .until("every entry VM is ready", async |fleet| {
                    fleet.is_ready(number).await
                })
                .await;
        }
        fleet
    }

    fn add_entry(&mut self, number: usize) {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let name = format!("vm-{number}");
        let settings = self.folder.join(format!("{name}.json"));
        let document = json!({
            "vm": name, "failure_domain": format!("domain-{number}"),
            "caller_address": any, "ready_address": any,
            "peer_address": any, "metrics_address": any,
            "store_address": self.store.address(), "cpu_share": 1.0,
            "bounds": {"longest_lease_ms": 10_000, "retention_s": 120, "harm_tolerance_ms": 4_000,
                "stop_grace_s": 6}
        });
        fs::write(&settings, document.to_string()).expect("the test's folder takes files");
        let mut entry = EntryProcess {
            name,
            settings,
            child: None,
            unread: false,
            callers: any,
            ready: any,
            metrics: any,
        };
        entry.start();
        self.entries.push(entry);
    }

    /// The number of the entry VM that took the leadership last.
    pub fn leader(&self) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for (number, entry) in self.entries.iter().enumerate() {
            for line in entry.log().lines() {
                let won = line.contains(" event=leadership_acquired ");
                let fence = line.split("fence=").nth(1).filter(|_| won);
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

    /// Waits until a condition holds.
    pub async fn until(&self, what: &str, mut condition: impl AsyncFnMut(&Self) -> bool) {
        let end = time::Instant::now() + PATIENCE;
        while !condition(self).await {
            assert!(time::Instant::now() < end, "waited in vain until {what}");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Sends a request to an entry VM; the status and the JSON body, 0 when there is no answer.
    pub async fn call(
        &self,
        number: usize,
        method: Method,
        path: &str,
        body: String,
    ) -> (u16, Value, Option<String>) {
        let address = self.entries[number].callers;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::HOST, "jobs.test")
            .body(Full::new(Bytes::from(body)))
            .expect("the request is sound");
        let Ok(response) = self.client.request(request).await else {
            return (0, Value::Null, None);
        };
        let status = response.status().as_u16();
        let after = response.headers().get(header::RETRY_AFTER);
        let after = after.and_then(|value| value.to_str().ok().map(str::to_owned));
        let Ok(collected) = response.into_body().collect().await else {
            return (0, Value::Null, None);
        };
        let value = serde_json::from_slice(&collected.to_bytes()).unwrap_or(Value::Null);
        (status, value, after)
    }

    /// Submits a job of steps that follow one another, each of so many tasks; the status.
    pub async fn submit(&self, number: usize, id: u64, run_ms: u64, counts: &[u32]) -> u16 {
        let job = job(run_ms, counts);
        let path = format!("/bulk/{id:016x}");
        self.call(number, Method::POST, &path, job.to_string())
            .await
            .0
    }

    /// The state of a job as an entry VM tells it; empty when it doesn't.
    pub async fn state(&self, number: usize, id: u64) -> String {
        let path = format!("/bulk/{id:016x}");
        let (_, value, _) = self.call(number, Method::GET, &path, String::new()).await;
        value["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Waits until an entry VM shows a job in a state.
    pub async fn until_state(&self, number: usize, id: u64, state: &str) {
        self.until(&format!("job {id} is {state}"), async |fleet| {
            fleet.state(number, id).await == state
        })
        .await;
    }

    /// Whether an entry VM says that it is ready.
    pub async fn is_ready(&self, number: usize) -> bool {
        let address = self.entries[number].ready;
        let asked = format!("http://{address}/ready").parse();
        let answer = self.client.get(asked.expect("the address is sound")).await;
        answer.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// The metrics of an entry VM.
    pub async fn metrics(&self, number: usize) -> String {
        let address = self.entries[number].metrics;
        let asked = format!("http://{address}/metrics").parse();
        let answer = self.client.get(asked.expect("the address is sound")).await;
        let body = answer
            .expect("metrics are served")
            .into_body()
            .collect()
            .await;
        let bytes = body.expect("metrics are served whole").to_bytes();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Asserts that no task ran twice at once, and none with another text than its job's.
    pub fn assert_no_doubles(&self) {
        let mut runs = collections::BTreeSet::new();
        for worker in &self.workers {
            assert_eq!(worker.duplicate_tasks(), Vec::<String>::new());
            for (task, attempt, _) in worker.started_runs() {
                assert!(
                    runs.insert((task.clone(), attempt)),
                    "{task} run {attempt} twice"
                );
            }
        }
    }

    /// Starts of a job's tasks on all workers.
    pub fn starts(&self, id: u64) -> usize {
        let prefix = format!("{id:016x}.");
        let begun = self.workers.iter().flat_map(WorkerStandIn::started_runs);
        begun.filter(|(task, ..)| task.starts_with(&prefix)).count()
    }

    /// Tasks of a job that run now.
    pub fn running(&self, id: u64) -> usize {
        let prefix = format!("{id:016x}.");
        let running = self.workers.iter().flat_map(WorkerStandIn::running);
        running.filter(|task| task.starts_with(&prefix)).count()
    }
}

/// A job of steps that follow one another.
pub fn job(run_ms: u64, counts: &[u32]) -> Value {
    let phases: Vec<Value> = counts
        .iter()
        .enumerate()
        .map(|(number, count)| {
            let mut phase = json!({"count": count, "cpu": 500, "mem_mb": 100,
                "estimate_ms": run_ms});
            if number > 0 {
                phase["depends_on"] = json!([number - 1]);
            }
            phase
        })
        .collect();
    json!({"spec": run_ms.to_string(), "phases": phases})
}

/// An address that a line of a log names.
fn address_in(line: &str, key: &str) -> net::SocketAddr {
    let found = line.split(&[' ', '\n'][..]).find_map(|word| {
        let (known, value) = word.split_once('=')?;
        (known == key).then(|| value.parse().ok())?
    });
    found.unwrap_or_else(|| panic!("no {key} in {line:?}"))
}
