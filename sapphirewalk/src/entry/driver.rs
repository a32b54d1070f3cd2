//! Executes the coordinator's decisions: writes to the store and sends orders to workers.

use std::cell;
use std::rc;
use std::time;

use futures::FutureExt;
use futures::future;
use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::DecisionLevel;
use sapphirewalk_core::coordinator::DecisionRecord;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RunPhase;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::leadership_handback::HandbackStep;
use sapphirewalk_core::leadership_handback::LeadershipHandback;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_registry::WorkerListing;
use sapphirewalk_platform::discovery;
use sapphirewalk_platform::discovery::WorkerList;
use sapphirewalk_platform::store;
use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::FeedOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::worker::WorkerClient;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task;

use crate::entry::election;
use crate::entry::election::LeaderConflict;
use crate::entry::load::LeaderWork;
use crate::entry::load::LoadMeter;
use crate::entry::log;
use crate::entry::node::EntryNode;
use crate::entry::node::LeaderHandle;
use crate::entry::peer;
use crate::entry::records;
use crate::entry::records::JobRow;
use crate::entry::records::LeaderRow;
use crate::entry::rules;

/// Timeout for writing a batch. The transaction takes 5 ms, with its answer 9 ms, or up to 60 times
/// as long on a slow store.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(80);
/// Delay before all records are read again after a read that was behind. New jobs also arrive from
/// the VMs that accepted them.
const STALE_READ_DELAY: time::Duration = time::Duration::from_millis(500);
/// Wait time of a long poll on the job feed. It is short so that a dead connection is detected
/// soon.
const FEED_WAIT: time::Duration = time::Duration::from_millis(2_000);
/// Interval between measurements of the leader's lag.
const LAG_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval between log lines about the leader's load.
const LOAD_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Interval between reads of the worker list. No new task may start on a leaving worker later than
/// 2 s after its notice.
const WORKER_LIST_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// How long the predecessor's process is probed. After that its authority to send orders has
/// expired in any case.
const PREDECESSOR_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Interval between probes of the predecessor.
const PREDECESSOR_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How long missing workers stay in the list after a failed read. Their entries expire while the
/// store is unreachable and reappear within about 2 s of its return.
const WORKER_LIST_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// State shared by the tasks of one leadership.
struct LeaderDriver {
    node: rc::Rc<EntryNode>,
    coordinator: rc::Rc<cell::RefCell<JobCoordinator>>,
    events: mpsc::UnboundedSender<Event>,
    workers: WorkerClient,
    meter: LoadMeter,
    /// The leader row as this process last wrote or tried to write it.
    row: cell::RefCell<LeaderRow>,
    /// Store version of the leader row, expected by the next write.
    version: cell::Cell<u64>,
    /// Another process holds the leadership, or the coordinator has stepped down.
    lost: cell::Cell<bool>,
    /// A batch is being written.
    committing: cell::Cell<bool>,
}

/// A leadership that this process has acquired.
#[derive(Debug)]
pub struct LeaderTenure {
    /// The leader row as written.
    pub row: LeaderRow,
    /// Store version of the row.
    pub version: u64,
    /// When the write of the row was requested.
    pub requested_at: TimePoint,
    /// The row that was replaced; `None` if there was none, or it couldn't be read.
    pub predecessor: Option<LeaderRow>,
    /// Decides whether the leadership is handed back to a larger VM.
    pub handback: LeadershipHandback,
}

/// Runs the coordinator until the leadership is lost or released.
pub async fn coordinate(node: &rc::Rc<EntryNode>, tenure: LeaderTenure) {
    let LeaderTenure {
        row,
        version,
        requested_at,
        predecessor,
        handback,
    } = tenure;
    let handback = rc::Rc::new(cell::RefCell::new(handback));
    let acquired_at = node.now();
    let turned_away_before = node.peers_turned_away.get();
    node.loading.set(Some(row.fence));
    let (read, ()) = futures::join!(
        records::read_all(&node.store),
        rules::confirm_evacuations(node)
    );
    node.record_store_outcome("read_records", &read);
    let Ok(set) = read else {
        end_load(node);
        // A row that stays unreleased is found by the election.
        let _released = release_unused(node, row, version).await;
        return;
    };
    log_unreadable(node, &set.unreadable, set.unnamed);
    let (jobs, feed_from) = (set.records, set.version);
    let now = node.now();
    let limits = node.settings.coordinator_limits();
    let mut coordinator = JobCoordinator::new(limits, row.fence, requested_at);
    if !node.settings.reservations {
        coordinator.disable_reservations();
    }
    coordinator.set_rules((*node.current_rules()).clone());
    coordinator.restore(jobs, now);
    let (events, mut receiver) = mpsc::unbounded_channel();
    let driver = rc::Rc::new(LeaderDriver {
        node: node.clone(),
        coordinator: rc::Rc::new(cell::RefCell::new(coordinator)),
        events: events.clone(),
        workers: WorkerClient::default(),
        meter: LoadMeter::default(),
        row: cell::RefCell::new(row),
        version: cell::Cell::new(version),
        lost: cell::Cell::new(false),
        committing: cell::Cell::new(false),
    });
    let fence = driver.row.borrow().fence;
    *node.leadership.borrow_mut() = Some(LeaderHandle {
        fence,
        coordinator: driver.coordinator.clone(),
        handback: handback.clone(),
        events,
    });
    end_load(node);
    let turned_away = node.peers_turned_away.get() - turned_away_before;
    slog::info!(node.log, "leadership_loaded"; "fence" => fence, "read" => %now.since(acquired_at),
        "restore" => %node.now().since(now), "peers_turned_away" => turned_away);
    node.metrics
        .takeover_ms
        .record(node.now().since(requested_at));
    // Dropping the set aborts every task of this leadership.
    let mut tasks = task::JoinSet::new();
    for follower in [
        list_workers(driver.clone()).boxed_local(),
        follow_jobs(driver.clone(), feed_from).boxed_local(),
    ] {
        let driver = driver.clone();
        tasks.spawn_local(async move { driver.meter.follow(LeaderWork::Follow, follower).await });
    }
    tasks.spawn_local(measure_lag(driver.clone()));
    tasks.spawn_local(report_load(driver.clone()));
    // A predecessor without a batch never served, so the leader before it may still do so.
    if let Some(predecessor) = predecessor.filter(|row| row.batch > 0) {
        tasks.spawn_local(watch_predecessor(driver.clone(), predecessor));
    }
    let mut given_changes = None;
    let mut successor_cpu = None;
    while !driver.lost.get() && !node.stopping.get() && successor_cpu.is_none() {
        while let Some(ended) = tasks.try_join_next() {
            if let Err(error) = ended {
                slog::error!(node.log, "leader_task_failed"; "error" => %error);
            }
        }
        let now = node.now();
        let (effects, wake) = {
            let mut coordinator = driver.coordinator.borrow_mut();
            coordinator.set_rules_if_newer(&node.rules.borrow());
            give_evacuations(node, &mut coordinator, acquired_at, &mut given_changes);
            driver.meter.measure(LeaderWork::Events, || {
                while let Ok(event) = receiver.try_recv() {
                    coordinator.handle(event, now);
                }
            });
            for phase in RunPhase::ALL {
                let work = LeaderWork::from(phase);
                driver
                    .meter
                    .measure(work, || coordinator.run_phase(phase, now));
            }
            (coordinator.take_effects(), coordinator.next_wake(now))
        };
        for effect in effects {
            execute_effect(&driver, &mut tasks, effect);
        }
        let batch_age = now.since(driver.coordinator.borrow().committed_at());
        match handback.borrow_mut().decide(batch_age, now) {
            HandbackStep::Keep => {}
            HandbackStep::Release(cpu_millis) => {
                slog::info!(node.log, "leadership_handed_back"; "fence" => fence,
                    "largest_cpu" => cpu_millis);
                successor_cpu = Some(cpu_millis);
                continue;
            }
        }
        let pause = time::Duration::from(wake.since(node.now()));
        tokio::select! {
            event = receiver.recv() => {
                if let Some(event) = event {
                    driver.coordinator.borrow_mut().handle(event, node.now());
                }
            }
            () = tokio::time::sleep(pause) => {}
            () = node.operator_changed.notified() => {}
            () = node.stop_signal.notified() => {}
        }
    }
    let lost = driver.lost.get();
    *node.leadership.borrow_mut() = None;
    node.metrics.unreadable_workers.set(0);
    slog::info!(node.log, "leadership_released"; "fence" => fence, "lost" => lost);
    if !lost {
        release_leadership(&driver, tasks, successor_cpu).await;
    }
}

/// Gives the coordinator the evacuation requests, if they changed or were confirmed since the last
/// time. With a bound on evacuations, a view is given only if the store confirmed it after this
/// process acquired the leadership; until then the coordinator starts nothing.
fn give_evacuations(
    node: &EntryNode,
    coordinator: &mut JobCoordinator,
    acquired_at: TimePoint,
    given_changes: &mut Option<u64>,
) {
    let tracker = node.evacuations.borrow();
    let bounded = node.settings.bounds.evacuation_ms.is_some();
    let outdated = bounded && tracker.view().read_at < acquired_at;
    if !outdated && *given_changes != Some(tracker.changes()) {
        coordinator.set_evacuations(tracker.view(), node.now());
        *given_changes = Some(tracker.changes());
    }
}

/// Reports rows that can't be decoded. An operator has to act on them, because the jobs in them
/// never run.
fn log_unreadable(node: &EntryNode, keys: &[String], unnamed: usize) {
    if !keys.is_empty() || unnamed > 0 {
        slog::error!(node.log, "records_unreadable"; "rows" => log::show_keys(keys),
            "unnamed" => unnamed);
    }
}

fn end_load(node: &EntryNode) {
    node.loading.set(None);
    node.load_ended.notify_waiters();
}

/// Releases a leadership in which nothing was done, because the records couldn't be read.
///
/// # Errors
///
/// If the store refuses the write or doesn't answer.
pub async fn release_unused(
    node: &EntryNode,
    mut row: LeaderRow,
    version: u64,
) -> Result<ChangeOutcome, StoreError> {
    row.released = true;
    slog::info!(node.log, "leadership_released"; "fence" => row.fence, "lost" => false);
    let change = records::leader_change(&row, version, None);
    let outcome = node.store.change(&change, BATCH_TIMEOUT).await;
    node.record_store_outcome("release_leadership", &outcome);
    outcome
}

/// Waits for the batch in flight, then releases the leadership so that another process can take it
/// at once. `successor_cpu` is the share of the VM for which it is released, so that smaller ones
/// wait for it.
async fn release_leadership(
    driver: &LeaderDriver,
    mut tasks: task::JoinSet<()>,
    successor_cpu: Option<u64>,
) {
    let deadline = tokio::time::Instant::now() + BATCH_TIMEOUT;
    while driver.committing.get() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    tasks.abort_all();
    let mut row = driver.row.borrow().clone();
    row.batch += 1;
    row.released = true;
    row.cpu_millis = successor_cpu.unwrap_or(row.cpu_millis);
    let change = records::leader_change(&row, driver.version.get(), None);
    let outcome = driver.node.store.change(&change, BATCH_TIMEOUT).await;
    driver
        .node
        .record_store_outcome("release_leadership", &outcome);
}

fn execute_effect(driver: &rc::Rc<LeaderDriver>, tasks: &mut task::JoinSet<()>, effect: Effect) {
    let node = &driver.node;
    match effect {
        Effect::Log(decision) => driver
            .meter
            .measure(LeaderWork::Log, || log_decision(&node.log, &decision)),
        Effect::StepDown => driver.lost.set(true),
        Effect::Commit(batch) => {
            driver.committing.set(true);
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let commit = commit_batch(&driver, batch);
                driver.meter.follow(LeaderWork::RecordCalls, commit).await;
            });
        }
        Effect::DeleteRows(ids) => {
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let deletion = delete_rows(&driver, ids);
                driver.meter.follow(LeaderWork::RecordCalls, deletion).await;
            });
        }
        Effect::Start {
            target,
            run,
            spec,
            deadline_ms,
            checkpoint,
        } => {
            node.metrics.starts_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let sent_at = driver.node.now();
                let order =
                    driver
                        .workers
                        .start(&target, run, &spec.spec, deadline_ms, &checkpoint);
                let answer = driver.meter.follow(LeaderWork::StartCalls, order).await;
                let took = driver.node.now().since(sent_at);
                driver.node.metrics.start_ms.record(took);
                if !matches!(answer, OrderAnswer::Accepted { .. }) {
                    driver.node.metrics.starts_failed.increment();
                }
                driver.send_event(Event::Started {
                    worker: target.worker,
                    fence: target.fence,
                    run,
                    answer,
                });
            });
        }
        Effect::Stop { target, run } => {
            node.metrics.stops_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let order = driver.workers.stop(&target, run);
                let answer = driver.meter.follow(LeaderWork::OrderCalls, order).await;
                driver.send_event(Event::Stopped {
                    worker: target.worker,
                    fence: target.fence,
                    run,
                    answer,
                });
            });
        }
        Effect::Pace {
            target,
            run,
            percent,
        } => {
            node.metrics.paces_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let order = driver.workers.pace(&target, run, percent);
                let answer = driver.meter.follow(LeaderWork::OrderCalls, order).await;
                driver.send_event(Event::Paced {
                    worker: target.worker,
                    fence: target.fence,
                    run,
                    percent,
                    answer,
                });
            });
        }
        Effect::Poll {
            target,
            deadline_ms,
            acked,
            wait_ms,
            timeout_ms,
        } => {
            node.metrics.polls_sent.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let workers = &driver.workers;
                let poll = workers.poll(&target, deadline_ms, acked, wait_ms, timeout_ms);
                let answer = driver.meter.follow(LeaderWork::PollCalls, poll).await;
                if !matches!(answer, PollAnswer::Lists { .. }) {
                    driver.node.metrics.polls_failed.increment();
                }
                driver.send_event(Event::Polled {
                    worker: target.worker,
                    deadline_ms,
                    answer,
                });
            });
        }
    }
}

fn log_decision(log: &slog::Logger, decision: &DecisionRecord) {
    let DecisionRecord {
        level,
        event,
        job,
        detail,
    } = decision;
    let space = if detail.is_empty() { "" } else { " " };
    let job = job.map_or_else(String::new, |job| format!(" job={job}"));
    match level {
        DecisionLevel::Info => slog::info!(log, "{}{}{}{}", event, job, space, detail),
        DecisionLevel::Warning => slog::warn!(log, "{}{}{}{}", event, job, space, detail),
    }
}

impl LeaderDriver {
    fn send_event(&self, event: Event) {
        // The receiver is closed only if the leadership has just been released.
        let _sent = self.events.send(event);
    }
}

/// Writes a batch to the store. Retries until the outcome is known or the leadership is lost. A
/// batch that the store refuses for good goes back to the coordinator.
async fn commit_batch(driver: &LeaderDriver, batch: CommitBatch) {
    let node = &driver.node;
    let row = {
        let mut row = driver.row.borrow_mut();
        row.batch = batch.number;
        row.clone()
    };
    let sent_at = node.now();
    loop {
        let change = records::leader_change(&row, driver.version.get(), Some(&batch));
        let outcome = node.store.change(&change, BATCH_TIMEOUT).await;
        node.record_store_outcome("record", &outcome);
        driver.meter.record_write(&outcome);
        match outcome {
            Ok(ChangeOutcome::Applied(version)) => {
                driver.version.set(version);
                break;
            }
            Ok(ChangeOutcome::Conflict(rows)) => match election::classify_conflict(&rows, &row) {
                LeaderConflict::Recorded(version) => {
                    driver.version.set(version);
                    break;
                }
                LeaderConflict::Behind(version) => driver.version.set(version),
                LeaderConflict::Lost => {
                    slog::warn!(node.log, "leadership_lost"; "fence" => row.fence,
                        "batch" => batch.number);
                    driver.lost.set(true);
                    node.stop_signal.notify_waiters();
                    return;
                }
            },
            Err(error) if error.is_rejection() => {
                driver.committing.set(false);
                driver.send_event(Event::Rejected(batch.number));
                return;
            }
            Err(StoreError::Unknown) => {}
            Err(StoreError::Refused | StoreError::Malformed(_)) => {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
    node.metrics.batches_recorded.increment();
    node.metrics.record_ms.record(node.now().since(sent_at));
    driver.committing.set(false);
    driver.send_event(Event::Committed(batch.number));
}

/// Deletes the rows of jobs past their retention, except their progress. Reports those of which the
/// store confirmed it; the coordinator orders the others again.
async fn delete_rows(driver: &LeaderDriver, ids: Vec<JobId>) {
    let node = &driver.node;
    let changes = records::deletion_changes(ids);
    let calls = changes.into_iter().map(|(ids, change)| async move {
        let outcome = node.store.change(&change, BATCH_TIMEOUT).await;
        node.record_store_outcome("delete_rows", &outcome);
        match outcome {
            Ok(ChangeOutcome::Applied(_)) => ids,
            Ok(ChangeOutcome::Conflict(_)) | Err(_) => Vec::new(),
        }
    });
    let deleted = future::join_all(calls).await.concat();
    driver.send_event(Event::RowsDeleted(deleted));
}

/// Reports to the coordinator that the predecessor has ended, once its process has ended or if it
/// had released the leadership. A process that restarts and leads again is its own successor.
async fn watch_predecessor(driver: rc::Rc<LeaderDriver>, predecessor: LeaderRow) {
    let deadline = tokio::time::Instant::now() + PREDECESSOR_WATCH_TIMEOUT;
    let node = &driver.node;
    let is_own = predecessor.incarnation == node.incarnation;
    // This process is bound to the address, so no other one is.
    let has_its_address = predecessor.address == node.settings.peer_address;
    let mut ended = predecessor.released || is_own || has_its_address;
    while !ended && tokio::time::Instant::now() < deadline {
        ended = peer::has_ended(predecessor.address, predecessor.incarnation).await;
        if !ended {
            tokio::time::sleep(PREDECESSOR_POLL_INTERVAL).await;
        }
    }
    if ended {
        let now = driver.node.now();
        driver.coordinator.borrow_mut().predecessor_ended(now);
    }
}

/// Measures how late the process handles timers, which is how long its other work waits.
async fn measure_lag(driver: rc::Rc<LeaderDriver>) {
    loop {
        let due = tokio::time::Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        let lag = TimeSpan::from(due.elapsed());
        driver.node.metrics.lag_ms.record(lag);
        let now = driver.node.now();
        driver.coordinator.borrow_mut().observe_lag(lag, now);
    }
}

/// Logs where the leader's processor time goes and what waits for it, at a fixed interval.
async fn report_load(driver: rc::Rc<LeaderDriver>) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        let busy = runtime::Handle::current()
            .metrics()
            .worker_total_busy_duration(0);
        let load = driver.coordinator.borrow_mut().take_load_report();
        for wait in &load.restart_waits {
            driver.node.metrics.restart_wait_ms.record(*wait);
        }
        for duration in &load.violations {
            driver.node.metrics.violation_ms.record(*duration);
        }
        let line = driver.meter.report(busy, &load);
        slog::info!(driver.node.log, "leader_load {}", line);
    }
}

/// Reads the platform's worker list at a fixed interval.
async fn list_workers(driver: rc::Rc<LeaderDriver>) {
    let node = &driver.node;
    let mut odd_rows = (Vec::new(), 0);
    let mut last_listings: Vec<WorkerListing> = Vec::new();
    let mut failed_at: Option<tokio::time::Instant> = None;
    loop {
        let read = node
            .store
            .read_partition(store::WORKER_TABLE, "", records::PART_READ_TIMEOUT)
            .await;
        node.record_store_outcome("list_workers", &read);
        if let Ok(page) = read {
            let WorkerList {
                mut listings,
                unreadable,
            } = discovery::parse_worker_list(&page.rows);
            let now_odd = (unreadable, page.unnamed);
            if now_odd != odd_rows {
                let (keys, unnamed) = &now_odd;
                slog::warn!(node.log, "workers_unreadable"; "rows" => log::show_keys(keys),
                    "unnamed" => unnamed);
                node.metrics.unreadable_workers.set(keys.len() + unnamed);
                odd_rows = now_odd;
            }
            let in_grace = failed_at.is_some_and(|at| at.elapsed() < WORKER_LIST_GRACE);
            if in_grace {
                // Entries that expired while the store was unreachable reappear soon.
                for listing in &last_listings {
                    if listings.iter().all(|other| other.id != listing.id) {
                        listings.push(listing.clone());
                    }
                }
            } else {
                failed_at = None;
            }
            last_listings.clone_from(&listings);
            let now = node.now();
            driver.coordinator.borrow_mut().set_workers(listings, now);
        } else {
            failed_at = Some(tokio::time::Instant::now());
        }
        tokio::time::sleep(WORKER_LIST_INTERVAL).await;
    }
}

/// Follows the feed of the job table from a version. Reads all rows again if the store no longer
/// has the changes since then.
async fn follow_jobs(driver: rc::Rc<LeaderDriver>, from_version: u64) {
    let node = &driver.node;
    let mut version = from_version;
    loop {
        let outcome = node
            .store
            .feed(records::JOB_TABLE, version, FEED_WAIT)
            .await;
        node.record_store_outcome("follow_jobs", &outcome);
        match outcome {
            Ok(FeedOutcome::Changes(page)) => {
                version = version.max(page.version);
                let mut unreadable = Vec::new();
                for row in page.rows.iter().filter(|row| !row.deleted) {
                    match records::parse_job_row(row) {
                        Some(JobRow::Accepted(record)) => driver.send_event(Event::Stored(record)),
                        Some(JobRow::Cancelled(id)) => driver.send_event(Event::Cancelled(id)),
                        None => unreadable.push(row.key.clone()),
                    }
                }
                log_unreadable(node, &unreadable, page.unnamed);
            }
            Ok(FeedOutcome::Compacted) => {
                slog::info!(node.log, "feed_forgotten"; "table" => records::JOB_TABLE,
                    "version" => version);
                let read = records::read_all(&node.store).await;
                node.record_store_outcome("read_records", &read);
                let Ok(set) = read else {
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                    continue;
                };
                log_unreadable(node, &set.unreadable, set.unnamed);
                let is_behind = set.version <= version;
                version = version.max(set.version);
                let jobs = set.records;
                for record in jobs.jobs {
                    driver.send_event(Event::Stored(record));
                }
                for id in jobs.cancelled {
                    driver.send_event(Event::Cancelled(id));
                }
                if is_behind {
                    // The store has newer changes than the read returned.
                    tokio::time::sleep(STALE_READ_DELAY).await;
                }
            }
            Err(_) => tokio::time::sleep(STORE_RETRY_DELAY).await,
        }
    }
}
