//! Runs the coordinator's decisions against the store and the workers.

use std::cell;
use std::rc;
use std::time;

use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::DecisionRecord;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_registry::WorkerReport;
use sapphirewalk_platform::discovery;
use sapphirewalk_platform::discovery::WorkerList;
use sapphirewalk_platform::store;
use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::FeedOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::worker::WorkerClient;
use tokio::sync::mpsc;
use tokio::task;

use crate::entry::election;
use crate::entry::election::ConflictMeaning;
use crate::entry::node::EntryNode;
use crate::entry::node::LeaderHandle;
use crate::entry::peer;
use crate::entry::records;
use crate::entry::records::JobRow;
use crate::entry::records::LeaderRow;
use crate::entry::records::RecordSet;

/// Time for recording a batch: 5 ms on a good day, 60 times as much on a bad one.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time before a call of the store that failed is made again.
const STORE_RETRY: time::Duration = time::Duration::from_millis(80);
/// How long the feed of jobs waits: short enough to notice a silent connection soon.
const FEED_WAIT: time::Duration = time::Duration::from_millis(2_000);
/// Time between readings of the list of workers: a leaving worker must get nothing new 2 s later.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// A predecessor is asked for this long: after that it gives no more orders in any case.
const PREDECESSOR_WATCH: time::Duration = time::Duration::from_secs(3);
/// Time between two such questions.
const PREDECESSOR_POLL: time::Duration = time::Duration::from_millis(250);
/// Missing workers stay in the list for this long after the store's return: their entries lapse
/// while it is away, and come back within about 2 s.
const LIST_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// What the tasks of one leadership share.
struct LeaderDriver {
    node: rc::Rc<EntryNode>,
    coordinator: rc::Rc<cell::RefCell<JobCoordinator>>,
    events: mpsc::UnboundedSender<Event>,
    workers: WorkerClient,
    row: cell::RefCell<LeaderRow>,
    version: cell::Cell<u64>,
    lost: cell::Cell<bool>,
    committing: cell::Cell<bool>,
}

/// Coordinates until the leadership is lost or released.
pub async fn coordinate(
    node: &rc::Rc<EntryNode>,
    row: LeaderRow,
    version: u64,
    asked_at: TimePoint,
    before: Option<LeaderRow>,
) {
    let read = records::read_all(&node.store).await;
    node.note_store("read_records", &read);
    let Ok(set) = read else {
        return leave_unused(node, row, version).await;
    };
    log_unreadable(node, &set);
    let (jobs, feed_from) = (set.records, set.version);
    let now = node.now();
    let limits = node.settings.coordinator_limits();
    let mut coordinator = JobCoordinator::new(limits, row.fence, asked_at);
    coordinator.set_rules((*node.current_rules()).clone());
    coordinator.restore(jobs, now);
    let (events, mut receiver) = mpsc::unbounded_channel();
    let driver = rc::Rc::new(LeaderDriver {
        node: node.clone(),
        coordinator: rc::Rc::new(cell::RefCell::new(coordinator)),
        events: events.clone(),
        workers: WorkerClient::default(),
        row: cell::RefCell::new(row),
        version: cell::Cell::new(version),
        lost: cell::Cell::new(false),
        committing: cell::Cell::new(false),
    });
    let fence = driver.row.borrow().fence;
    *node.leadership.borrow_mut() = Some(LeaderHandle {
        fence,
        coordinator: driver.coordinator.clone(),
        events,
    });
    node.gauges.takeover_ms.record(node.now().since(asked_at));
    // Dropping the set ends every task of this leadership.
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(list_workers(driver.clone()));
    tasks.spawn_local(follow_jobs(driver.clone(), feed_from));
    if let Some(before) = before {
        tasks.spawn_local(watch_predecessor(driver.clone(), before));
    }
    while !driver.lost.get() && !node.stopping.get() {
        while let Some(ended) = tasks.try_join_next() {
            if let Err(error) = ended {
                slog::error!(node.log, "leader_task_failed"; "error" => %error);
            }
        }
        let now = node.now();
        let (effects, wake) = {
            let mut coordinator = driver.coordinator.borrow_mut();
            coordinator.set_rules_if_newer(&node.rules.borrow());
            while let Ok(event) = receiver.try_recv() {
                coordinator.handle(event, now);
            }
            (coordinator.run(now), coordinator.next_wake(now))
        };
        for effect in effects {
            perform(&driver, &mut tasks, effect);
        }
        let pause = time::Duration::from(wake.since(node.now()));
        tokio::select! {
            event = receiver.recv() => {
                if let Some(event) = event {
                    driver.coordinator.borrow_mut().handle(event, node.now());
                }
            }
            () = tokio::time::sleep(pause) => {}
            () = node.rules_changed.notified() => {}
            () = node.stop_signal.notified() => {}
        }
    }
    let lost = driver.lost.get();
    *node.leadership.borrow_mut() = None;
    slog::info!(node.log, "leadership_released"; "fence" => fence, "lost" => lost);
    if !lost {
        release_leadership(&driver, tasks).await;
    }
}

/// Rows that can't be read are jobs that nobody will run: an operator has to know.
fn log_unreadable(node: &EntryNode, set: &RecordSet) {
    if !set.unreadable.is_empty() {
        slog::error!(node.log, "records_unreadable"; "rows" => set.unreadable.join(","));
    }
}

/// Gives the leadership up before anything was done in it.
async fn leave_unused(node: &EntryNode, mut row: LeaderRow, version: u64) {
    row.released = true;
    let change = records::leader_change(&row, version, None);
    let outcome = node.store.change(&change, BATCH_TIMEOUT).await;
    node.note_store("release_leadership", &outcome);
}

/// Releases the leadership so that another may take it at once.
async fn release_leadership(driver: &LeaderDriver, mut tasks: task::JoinSet<()>) {
    let deadline = tokio::time::Instant::now() + BATCH_TIMEOUT;
    while driver.committing.get() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    tasks.abort_all();
    let mut row = driver.row.borrow().clone();
    row.batch += 1;
    row.released = true;
    let change = records::leader_change(&row, driver.version.get(), None);
    let outcome = driver.node.store.change(&change, BATCH_TIMEOUT).await;
    driver.node.note_store("release_leadership", &outcome);
}

fn perform(driver: &rc::Rc<LeaderDriver>, tasks: &mut task::JoinSet<()>, effect: Effect) {
    let node = &driver.node;
    match effect {
        Effect::Log(decision) => log_decision(&node.log, &decision),
        Effect::StepDown => driver.lost.set(true),
        Effect::Commit(batch) => {
            driver.committing.set(true);
            tasks.spawn_local(record(driver.clone(), batch));
        }
        Effect::Start {
            target,
            run,
            spec,
            deadline_ms,
            checkpoint,
        } => {
            node.gauges.starts_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let sent_at = driver.node.now();
                let order =
                    driver
                        .workers
                        .start(&target, run, &spec.spec, deadline_ms, &checkpoint);
                let answer = order.await;
                let took = driver.node.now().since(sent_at);
                driver.node.gauges.start_ms.record(took);
                if !matches!(answer, OrderAnswer::Accepted { .. }) {
                    driver.node.gauges.starts_failed.increment();
                }
                driver.tell(Event::Started {
                    worker: target.worker,
                    run,
                    answer,
                });
            });
        }
        Effect::Stop { target, run } => {
            node.gauges.stops_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let answer = driver.workers.stop(&target, run).await;
                driver.tell(Event::Stopped {
                    worker: target.worker,
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
            node.gauges.paces_ordered.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let answer = driver.workers.pace(&target, run, percent).await;
                driver.tell(Event::Paced {
                    worker: target.worker,
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
        } => {
            node.gauges.polls_sent.increment();
            let driver = driver.clone();
            tasks.spawn_local(async move {
                let poll = driver.workers.poll(&target, deadline_ms, acked, wait_ms);
                let answer = poll.await;
                if !matches!(answer, PollAnswer::Lists { .. }) {
                    driver.node.gauges.polls_failed.increment();
                    driver.workers.forget(target.address);
                }
                driver.tell(Event::Polled {
                    worker: target.worker,
                    deadline_ms,
                    answer,
                });
            });
        }
    }
}

fn log_decision(log: &slog::Logger, decision: &DecisionRecord) {
    let DecisionRecord { event, job, detail } = decision;
    let space = if detail.is_empty() { "" } else { " " };
    match job {
        Some(job) => slog::info!(log, "{} job={}{}{}", event, job, space, detail),
        None => slog::info!(log, "{}{}{}", event, space, detail),
    }
}

impl LeaderDriver {
    fn tell(&self, event: Event) {
        // The receiver is gone only when the leadership has just been released.
        let _sent = self.events.send(event);
    }
}

/// Records a batch; tries until its outcome is known or the leadership is lost.
async fn record(driver: rc::Rc<LeaderDriver>, batch: CommitBatch) {
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
        node.note_store("record", &outcome);
        match outcome {
            Ok(ChangeOutcome::Done(version)) => {
                driver.version.set(version);
                break;
            }
            Ok(ChangeOutcome::Conflict(rows)) => match election::read_conflict(&rows, &row) {
                ConflictMeaning::Recorded(version) => {
                    driver.version.set(version);
                    break;
                }
                ConflictMeaning::Behind(version) => driver.version.set(version),
                ConflictMeaning::Lost => {
                    slog::warn!(node.log, "leadership_lost"; "fence" => row.fence,
                        "batch" => batch.number);
                    driver.lost.set(true);
                    node.stop_signal.notify_waiters();
                    return;
                }
            },
            Err(StoreError::Unknown) => {}
            Err(StoreError::Refused | StoreError::Malformed(_)) => {
                tokio::time::sleep(STORE_RETRY).await;
            }
        }
    }
    node.gauges.batches_recorded.increment();
    node.gauges.record_ms.record(node.now().since(sent_at));
    driver.committing.set(false);
    driver.tell(Event::Committed(batch.number));
    let forgotten = records::forget_changes(&batch.removed);
    for change in forgotten {
        // Rows that stay are dropped with the next job that is forgotten after a takeover.
        let outcome = node.store.change(&change, BATCH_TIMEOUT).await;
        node.note_store("forget_jobs", &outcome);
    }
}

/// Finds out whether the predecessor's process has ended, or had released the leadership itself.
async fn watch_predecessor(driver: rc::Rc<LeaderDriver>, before: LeaderRow) {
    let until = tokio::time::Instant::now() + PREDECESSOR_WATCH;
    let own = before.incarnation == driver.node.incarnation;
    let mut ended = before.released || own;
    while !ended && tokio::time::Instant::now() < until {
        ended = peer::has_ended(before.address, before.incarnation).await;
        if !ended {
            tokio::time::sleep(PREDECESSOR_POLL).await;
        }
    }
    if ended {
        let now = driver.node.now();
        driver.coordinator.borrow_mut().predecessor_ended(now);
    }
}

/// Reads the platform's list of workers again and again.
async fn list_workers(driver: rc::Rc<LeaderDriver>) {
    let node = &driver.node;
    let mut unreadable: Vec<String> = Vec::new();
    let mut known: Vec<WorkerReport> = Vec::new();
    let mut failed_at: Option<tokio::time::Instant> = None;
    loop {
        let read = node
            .store
            .read_part(store::WORKER_TABLE, "", records::READ_TIMEOUT)
            .await;
        node.note_store("list_workers", &read);
        if let Ok(page) = read {
            let WorkerList {
                mut reports,
                unreadable: unread,
            } = discovery::worker_list(&page.rows);
            if unread != unreadable {
                slog::warn!(node.log, "workers_unreadable"; "rows" => unread.join(","));
                unreadable = unread;
            }
            let graced = failed_at.is_some_and(|at| at.elapsed() < LIST_GRACE);
            if graced {
                // Entries that lapsed while the store was away come back soon.
                for report in &known {
                    if reports.iter().all(|other| other.id != report.id) {
                        reports.push(report.clone());
                    }
                }
            } else {
                failed_at = None;
            }
            known.clone_from(&reports);
            let now = node.now();
            driver.coordinator.borrow_mut().set_workers(reports, now);
        } else {
            failed_at = Some(tokio::time::Instant::now());
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Follows the table of accepted jobs.
async fn follow_jobs(driver: rc::Rc<LeaderDriver>, from: u64) {
    let node = &driver.node;
    let mut version = from;
    loop {
        let fed = node
            .store
            .feed(records::JOB_TABLE, version, FEED_WAIT)
            .await;
        node.note_store("follow_jobs", &fed);
        match fed {
            Ok(FeedOutcome::Changes(page)) => {
                version = version.max(page.version);
                for row in page.rows.iter().filter(|row| !row.dropped) {
                    match records::job_row(row) {
                        Some(JobRow::Accepted(record)) => driver.tell(Event::Stored(record)),
                        Some(JobRow::Cancelled(id)) => driver.tell(Event::Cancelled(id)),
                        None => slog::error!(node.log, "records_unreadable"; "rows" => &row.key),
                    }
                }
            }
            Ok(FeedOutcome::Forgotten) => {
                slog::info!(node.log, "feed_forgotten"; "table" => records::JOB_TABLE,
                    "version" => version);
                let read = records::read_all(&node.store).await;
                node.note_store("read_records", &read);
                let Ok(set) = read else {
                    tokio::time::sleep(STORE_RETRY).await;
                    continue;
                };
                log_unreadable(node, &set);
                version = set.version;
                let jobs = set.records;
                for record in jobs.jobs {
                    driver.tell(Event::Stored(record));
                }
                for id in jobs.cancelled {
                    driver.tell(Event::Cancelled(id));
                }
            }
            Err(_) => tokio::time::sleep(STORE_RETRY).await,
        }
    }
}
