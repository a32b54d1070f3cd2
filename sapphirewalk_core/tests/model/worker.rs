//! A worker with leases, fencing by epoch and attempts that it takes once.

use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::time::TimePoint;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelState {
    Running,
    Finished,
    Stopped,
}

#[derive(Clone, Debug)]
pub struct ModelAttempt {
    pub task: usize,
    pub attempt: u64,
    pub state: ModelState,
    lease_until: TimePoint,
}

#[derive(Clone, Debug, Default)]
pub struct ModelWorker {
    epoch: u64,
    /// Every attempt that it ever took.
    pub attempts: Vec<ModelAttempt>,
}

impl ModelWorker {
    pub fn start(
        &mut self,
        epoch: u64,
        task: usize,
        attempt: u64,
        lease_until: TimePoint,
        clock: TimePoint,
    ) -> StartReply {
        if epoch < self.epoch {
            return StartReply::Fenced;
        }
        self.epoch = epoch;
        if clock >= lease_until {
            return StartReply::Refused;
        }
        let seen = self
            .attempts
            .iter()
            .any(|known| known.task == task && known.attempt >= attempt);
        if seen {
            return StartReply::Duplicate;
        }
        self.attempts.push(ModelAttempt {
            task,
            attempt,
            state: ModelState::Running,
            lease_until,
        });
        StartReply::Started
    }

    /// Renews the lease of all attempts; `false` when fenced.
    pub fn renew(&mut self, epoch: u64, lease_until: TimePoint, clock: TimePoint) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        for attempt in self.running_mut() {
            if clock >= attempt.lease_until {
                attempt.state = ModelState::Stopped;
            } else {
                attempt.lease_until = attempt.lease_until.max(lease_until);
            }
        }
        true
    }

    pub fn stop(&mut self, epoch: u64, task: usize, attempt: u64) {
        if epoch < self.epoch {
            return;
        }
        for known in self.running_mut() {
            if known.task == task && known.attempt == attempt {
                known.state = ModelState::Stopped;
            }
        }
    }

    /// Ends attempts whose lease ended as long ago as the worker may take.
    pub fn on_time(&mut self, clock: TimePoint, rules: &LeaseRules) {
        for attempt in self.running_mut() {
            if clock >= attempt.lease_until + rules.stop_delay_max {
                attempt.state = ModelState::Stopped;
            }
        }
    }

    pub fn finish_one(&mut self) {
        if let Some(attempt) = self.running_mut().next() {
            attempt.state = ModelState::Finished;
        }
    }

    pub fn view(&self, task: usize, attempt: u64) -> AttemptStatus {
        let known = self
            .attempts
            .iter()
            .find(|known| known.task == task && known.attempt == attempt);
        let checkpoint = Some(format!("{task}/{attempt}"));
        match known.map(|known| known.state) {
            None => AttemptStatus::Unknown,
            Some(ModelState::Running) => AttemptStatus::Running { checkpoint },
            Some(ModelState::Finished) => AttemptStatus::Finished,
            Some(ModelState::Stopped) => AttemptStatus::Stopped { checkpoint },
        }
    }

    fn running_mut(&mut self) -> impl Iterator<Item = &mut ModelAttempt> {
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.state == ModelState::Running)
    }
}
