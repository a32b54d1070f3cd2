//! What operators state of queues of jobs and of pools of workers.

use crate::time::TimeSpan;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkRules {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The queues, sorted by name.
    pub queues: Vec<QueueRule>,
    /// The pools, sorted by name.
    pub pools: Vec<PoolRule>,
    /// Longest accepted request body in bytes.
    pub max_body_bytes: usize,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueRule {
    /// The name.
    pub name: String,
    /// The host that selects the queue.
    pub host: String,
    /// The path prefix that selects the queue.
    pub prefix: String,
    /// The pool whose workers run the queue's tasks.
    pub pool: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed.
    pub max_attempts: u32,
    /// The objective of a job is its longest chain of work times this factor,
    pub slowdown_factor: f64,
    /// plus this span.
    pub target_latency: TimeSpan,
    /// Workers must be approved by the advice service before they run a step.
    pub advice: Option<AdviceRule>,
}

/// How the advice service answers for a queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdviceRule {
    /// Time for one call.
    pub per_call: TimeSpan,
    /// Time for each worker asked about.
    pub per_worker: TimeSpan,
    /// How long an approval holds.
    pub validity: TimeSpan,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// The name.
    pub name: String,
    /// The workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// The pool's VMs are off.
    pub standby: bool,
}

impl WorkRules {
    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&QueueRule> {
        let found = self
            .queues
            .binary_search_by(|rule| rule.name.as_str().cmp(name));
        found.ok().map(|index| &self.queues[index])
    }

    /// The queue with the longest prefix of `path` on `host`.
    pub fn queue_of_path(&self, host: &str, path: &str) -> Option<&QueueRule> {
        self.queues
            .iter()
            .filter(|rule| rule.host == host && path.starts_with(rule.prefix.as_str()))
            .max_by_key(|rule| rule.prefix.len())
    }
}
