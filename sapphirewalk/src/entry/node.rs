//! What the parts of an entry VM's process share.

use std::cell;
use std::collections;
use std::rc;

use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::work_rule::WorkRules;
use sapphirewalk_platform::store::StoreClient;
use sapphirewalk_platform::store::StoreError;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::clock::ProcessClock;
use crate::entry::gauge::EntryGauges;
use crate::entry::peer::PeerLink;
use crate::entry::settings::EntrySettings;

/// A store that has not answered for this long counts as out of reach: over a slow answer.
const STORE_SILENCE: TimeSpan = TimeSpan::from_millis(900);

/// The coordinator of this process, while it leads.
#[derive(Clone, Debug)]
pub struct LeaderHandle {
    /// Its fencing token.
    pub fence: u64,
    /// The decisions.
    pub coordinator: rc::Rc<cell::RefCell<JobCoordinator>>,
    /// Takes events.
    pub events: mpsc::UnboundedSender<Event>,
}

/// State shared by the tasks of one process; all of them run on one thread.
pub struct EntryNode {
    /// The settings.
    pub settings: EntrySettings,
    /// The clock.
    pub clock: ProcessClock,
    /// Tells this incarnation of the process from others.
    pub incarnation: u64,
    /// The log.
    pub log: slog::Logger,
    /// Counters and histograms.
    pub gauges: EntryGauges,
    /// The platform's store.
    pub store: StoreClient,
    /// The rules in force.
    pub rules: cell::RefCell<rc::Rc<WorkRules>>,
    /// Signals a change of the rules.
    pub rules_changed: Notify,
    /// Set while this process leads.
    pub leadership: cell::RefCell<Option<LeaderHandle>>,
    /// The connection to the leader elsewhere.
    pub link: cell::RefCell<Option<rc::Rc<PeerLink>>>,
    /// The process shuts down.
    pub stopping: cell::Cell<bool>,
    /// Signals the beginning of the shutdown.
    pub stop_signal: Notify,
    /// When the store began not to answer; none while it answers.
    store_lost_at: cell::Cell<Option<TimePoint>>,
    /// The last pending counts that were told, by queue, and when.
    pub pending_counts: cell::RefCell<collections::BTreeMap<String, (usize, TimePoint)>>,
}

impl EntryNode {
    /// The shared state of a process that starts.
    pub fn new(settings: EntrySettings, log: slog::Logger) -> Self {
        let clock = ProcessClock::start();
        Self {
            incarnation: rand::random(),
            store: StoreClient::new(settings.store_address),
            settings,
            clock,
            log,
            gauges: EntryGauges::default(),
            rules: cell::RefCell::default(),
            rules_changed: Notify::new(),
            leadership: cell::RefCell::new(None),
            link: cell::RefCell::new(None),
            stopping: cell::Cell::new(false),
            stop_signal: Notify::new(),
            store_lost_at: cell::Cell::new(None),
            pending_counts: cell::RefCell::default(),
        }
    }

    /// The present time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The rules in force.
    pub fn current_rules(&self) -> rc::Rc<WorkRules> {
        self.rules.borrow().clone()
    }

    /// The coordinator of this process, while it leads.
    pub fn own_leadership(&self) -> Option<LeaderHandle> {
        self.leadership.borrow().clone()
    }

    /// The connection to the leader elsewhere.
    pub fn peer_link(&self) -> Option<rc::Rc<PeerLink>> {
        self.link.borrow().clone()
    }

    /// Takes note of the store's answer, or of none.
    pub fn note_store<T>(&self, call: &'static str, outcome: &Result<T, StoreError>) {
        match outcome {
            Ok(_) => {
                if let Some(lost_at) = self.store_lost_at.take() {
                    let outage = self.now().since(lost_at);
                    slog::info!(self.log, "store_regained"; "call" => call, "after" => %outage);
                }
            }
            Err(error) => {
                self.gauges.store_errors.increment();
                if self.store_lost_at.get().is_none() {
                    self.store_lost_at.set(Some(self.now()));
                    slog::warn!(self.log, "store_lost"; "call" => call, "error" => %error);
                }
            }
        }
    }

    /// Whether the store has answered lately.
    pub fn store_answers(&self) -> bool {
        self.store_lost_at
            .get()
            .is_none_or(|lost_at| self.now().since(lost_at) < STORE_SILENCE)
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.rules.borrow().version > 0 && self.store_answers()
    }
}
