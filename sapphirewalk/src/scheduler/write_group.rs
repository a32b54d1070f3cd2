//! Group commit of rows that callers change: accepted tasks and cancellations.

use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use sapphirewalk_wire::platform::TRANSACTION_ROWS_MAX;

use crate::platform::PlatformClient;
use crate::scheduler::commit;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;

/// The shortest time for which changes are gathered for one transaction, unless it is full.
const GATHER_SPAN: time::Duration = time::Duration::from_millis(3);
/// Capacity of the queue of changes; a caller waits while it is full.
const WAITING_MAX: usize = 4_096;

/// Accepts changes of rows for the next group. Clones share one queue and are cheap.
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
    /// Starts the task that gathers changes and commits them, at most one group per `interval`.
    pub fn start(platform: PlatformClient, interval: time::Duration) -> Self {
        let (requests, receiver) = mpsc::channel(WAITING_MAX);
        tokio::spawn(run(platform, interval, receiver));
        Self { requests }
    }

    /// Commits a change with the next group. `None` if the process is ending.
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
        // Groups may be in flight at the same time.
        tokio::spawn(async move { commit_all(&platform, group).await });
    }
}

/// Fills a group until it is full or `until` has passed. Returns a request that has to wait for the
/// next group, since its row is in this one and a transaction can't change a row twice.
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
        // An error means that the call was cancelled.
        let _ = replies.send(outcome);
    }
}
