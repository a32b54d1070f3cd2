//! Tells holders of shards of new and changed tasks, again and again until they have heard.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use crate::scheduler::context::SchedulerContext;
use crate::scheduler::name::ShardName;

/// How often a notice that was not heard is repeated.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Repeats after which a notice is left to the holder's scan.
const RETRIES_MAX: u32 = 600;
/// Notices that wait; more are left to the scan.
const WAITING_MAX: usize = 10_000;

/// A task that a shard's holder has not heard of yet.
#[derive(Clone, Debug)]
struct TaskNotice {
    shard: ShardName,
    id: String,
    retries: u32,
}

/// The notices that wait to be repeated.
#[derive(Debug, Default)]
pub struct NoticeList {
    notices: Mutex<Vec<TaskNotice>>,
}

impl NoticeList {
    /// Adds a notice that was not heard.
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

/// Repeats notices for the life of the process.
pub async fn run(context: Arc<SchedulerContext>) {
    loop {
        tokio::time::sleep(RETRY_INTERVAL).await;
        for mut notice in context.notices.take_all() {
            if !context.try_notify(&notice.shard, &notice.id).await {
                notice.retries += 1;
                context.notices.push(notice);
            }
        }
    }
}
