//! Reads the operators' rules from the store and follows their changes.

use std::rc;
use std::time;

use sapphirewalk_platform::rules;
use sapphirewalk_platform::store;
use sapphirewalk_platform::store::FeedOutcome;

use crate::entry::node::EntryNode;
use crate::entry::records;

/// Wait time of a long poll on the feed. Rules must be in force within 2 s, so a dead connection
/// must be detected sooner.
const FEED_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Delay before a failed call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(120);

/// Follows the operators' table while the process runs.
pub async fn follow(node: rc::Rc<EntryNode>) {
    let mut version = None;
    loop {
        let next_step = match version {
            None => read_rules(&node).await,
            Some(from) => wait_for_change(&node, from).await,
        };
        match next_step {
            Some(next) => version = next,
            None => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads all rules. Returns `None` if the call failed, or else the version from which to follow the
/// feed, as `Some(Some(version))`.
async fn read_rules(node: &EntryNode) -> Option<Option<u64>> {
    let read = node
        .store
        .read_partition(store::OPERATOR_TABLE, "", records::PART_READ_TIMEOUT)
        .await;
    node.record_store_outcome("read_rules", &read);
    let page = read.ok()?;
    for row in page.rows {
        apply_row(node, &row.key, &row.value);
    }
    Some(Some(page.version))
}

/// Waits for a change. Returns `None` if the call failed, `Some(None)` if all rules must be read
/// again, or else the version from which to follow the feed.
async fn wait_for_change(node: &EntryNode, from: u64) -> Option<Option<u64>> {
    let outcome = node
        .store
        .feed(store::OPERATOR_TABLE, from, FEED_WAIT)
        .await;
    node.record_store_outcome("follow_rules", &outcome);
    match outcome.ok()? {
        FeedOutcome::Changes(page) => {
            for row in page.rows.iter().filter(|row| !row.deleted) {
                apply_row(node, &row.key, &row.value);
            }
            Some(Some(page.version.max(from)))
        }
        FeedOutcome::Compacted => {
            slog::info!(node.log, "feed_forgotten"; "table" => store::OPERATOR_TABLE,
                "version" => from);
            Some(None)
        }
    }
}

fn apply_row(node: &EntryNode, key: &str, value: &[u8]) {
    if key != store::CONFIG_KEY {
        return;
    }
    match rules::parse_work_rules(value) {
        Ok(rules) => {
            let previous = node.rules.borrow().version;
            if rules.version > previous {
                slog::info!(node.log, "rules_in_force"; "version" => rules.version,
                    "before" => previous, "queues" => rules.queues.len());
                *node.rules.borrow_mut() = rc::Rc::new(rules);
                node.rules_changed.notify_waiters();
            }
        }
        Err(error) => {
            slog::error!(node.log, "rules_unreadable"; "error" => %error);
        }
    }
}
