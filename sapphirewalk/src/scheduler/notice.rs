//! Retries notices of new and changed tasks until the holder of the shard acknowledges them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use crate::scheduler::context::SchedulerContext;
use crate::scheduler::name::ShardName;

/// Delay between two rounds in which unacknowledged notices are sent again.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// Retries after which a notice is dropped; the holder's scan finds the task.
const RETRIES_MAX: u32 = 600;
/// Capacity of the list of unacknowledged notices; more are dropped, since the holder's scan finds
/// the tasks.
const WAITING_MAX: usize = 10_000;

/// A change of a task that the shard's holder has not acknowledged.
#[derive(Clone, Debug)]
struct TaskNotice {
    shard: ShardName,
    id: String,
    retries: u32,
}

/// The notices to retry.
#[derive(Debug, Default)]
pub struct NoticeList {
    notices: Mutex<Vec<TaskNotice>>,
}

impl NoticeList {
    /// Adds a notice whose first delivery was not acknowledged.
    pub fn add(&self, shard: &ShardName, id: &str) {
        self.push(TaskNotice {
            shard: shard.clone(),
            id: id.to_owned(),
            retries: 0,
        });
    }

    fn push(&self, notice: TaskNotice) {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        if notice.retries < RETRIES_MAX && notices.len() < WAITING_MAX {
            notices.push(notice);
        }
    }

    fn take_all(&self) -> Vec<TaskNotice> {
        std::mem::take(&mut *self.notices.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Retries notices until the process ends.
pub async fn run(context: Arc<SchedulerContext>) {
    loop {
        tokio::time::sleep(RETRY_DELAY).await;
        for mut notice in context.notices.take_all() {
            if !context.try_notify(&notice.shard, &notice.id).await {
                notice.retries += 1;
                context.notices.push(notice);
            }
        }
    }
}
