//! A worker with leases that fences requests by epoch and starts no attempt twice.

use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::time::TimePoint;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    Running,
    Finished,
    Stopped,
}

#[derive(Clone, Debug)]
pub struct ModelAttempt {
    pub task: usize,
    pub attempt: u64,
    pub state: AttemptState,
    lease_until: TimePoint,
}

#[derive(Clone, Debug, Default)]
pub struct ModelWorker {
    epoch: u64,
    /// Every attempt that was ever started here, in order.
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
        let superseded = self
            .attempts
            .iter()
            .any(|known| known.task == task && known.attempt >= attempt);
        if superseded {
            return StartReply::Duplicate;
        }
        self.attempts.push(ModelAttempt {
            task,
            attempt,
            state: AttemptState::Running,
            lease_until,
        });
        StartReply::Started
    }

    /// Renews the leases of running attempts and stops those whose lease has ended; `false` if the
    /// epoch is fenced.
    pub fn renew(&mut self, epoch: u64, lease_until: TimePoint, clock: TimePoint) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        for attempt in self.running_mut() {
            if clock >= attempt.lease_until {
                attempt.state = AttemptState::Stopped;
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
                known.state = AttemptState::Stopped;
            }
        }
    }

    /// Stops attempts whose lease ended `stop_delay_max` ago, which is as late as allowed.
    pub fn stop_expired_attempts(&mut self, clock: TimePoint, timing: &LeaseTiming) {
        for attempt in self.running_mut() {
            if clock >= attempt.lease_until + timing.stop_delay_max {
                attempt.state = AttemptState::Stopped;
            }
        }
    }

    /// Finishes the oldest running attempt, if there is one.
    pub fn finish_first_running(&mut self) {
        if let Some(attempt) = self.running_mut().next() {
            attempt.state = AttemptState::Finished;
        }
    }

    pub fn status(&self, task: usize, attempt: u64) -> AttemptStatus {
        let known = self
            .attempts
            .iter()
            .find(|known| known.task == task && known.attempt == attempt);
        let checkpoint = Some(format!("{task}/{attempt}"));
        match known.map(|known| known.state) {
            None => AttemptStatus::Unknown,
            Some(AttemptState::Running) => AttemptStatus::Running { checkpoint },
            Some(AttemptState::Finished) => AttemptStatus::Finished,
            Some(AttemptState::Stopped) => AttemptStatus::Stopped { checkpoint },
        }
    }

    fn running_mut(&mut self) -> impl Iterator<Item = &mut ModelAttempt> {
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.state == AttemptState::Running)
    }
}
