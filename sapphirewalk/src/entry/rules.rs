//! Reads the operators' rules from the store and follows their changes.

use std::fmt;
use std::rc;
use std::time;

use sapphirewalk_platform::rules;
use sapphirewalk_platform::rules::OperatorKey;
use sapphirewalk_platform::store;
use sapphirewalk_platform::store::FeedOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;

use crate::entry::evacuation::ViewChange;
use crate::entry::log;
use crate::entry::node::EntryNode;
use crate::entry::records;

/// Wait time of a long poll on the feed. Rules must be in force within 2 s, so a dead connection
/// must be detected sooner.
const FEED_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Delay before a failed call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(120);
/// A leader's long poll lasts this part of the bound on evacuations. The leader starts nothing
/// while its view is older than 0.6 of the bound. For a bound of 5,000 ms, a poll of 500 ms, a dead
/// one of 1,200 ms, a dead read and two retries leave 560 ms of the 3,000 ms to the read that
/// succeeds.
const FEED_WAIT_SHARE: f64 = 0.1;
/// Timeout for reading the table. A slow store answers in 240 ms. Where evacuations have no bound, a
/// read after one without an answer has [`records::PART_READ_TIMEOUT`].
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How the operators' table is read next.
#[derive(Clone, Copy, Debug)]
enum FollowStep {
    /// All rows are read, with this timeout.
    Read(time::Duration),
    /// The feed is followed from this version.
    Poll(u64),
}

/// Why a step of following the table has to be repeated.
#[derive(Clone, Copy, Debug)]
enum FollowFault {
    /// The call failed.
    Failed(StoreError),
    /// The read returned an older version of the table than the store has.
    Behind,
}

impl From<StoreError> for FollowFault {
    fn from(error: StoreError) -> Self {
        Self::Failed(error)
    }
}

impl fmt::Display for FollowFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => error.fmt(formatter),
            Self::Behind => formatter.write_str("the read is older than a forgotten version"),
        }
    }
}

impl FollowStep {
    const FIRST: Self = Self::Read(READ_TIMEOUT);

    /// The step after this one has failed. A failed poll is followed by a read: the store answers a
    /// read at once, and an unchanged feed only at the end of the poll.
    fn after_failure(self, fault: FollowFault, longest_timeout: time::Duration) -> Self {
        match (self, fault) {
            (Self::Read(_), FollowFault::Failed(StoreError::Unknown)) => {
                Self::Read(longest_timeout)
            }
            (Self::Read(_) | Self::Poll(_), _) => Self::FIRST,
        }
    }
}

/// Follows the operators' table while the process runs.
pub async fn follow(node: rc::Rc<EntryNode>) {
    let longest_timeout = match node.settings.bounds.evacuation_ms {
        Some(_) => READ_TIMEOUT,
        None => records::PART_READ_TIMEOUT,
    };
    let mut step = FollowStep::FIRST;
    loop {
        let outcome = match step {
            FollowStep::Read(timeout) => read_table(&node, timeout).await,
            FollowStep::Poll(from) => wait_for_change(&node, from).await,
        };
        step = match outcome {
            Ok(next) => next,
            Err(fault) => {
                report_fault(&node, step, fault);
                tokio::time::sleep(RETRY_DELAY).await;
                step.after_failure(fault, longest_timeout)
            }
        };
    }
}

/// Reads the evacuation requests once, where evacuations have a bound. A failure is no error: the
/// task that follows the table tries again.
pub async fn confirm_evacuations(node: &EntryNode) {
    if node.settings.bounds.evacuation_ms.is_some() {
        let _next_step = read_table(node, READ_TIMEOUT).await;
    }
}

/// Reads the whole table.
async fn read_table(node: &EntryNode, timeout: time::Duration) -> Result<FollowStep, FollowFault> {
    let sent_at = node.now();
    let read = node
        .store
        .read_partition(store::OPERATOR_TABLE, "", timeout)
        .await;
    node.record_store_outcome("read_rules", &read);
    let page = read?;
    for row in &page.rows {
        apply_row(node, row);
    }
    let forgotten_version = node.forgotten_rules_version.get();
    if forgotten_version > 0 && page.version <= forgotten_version {
        return Err(FollowFault::Behind);
    }
    node.confirm_rules(sent_at);
    let change = node
        .evacuations
        .borrow_mut()
        .replace(&page, sent_at, node.now());
    report_change(node, change);
    Ok(FollowStep::Poll(page.version))
}

/// Follows the feed for one poll, from a version that this process has read.
async fn wait_for_change(node: &EntryNode, from: u64) -> Result<FollowStep, FollowFault> {
    let sent_at = node.now();
    let wait = feed_wait(node);
    let outcome = node.store.feed(store::OPERATOR_TABLE, from, wait).await;
    node.record_store_outcome("follow_rules", &outcome);
    match outcome? {
        FeedOutcome::Changes(page) => {
            for row in page.rows.iter().filter(|row| !row.deleted) {
                apply_row(node, row);
            }
            let change = node
                .evacuations
                .borrow_mut()
                .apply(&page, sent_at, node.now());
            report_change(node, change);
            if page.has_more {
                // An incomplete page doesn't confirm the view.
                return Ok(FollowStep::FIRST);
            }
            let confirmed_at = if page.rows.is_empty() {
                // The store has waited for a change all the while.
                (sent_at + wait.into()).min(node.now())
            } else {
                sent_at
            };
            node.confirm_rules(confirmed_at);
            Ok(FollowStep::Poll(page.version.max(from)))
        }
        FeedOutcome::Compacted => {
            slog::info!(node.log, "feed_forgotten"; "table" => store::OPERATOR_TABLE,
                "version" => from);
            node.forgotten_rules_version.set(from);
            Ok(FollowStep::FIRST)
        }
    }
}

/// Logs a fault, which prolongs the time without a confirmation of the rules.
fn report_fault(node: &EntryNode, failed: FollowStep, fault: FollowFault) {
    let call = match failed {
        FollowStep::Read(_) => "read_rules",
        FollowStep::Poll(_) => "follow_rules",
    };
    let age = node.rules_age(node.now());
    slog::info!(node.log, "rules_unconfirmed"; "call" => call, "error" => %fault,
        "version" => node.rules.borrow().version,
        "confirmed_ago" => log::show_age(age));
}

fn feed_wait(node: &EntryNode) -> time::Duration {
    match node.settings.bounds.evacuation_bound() {
        Some(bound) if node.leadership.borrow().is_some() => {
            FEED_WAIT.min(bound.scale(FEED_WAIT_SHARE).into())
        }
        Some(_) | None => FEED_WAIT,
    }
}

/// Logs the requests in force if they changed, and wakes the leader's loop.
fn report_change(node: &EntryNode, change: ViewChange) {
    let tracker = node.evacuations.borrow();
    match change {
        ViewChange::Confirmed if node.settings.bounds.evacuation_ms.is_some() => {
            node.operator_changed.notify_waiters();
        }
        ViewChange::Nothing | ViewChange::Confirmed => {}
        ViewChange::Requests => {
            let requests = &tracker.view().requests;
            let domains: Vec<&str> = requests
                .iter()
                .map(|request| request.domain.as_str())
                .collect();
            slog::info!(node.log, "evacuations_read"; "requests" => domains.len(),
                "domains" => domains.join(","));
            node.operator_changed.notify_waiters();
        }
    }
}

fn apply_row(node: &EntryNode, row: &StoredRow) {
    if rules::parse_operator_key(&row.key) != OperatorKey::Rules {
        return;
    }
    match rules::parse_work_rules(&row.value) {
        Ok(rules) => {
            let previous = node.rules.borrow().version;
            if rules.version > previous {
                let age = node.rules_age(node.now());
                slog::info!(node.log, "rules_in_force"; "version" => rules.version,
                    "before" => previous, "queues" => rules.queues.len(),
                    "confirmed_ago" => log::show_age(age));
                *node.rules.borrow_mut() = rc::Rc::new(rules);
                node.operator_changed.notify_waiters();
            }
        }
        Err(error) => {
            if node.unreadable_rules.replace(row.version) != row.version {
                slog::error!(node.log, "rules_unreadable"; "error" => %error);
            }
        }
    }
}
