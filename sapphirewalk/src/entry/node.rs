//! State shared by the tasks of an entry VM process.

use std::cell;
use std::collections;
use std::rc;
use std::sync;

use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::leadership_handback::LeadershipHandback;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::work_rule::WorkRules;
use sapphirewalk_platform::store::StoreClient;
use sapphirewalk_platform::store::StoreError;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::caller_server::CallerServer;
use crate::caller_server::ProcessResources;
use crate::caller_server::ServerLimits;
use crate::clock::ProcessClock;
use crate::entry::evacuation::EvacuationTracker;
use crate::entry::metric::EntryMetrics;
use crate::entry::peer::PeerLink;
use crate::entry::settings::EntrySettings;

/// Time since the first failed call after which the store counts as unreachable. It is longer than
/// one slow answer takes.
const STORE_OUTAGE_THRESHOLD: TimeSpan = TimeSpan::from_millis(900);

/// The coordinator of this process, while this process is the leader.
#[derive(Clone, Debug)]
pub struct LeaderHandle {
    /// The fencing token of this leadership. It rises with every leadership of any process.
    pub fence: u64,
    /// The coordinator's state. Tasks borrow it only between await points.
    pub coordinator: rc::Rc<cell::RefCell<JobCoordinator>>,
    /// The peers' shares of a core, which decide whether the leadership is handed back.
    pub handback: rc::Rc<cell::RefCell<LeadershipHandback>>,
    /// Queue of events for the coordinator. Sending fails once the leadership has ended.
    pub events: mpsc::UnboundedSender<Event>,
}

/// State shared by the tasks of one process, all of which run on one thread.
pub struct EntryNode {
    /// The settings read at start, with the port numbers that the system assigned.
    pub settings: EntrySettings,
    /// Source of all time points in this process.
    pub clock: ProcessClock,
    /// Random number drawn at start, which distinguishes this run of the process from others on the
    /// VM.
    pub incarnation: u64,
    /// Logger that adds the VM's name to each line.
    pub log: slog::Logger,
    /// Counters and histograms that the metrics address serves.
    pub metrics: EntryMetrics,
    /// What this process may use.
    pub resources: ProcessResources,
    /// Connections of callers.
    pub callers: sync::Arc<CallerServer>,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// The rules in force. Version 0 means that none have been read yet.
    pub rules: cell::RefCell<rc::Rc<WorkRules>>,
    /// Version of the last row with rules that could not be read; 0 before.
    pub unreadable_rules: cell::Cell<u64>,
    /// Time up to which all changes of the rules are in force here, as the store's answers prove.
    /// `None` before the first answer.
    rules_confirmed_at: cell::Cell<Option<TimePoint>>,
    /// Last version from which the store no longer had the changes of the operators' table. There are
    /// newer ones, so a read that returns no higher version is behind.
    pub forgotten_rules_version: cell::Cell<u64>,
    /// The operators' requests to evacuate failure domains.
    pub evacuations: cell::RefCell<EvacuationTracker>,
    /// Notified when the rules in force or the evacuation requests change, or the requests are
    /// confirmed.
    pub operator_changed: Notify,
    /// Set while this process is the leader.
    pub leadership: cell::RefCell<Option<LeaderHandle>>,
    /// The connection to the leader while another process leads and is connected.
    pub link: cell::RefCell<Option<rc::Rc<PeerLink>>>,
    /// Fencing token of the leadership for which this process loads the records.
    pub loading: cell::Cell<Option<u64>>,
    /// Notified when this process has loaded the records, or can't.
    pub load_ended: Notify,
    /// Notified when a connection of a peer is turned away: the leader row may name this process.
    pub turned_away: Notify,
    /// Number of connections of peers that were turned away because this process doesn't lead.
    pub peers_turned_away: cell::Cell<u64>,
    /// Number of connections of peers so far.
    peer_connections: cell::Cell<u64>,
    /// Set when shutdown begins, and never cleared.
    pub stopping: cell::Cell<bool>,
    /// Notified when shutdown begins or the leadership is lost.
    pub stop_signal: Notify,
    /// Time of the first failed call since the last successful one. `None` while the store answers.
    store_lost_at: cell::Cell<Option<TimePoint>>,
    /// The last pending-job count of each queue and the time at which the coordinator gave it.
    /// Served while no coordinator answers.
    pub pending_counts: cell::RefCell<collections::BTreeMap<String, (usize, TimePoint)>>,
}

impl EntryNode {
    /// State of a process that has just started: no rules, no leadership and no connection.
    pub fn new(settings: EntrySettings, log: slog::Logger) -> Self {
        let clock = ProcessClock::start();
        let resources = ProcessResources::of_process(settings.limits);
        let limits = ServerLimits::for_requests(resources);
        Self {
            resources,
            callers: CallerServer::new("callers", limits, clock, log.clone()),
            incarnation: rand::random(),
            store: StoreClient::new(settings.store_address),
            settings,
            clock,
            log,
            metrics: EntryMetrics::default(),
            rules: cell::RefCell::default(),
            unreadable_rules: cell::Cell::default(),
            rules_confirmed_at: cell::Cell::default(),
            forgotten_rules_version: cell::Cell::default(),
            evacuations: cell::RefCell::default(),
            operator_changed: Notify::new(),
            leadership: cell::RefCell::new(None),
            link: cell::RefCell::new(None),
            loading: cell::Cell::new(None),
            load_ended: Notify::new(),
            turned_away: Notify::new(),
            peers_turned_away: cell::Cell::new(0),
            peer_connections: cell::Cell::new(0),
            stopping: cell::Cell::new(false),
            stop_signal: Notify::new(),
            store_lost_at: cell::Cell::new(None),
            pending_counts: cell::RefCell::default(),
        }
    }

    /// Current time of the process's clock.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The rules in force. Version 0 means that none have been read yet.
    pub fn current_rules(&self) -> rc::Rc<WorkRules> {
        self.rules.borrow().clone()
    }

    /// Records that the store has returned all changes of the rules until `confirmed_at`.
    pub fn confirm_rules(&self, confirmed_at: TimePoint) {
        match self.rules_confirmed_at.get() {
            Some(before) if before >= confirmed_at => return,
            Some(before) => self.metrics.rules_gap_ms.record(confirmed_at.since(before)),
            None => {}
        }
        self.rules_confirmed_at.set(Some(confirmed_at));
    }

    /// Time since the store confirmed the rules in force. `None` if it never has.
    pub fn rules_age(&self, now: TimePoint) -> Option<TimeSpan> {
        let confirmed_at = self.rules_confirmed_at.get()?;
        Some(now.since(confirmed_at))
    }

    /// Whether the rules in force are so recent that a queue that they don't have doesn't exist.
    pub fn rules_prove_absence(&self, now: TimePoint) -> bool {
        let bound = self.settings.bounds.rules_bound();
        self.rules_age(now).is_some_and(|age| age <= bound)
    }

    /// Sets the metric of the age of the rules; 0 before they are first read.
    pub fn update_rules_metric(&self) {
        let age = self.rules_age(self.now()).unwrap_or(TimeSpan::ZERO);
        let age_ms = usize::try_from(age.as_millis()).unwrap_or(usize::MAX);
        self.metrics.rules_age_ms.set(age_ms);
    }

    /// A number for a connection of a peer that no other connection has.
    pub fn number_connection(&self) -> u64 {
        let number = self.peer_connections.get();
        self.peer_connections.set(number + 1);
        number
    }

    /// The coordinator of this process. `None` while it isn't the leader.
    pub fn own_leadership(&self) -> Option<LeaderHandle> {
        self.leadership.borrow().clone()
    }

    /// Sets the metrics of evacuations to their present values.
    pub fn update_evacuation_metrics(&self) {
        let domains = self.evacuations.borrow().view().requests.len();
        let leadership = self.leadership.borrow();
        let tasks = leadership
            .as_ref()
            .map_or(0, |leader| leader.coordinator.borrow().evacuated_tasks());
        self.metrics.domains_evacuated.set(domains);
        self.metrics.evacuated_tasks.set(tasks);
    }

    /// The connection to the leader in another process. `None` while there is none.
    pub fn peer_link(&self) -> Option<rc::Rc<PeerLink>> {
        self.link.borrow().clone()
    }

    /// Records whether a store call succeeded, and logs the begin and the end of an outage.
    pub fn record_store_outcome<T>(&self, call: &'static str, outcome: &Result<T, StoreError>) {
        match outcome {
            Ok(_) => {
                if let Some(lost_at) = self.store_lost_at.take() {
                    let outage = self.now().since(lost_at);
                    slog::info!(self.log, "store_regained"; "call" => call, "after" => %outage);
                }
            }
            Err(error) => {
                self.metrics.store_errors.increment();
                if self.store_lost_at.get().is_none() {
                    self.store_lost_at.set(Some(self.now()));
                    slog::warn!(self.log, "store_lost"; "call" => call, "error" => %error);
                }
            }
        }
    }

    /// Whether the store counts as reachable. A failure younger than the threshold doesn't count as
    /// an outage.
    pub fn store_is_reachable(&self) -> bool {
        self.store_lost_at
            .get()
            .is_none_or(|lost_at| self.now().since(lost_at) < STORE_OUTAGE_THRESHOLD)
    }

    /// Whether the balancer should send callers to this VM. False during shutdown, before rules are
    /// read and while the store is unreachable.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.rules.borrow().version > 0 && self.store_is_reachable()
    }
}
