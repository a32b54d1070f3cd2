//! Configuration of job queues and worker pools, as operators publish it.

use crate::time::TimeSpan;

/// One version of the configuration that operators publish.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkRules {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// Settings of the queues, sorted by name.
    pub queues: Vec<QueueRule>,
    /// Settings of the pools, sorted by name.
    pub pools: Vec<PoolRule>,
    /// Longest accepted request body in bytes.
    pub max_body_bytes: usize,
    /// Longest accepted head of a request in bytes; none for the default of the process.
    pub max_head_bytes: Option<usize>,
    /// Time for the head of a request; none for the default of the process.
    pub head_timeout: Option<TimeSpan>,
}

/// Settings of a queue, through which callers submit jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueRule {
    /// Name of the queue; unique.
    pub name: String,
    /// Request host that selects the queue, together with `prefix`.
    pub host: String,
    /// Path prefix that selects the queue; the longest match on the host wins.
    pub prefix: String,
    /// Name of the pool whose workers run the queue's tasks.
    pub pool: String,
    /// Scheduling priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the objective, which is the critical path times this plus `target_latency`.
    pub slowdown_factor: f64,
    /// Constant part of the objective, see `slowdown_factor`.
    pub target_latency: TimeSpan,
    /// Timing of the advice service, which must approve a worker before it runs a step; none where
    /// no approval is needed. Not used by the coordinator yet.
    pub advice: Option<AdviceRule>,
}

/// What a job keeps of its queue's rule, for the time when the queue isn't configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTerms {
    /// Scheduling priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the objective, which is the critical path times this plus `target_latency`.
    pub slowdown_factor: f64,
    /// Constant part of the objective, see `slowdown_factor`.
    pub target_latency: TimeSpan,
}

impl From<&QueueRule> for QueueTerms {
    fn from(rule: &QueueRule) -> Self {
        Self {
            priority: rule.priority,
            max_attempts: rule.max_attempts,
            slowdown_factor: rule.slowdown_factor,
            target_latency: rule.target_latency,
        }
    }
}

/// Timing, for one queue, of a service that approves workers before they run a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdviceRule {
    /// Time that each call takes.
    pub per_call: TimeSpan,
    /// Time that each worker in a call adds.
    pub per_worker: TimeSpan,
    /// How long an approval stays valid.
    pub validity: TimeSpan,
}

/// Settings of a pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// Name of the pool; unique.
    pub name: String,
    /// The workers refuse tasks that exceed their free capacity. Not used by the coordinator yet.
    pub enforces_capacity: bool,
    /// The VMs of the pool are switched off. Not used by the coordinator yet.
    pub standby: bool,
}

impl WorkRules {
    /// The queue with this name; none if it is not configured.
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
