//! Entry VM processes, stand-ins of the platform and a client, for one test.

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
use sapphirewalk_platform::stand_in::StorePort;
use sapphirewalk_platform::stand_in::StoreStandIn;
use sapphirewalk_platform::stand_in::WorkerStandIn;
use serde_json::Value;
use serde_json::json;

/// Longest wait for a condition; far above what any of them takes on a busy machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(40);
/// Time between two polls of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
const WORKERS: usize = 4;

/// The process of an entry VM; killed when dropped.
pub struct EntryProcess {
    name: String,
    settings: path::PathBuf,
    /// The process, while it runs.
    pub child: Option<process::Child>,
    /// Whether standard output is a pipe of which only the first line is read.
    log_unread: bool,
    /// Address for requests of callers.
    pub callers: net::SocketAddr,
    /// Address of the readiness probe.
    pub ready: net::SocketAddr,
    /// Address of the metrics.
    pub metrics: net::SocketAddr,
}

/// Entry VMs, the stand-ins of workers and store, and a client of the entry VMs.
pub struct EntryFleet {
    pub store: StoreStandIn,
    /// The store's port of each entry VM.
    pub ports: Vec<StorePort>,
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
            .expect("the test's folder is writable");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_sapphirewalk"))
            .arg("entry")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(if self.log_unread {
                process::Stdio::piped()
            } else {
                process::Stdio::from(log)
            })
            .spawn()
            .expect("the binary starts");
        let first_line = if self.log_unread {
            // Only the first line is read, so that the following ones fill the pipe.
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

    /// Waits for the first line of the log after the first `before` bytes.
    fn await_first_line(&self, before: usize) -> String {
        let end = time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let log = self.log();
            let mut lines = log[before..].split_inclusive('\n');
            if let Some(line) = lines.find(|line| line.ends_with('\n')) {
                return line.to_owned();
            }
            assert!(
                time::Instant::now() < end,
                "{} did not start: it logged no line in time",
                self.name
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process, if it runs, and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process was started here");
            child.wait().expect("the process was started here");
        }
    }

    /// Kills the process and starts it with a standard output that is not read after its first
    /// line.
    pub fn restart_with_unread_log(&mut self) {
        self.log_unread = true;
        self.restart();
    }

    /// Kills the process and starts it with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Sends SIGTERM to the process and waits until it has exited.
    pub fn terminate(&mut self) -> process::ExitStatus {
        let mut child = self.child.take().expect("the process is running");
        let id = rustix::process::Pid::from_child(&child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .expect("the process was started here");
        child.wait().expect("the process was started here")
    }

    /// The log of all processes of this entry VM so far; empty before the first starts.
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
        // A folder that can't be removed affects no other test.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl EntryFleet {
    /// Starts the stand-ins and `entries` entry VMs, and waits until one is the leader and all are
    /// ready.
    pub async fn start(test: &str, entries: usize) -> Self {
        Self::start_in(test, entries, &["domain"], None).await
    }

    /// Like `start`, with workers in these failure domains by turns, and a bound on evacuations in
    /// ms.
    pub async fn start_in(
        test: &str,
        entries: usize,
        domains: &[&str],
        evacuation_ms: Option<u64>,
    ) -> Self {
        let store = StoreStandIn::start()
            .await
            .expect("the loopback interface has a free port");
        store.put_rules(1, &[("bulk", 2), ("urgent", 0)]);
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            let worker = WorkerStandIn::start(&format!("w{number}"))
                .await
                .expect("the loopback interface has a free port");
            worker.register_in(&store, "ready", domains[number % domains.len()]);
            workers.push(worker);
        }
        let folder = std::env::temp_dir().join(format!("sw-{test}-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut fleet = Self {
            store,
            ports: Vec::new(),
            workers,
            entries: Vec::new(),
            client,
            folder,
        };
        for number in 0..entries {
            let port = fleet.store.open_port().await;
            fleet
                .ports
                .push(port.expect("the loopback interface has a free port"));
            fleet.add_entry(number, evacuation_ms);
        }
        fleet
            .until("an entry VM is the leader", async |fleet| {
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

    fn add_entry(&mut self, number: usize, evacuation_ms: Option<u64>) {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let name = format!("vm-{number}");
        let settings = self.folder.join(format!("{name}.json"));
        let document = json!({
            "vm": name, "failure_domain": format!("domain-{number}"),
            "caller_address": any, "ready_address": any,
            "peer_address": any, "metrics_address": any,
            "store_address": self.ports[number].address(), "cpu_share": 1.0,
            "bounds": {"longest_lease_ms": 10_000, "retention_s": 120, "harm_tolerance_ms": 4_000,
                "stop_grace_s": 6, "evacuation_ms": evacuation_ms}
        });
        fs::write(&settings, document.to_string()).expect("the test's folder is writable");
        let mut entry = EntryProcess {
            name,
            settings,
            child: None,
            log_unread: false,
            callers: any,
            ready: any,
            metrics: any,
        };
        entry.start();
        self.entries.push(entry);
    }

    /// Sets the share of a core of an entry VM, in cores, from its next start on.
    pub fn set_cpu_share(&self, number: usize, cpu_share: f64) {
        self.change_settings(number, |settings| settings["cpu_share"] = json!(cpu_share));
    }

    /// Sets how long an entry VM keeps ended jobs, in seconds, from its next start on.
    pub fn set_retention(&self, number: usize, retention_s: f64) {
        self.change_settings(number, |settings| {
            settings["bounds"]["retention_s"] = json!(retention_s);
        });
    }

    /// Gives an entry VM an address for peers that stays the same from its next start on.
    pub fn fix_peer_address(&self, number: usize) {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = net::TcpListener::bind(any).and_then(|listener| listener.local_addr());
        let address = listener.expect("the loopback interface has a free port");
        self.change_settings(number, |settings| settings["peer_address"] = json!(address));
    }

    /// The log of the present process of an entry VM.
    pub fn present_log(&self, number: usize) -> String {
        let log = self.entries[number].log();
        let last = log.rfind("event=process_started").unwrap_or_default();
        log[last..].to_owned()
    }

    /// Changes the settings file of an entry VM, which reads it at its next start.
    pub fn change_settings(&self, number: usize, change: impl FnOnce(&mut Value)) {
        let path = &self.entries[number].settings;
        let text = fs::read_to_string(path).expect("the settings were written here");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        change(&mut settings);
        fs::write(path, settings.to_string()).expect("the test's folder is writable");
    }

    /// Kills an entry VM, and waits until it has started again, leads, and is ready.
    pub async fn restart_leader(&mut self, number: usize) {
        self.entries[number].restart();
        self.until("the entry VM leads again", async |fleet| {
            let log = fleet.present_log(number);
            log.contains("event=leadership_loaded")
        })
        .await;
        self.until("the entry VM is ready", async |fleet| {
            fleet.is_ready(number).await
        })
        .await;
    }

    /// The number of the entry VM that became the leader last, by the highest fencing token in the
    /// logs.
    pub fn leader(&self) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for (number, entry) in self.entries.iter().enumerate() {
            for line in entry.log().lines() {
                let acquired = line.contains(" event=leadership_acquired ");
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

    /// Polls a condition until it holds; panics with `what` after `WAIT_TIMEOUT`.
    pub async fn until(&self, what: &str, mut condition: impl AsyncFnMut(&Self) -> bool) {
        let end = time::Instant::now() + WAIT_TIMEOUT;
        while !condition(self).await {
            assert!(time::Instant::now() < end, "timed out waiting until {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request to an entry VM. Returns the status, the JSON body and the value of
    /// `Retry-After`; the status is 0 when there is no complete answer.
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
            .expect("the request is valid");
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

    /// Submits a job with one step after the other, of `counts` tasks each, and returns the status.
    pub async fn submit(&self, number: usize, id: u64, run_ms: u64, counts: &[u32]) -> u16 {
        let job = job(run_ms, counts);
        let path = format!("/bulk/{id:016x}");
        self.call(number, Method::POST, &path, job.to_string())
            .await
            .0
    }

    /// The state of a job in the answer of an entry VM; empty when the answer has none.
    pub async fn state(&self, number: usize, id: u64) -> String {
        let path = format!("/bulk/{id:016x}");
        let (_, value, _) = self.call(number, Method::GET, &path, String::new()).await;
        value["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Waits until an entry VM answers that a job has this state.
    pub async fn until_state(&self, number: usize, id: u64, state: &str) {
        self.until(&format!("job {id} is {state}"), async |fleet| {
            fleet.state(number, id).await == state
        })
        .await;
    }

    /// Whether the readiness probe of an entry VM succeeds.
    pub async fn is_ready(&self, number: usize) -> bool {
        let address = self.entries[number].ready;
        let uri = format!("http://{address}/ready").parse();
        let answer = self.client.get(uri.expect("the URI is valid")).await;
        answer.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// The metrics of an entry VM, in the text format.
    pub async fn metrics(&self, number: usize) -> String {
        let address = self.entries[number].metrics;
        let uri = format!("http://{address}/metrics").parse();
        let answer = self.client.get(uri.expect("the URI is valid")).await;
        let body = answer
            .expect("metrics are served")
            .into_body()
            .collect()
            .await;
        let bytes = body.expect("the metrics are complete").to_bytes();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Asserts that no worker got a second run of a task that it was running, and that no attempt
    /// was started twice on all workers.
    pub fn assert_no_duplicate_runs(&self) {
        let mut runs = collections::BTreeSet::new();
        for worker in &self.workers {
            assert_eq!(worker.duplicate_tasks(), Vec::<String>::new());
            for (task, attempt, _) in worker.started_runs() {
                assert!(
                    runs.insert((task.clone(), attempt)),
                    "attempt {attempt} of {task} was started twice"
                );
            }
        }
    }

    /// The number of attempts of a job's tasks that all workers have started.
    pub fn starts(&self, id: u64) -> usize {
        let prefix = format!("{id:016x}.");
        let started = self.workers.iter().flat_map(WorkerStandIn::started_runs);
        started
            .filter(|(task, ..)| task.starts_with(&prefix))
            .count()
    }

    /// The number of a job's tasks that are running.
    pub fn running(&self, id: u64) -> usize {
        let prefix = format!("{id:016x}.");
        let running = self.workers.iter().flat_map(WorkerStandIn::running);
        running.filter(|task| task.starts_with(&prefix)).count()
    }
}

/// A job with one step after the other, of `counts` tasks each; a task runs for `run_ms`.
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

/// The address under a key of a log line.
fn address_in(line: &str, key: &str) -> net::SocketAddr {
    let found = line.split(&[' ', '\n'][..]).find_map(|word| {
        let (name, value) = word.split_once('=')?;
        (name == key).then(|| value.parse().ok())?
    });
    found.unwrap_or_else(|| panic!("no {key} in {line:?}"))
}
