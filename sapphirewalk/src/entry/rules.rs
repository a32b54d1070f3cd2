//! Follows the operators' rules.

use std::rc;
use std::time;

use sapphirewalk_platform::rules;
use sapphirewalk_platform::store;
use sapphirewalk_platform::store::FeedOutcome;

use crate::entry::node::EntryNode;
use crate::entry::records;

/// How long the feed waits: rules have to be in force within 2 s, so a silent connection must
/// show sooner than that.
const FEED_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Time before a call that failed is made again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(120);

/// Follows the operators' table for as long as the process runs.
pub async fn follow(node: rc::Rc<EntryNode>) {
    let mut version = None;
    loop {
        let step = match version {
            None => read(&node).await,
            Some(from) => wait(&node, from).await,
        };
        match step {
            Some(next) => version = next,
            None => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads the rules; the version to follow from.
async fn read(node: &EntryNode) -> Option<Option<u64>> {
    let read = node
        .store
        .read_part(store::OPERATOR_TABLE, "", records::READ_TIMEOUT)
        .await;
    node.note_store("read_rules", &read);
    let page = read.ok()?;
    for row in page.rows {
        take(node, &row.key, &row.value);
    }
    Some(Some(page.version))
}

/// Waits for a change; the version to follow from, none when all must be read again.
async fn wait(node: &EntryNode, from: u64) -> Option<Option<u64>> {
    let fed = node
        .store
        .feed(store::OPERATOR_TABLE, from, FEED_WAIT)
        .await;
    node.note_store("follow_rules", &fed);
    match fed.ok()? {
        FeedOutcome::Changes(page) => {
            for row in page.rows.iter().filter(|row| !row.dropped) {
                take(node, &row.key, &row.value);
            }
            Some(Some(page.version.max(from)))
        }
        FeedOutcome::Forgotten => {
            slog::info!(node.log, "feed_forgotten"; "table" => store::OPERATOR_TABLE,
                "version" => from);
            Some(None)
        }
    }
}

fn take(node: &EntryNode, key: &str, value: &[u8]) {
    if key != store::CONFIG_KEY {
        return;
    }
    match rules::work_rules(value) {
        Ok(rules) => {
            let before = node.rules.borrow().version;
            if rules.version > before {
                slog::info!(node.log, "rules_in_force"; "version" => rules.version,
                    "before" => before, "queues" => rules.queues.len());
                *node.rules.borrow_mut() = rc::Rc::new(rules);
                node.rules_changed.notify_waiters();
            }
        }
        Err(error) => {
            slog::error!(node.log, "rules_unreadable"; "error" => %error);
        }
    }
}
