//! Writes rows for callers, several in one transaction: accepted tasks and cancellations.

use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use sapphirewalk_wire::platform::TRANSACTION_ROWS_MAX;

use crate::platform::PlatformClient;
use crate::scheduler::commit;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;

/// How long changes are gathered for one transaction.
const GATHER_SPAN: time::Duration = time::Duration::from_millis(3);
/// Changes that wait to be gathered.
const WAITING_MAX: usize = 4_096;

/// Takes changes of rows. Cheap to clone.
#[derive(Clone, Debug)]
pub struct WriteGroup {
    requests: mpsc::Sender<WriteRequest>,
}

#[derive(Debug)]
struct WriteRequest {
    write: RowWrite,
    outcome: oneshot::Sender<RowOutcome>,
}

impl WriteGroup {
    /// Starts the task that gathers changes and commits them, a group each `interval` at most.
    pub fn start(platform: PlatformClient, interval: time::Duration) -> Self {
        let (requests, receiver) = mpsc::channel(WAITING_MAX);
        tokio::spawn(run(platform, interval, receiver));
        Self { requests }
    }

    /// Commits a change. `None` when the process ends.
    pub async fn commit(&self, write: RowWrite) -> Option<RowOutcome> {
        let (outcome, receiver) = oneshot::channel();
        self.requests
            .send(WriteRequest { write, outcome })
            .await
            .ok()?;
        receiver.await.ok()
    }
}

async fn run(
    platform: PlatformClient,
    interval: time::Duration,
    mut requests: mpsc::Receiver<WriteRequest>,
) {
    let mut next_at = Instant::now();
    let mut deferred = None;
    loop {
        let first = match deferred.take() {
            Some(request) => request,
            None => match requests.recv().await {
                Some(request) => request,
                None => return,
            },
        };
        let mut group = vec![first];
        let until = next_at.max(Instant::now() + GATHER_SPAN);
        deferred = gather(&mut group, &mut requests, until).await;
        next_at = Instant::now() + interval;
        let platform = platform.clone();
        // The next group does not wait for the answer to this one.
        tokio::spawn(async move { commit_all(&platform, group).await });
    }
}

/// Fills a group. Returns an order whose key is in the group already: one transaction can't change
/// it twice.
async fn gather(
    group: &mut Vec<WriteRequest>,
    requests: &mut mpsc::Receiver<WriteRequest>,
    until: Instant,
) -> Option<WriteRequest> {
    while group.len() < TRANSACTION_ROWS_MAX {
        let request = tokio::time::timeout_at(until, requests.recv())
            .await
            .ok()??;
        if group
            .iter()
            .any(|other| other.write.key == request.write.key)
        {
            return Some(request);
        }
        group.push(request);
    }
    None
}

async fn commit_all(platform: &PlatformClient, group: Vec<WriteRequest>) {
    let (writes, replies): (Vec<RowWrite>, Vec<oneshot::Sender<RowOutcome>>) = group
        .into_iter()
        .map(|request| (request.write, request.outcome))
        .unzip();
    let outcomes = commit::commit_group(platform, None, &writes).await;
    for (replies, outcome) in replies.into_iter().zip(outcomes) {
        // An error means that the caller has given up.
        let _ = replies.send(outcome);
    }
}
