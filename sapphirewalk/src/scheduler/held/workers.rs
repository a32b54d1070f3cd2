//! The shard's workers: their state in the VM list, renewals of their leases, and workers that have
//! certainly stopped.

use slog::info;

use sapphirewalk_core::key::DomainKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_pool::WorkerProfile;
use sapphirewalk_core::worker_pool::WorkerStatus;
use sapphirewalk_wire::platform::VmRecord;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::row::VmIncarnation;
use sapphirewalk_wire::worker::RenewCommand;

use crate::event::EventName;
use crate::scheduler::effect::ShardEffect;
use crate::scheduler::held::HeldShard;
use crate::scheduler::worker_map::ClosedReason;

impl HeldShard {
    /// Applies the VM list's records of the shard's workers, sorted by name and incarnation. An
    /// incarnation counts as gone if a newer one is listed.
    pub fn set_workers(&mut self, records: &[VmRecord], now: TimePoint) {
        self.vm_list_applied = true;
        for (index, record) in records.iter().enumerate() {
            let is_replaced = records[index + 1..]
                .iter()
                .take_while(|later| later.name == record.name)
                .any(|later| later.incarnation > record.incarnation);
            let state = if is_replaced {
                VmState::Gone
            } else {
                record.state
            };
            self.set_worker(record, state);
        }
        self.end_stopped(now);
    }

    /// Whether a row named an unknown worker, so that the VM list is to be applied again. Resets
    /// the flag.
    pub const fn take_unlisted(&mut self) -> bool {
        std::mem::replace(&mut self.unlisted_found, false)
    }

    /// Marks a worker as leaving, as a peer announced; ignored if it is not this shard's.
    pub fn mark_leaving(&mut self, incarnation: &VmIncarnation) {
        if let Some(worker) = self.workers.find(incarnation) {
            self.workers.node_mut(worker).leaving = true;
            self.sync_policy(worker);
        }
    }

    /// Sends the lease renewals that are due, and advances the policy's clock.
    pub fn renew_due(&mut self, now: TimePoint) {
        self.policy.on_tick(now);
        for worker in self.workers.keys() {
            let node = self.workers.node(worker);
            if !node.renewing && node.renew_at <= now && !node.is_gone() {
                self.renew(worker, now);
            }
        }
    }

    /// Schedules a renewal with a full report for `not_before`, unless one is due earlier.
    pub(super) fn query_worker(&mut self, worker: WorkerKey, not_before: TimePoint) {
        let node = self.workers.node_mut(worker);
        node.renew_at = node.renew_at.min(not_before);
        node.report_at = node.report_at.min(not_before);
    }

    /// Updates the policy's status of a worker after a change of its state.
    pub(super) fn sync_policy(&mut self, worker: WorkerKey) {
        let reason = self.workers.node(worker).closed_reason();
        let status = self.policy.pool().worker(worker).status();
        let is_open = matches!(
            status,
            WorkerStatus::Open | WorkerStatus::Probing | WorkerStatus::Quarantined
        );
        match reason {
            None if is_open => {}
            None => self.policy.open_worker(worker),
            Some(ClosedReason::Gone) => self.policy.set_worker(worker, WorkerStatus::Gone),
            Some(_) if status == WorkerStatus::Leaving => {}
            Some(_) => self.policy.set_worker(worker, WorkerStatus::Leaving),
        }
        if reason == Some(ClosedReason::Leaving) {
            self.announce_leaving(worker);
        }
    }

    /// The key of a worker that a row names. An unknown worker is added without capacity.
    pub(super) fn intern_worker(&mut self, incarnation: &VmIncarnation) -> WorkerKey {
        if let Some(worker) = self.workers.find(incarnation) {
            return worker;
        }
        let profile = WorkerProfile {
            capacity: ResourceVector::ZERO,
            rack: self.racks.intern(""),
            domain: DomainKey::default(),
        };
        self.unlisted_found = true;
        self.add_worker(incarnation, profile)
    }

    /// Marks an incarnation of a worker as gone for good, and ends its attempts.
    pub(super) fn set_gone(&mut self, worker: WorkerKey, now: TimePoint) {
        self.workers.node_mut(worker).listed = Some(VmState::Gone);
        self.sync_policy(worker);
        self.end_stopped(now);
    }

    /// Adds or updates a worker from its record in the VM list. `state` replaces the record's; an
    /// incarnation that is gone stays gone.
    fn set_worker(&mut self, record: &VmRecord, state: VmState) {
        let incarnation = VmIncarnation {
            name: record.name.clone(),
            incarnation: record.incarnation,
        };
        let profile = WorkerProfile {
            capacity: record.resources,
            rack: self.racks.intern(&record.rack),
            domain: DomainKey::default(),
        };
        let worker = match self.workers.find(&incarnation) {
            Some(worker) => worker,
            // It was gone before the shard was acquired, and no loaded row names it.
            None if state == VmState::Gone => return,
            None => self.add_worker(&incarnation, profile),
        };
        if *self.policy.pool().worker(worker).profile() != profile {
            self.policy.set_profile(worker, profile);
        }
        let node = self.workers.node_mut(worker);
        node.address = record.address.parse().ok();
        if !node.is_gone() {
            node.listed = Some(state);
        }
        self.sync_policy(worker);
    }

    /// Adds a worker on which no task is started until its state permits it.
    fn add_worker(&mut self, incarnation: &VmIncarnation, profile: WorkerProfile) -> WorkerKey {
        let worker = self.policy.add_worker(profile);
        self.workers
            .add(worker, incarnation, self.params.former_until);
        self.policy.set_worker(worker, WorkerStatus::Leaving);
        worker
    }

    /// Logs a leaving worker and queues its announcement to the peers.
    fn announce_leaving(&mut self, worker: WorkerKey) {
        let incarnation = &self.workers.node(worker).name;
        if !self.unannounced_leaving.contains(incarnation) {
            info!(self.logger, "{}", EventName::WorkerLeaving; "worker" => &incarnation.name,
                "incarnation" => incarnation.incarnation);
            self.unannounced_leaving.push(incarnation.clone());
        }
    }

    /// Queues a renewal, if the worker has an address and the shard's lease permits it.
    fn renew(&mut self, worker: WorkerKey, now: TimePoint) {
        let node = self.workers.node(worker);
        let Some(address) = node.address else {
            return;
        };
        let Some(until) = self.grant.worker_lease_until else {
            return;
        };
        if self.grant.authority == ShardAuthority::Nothing {
            return;
        }
        // The lease of a worker that does not answer must be allowed to end, so that its tasks can
        // be started elsewhere.
        let is_fresh = node.confirmed_at.is_none() && node.sent_until == TimePoint::EPOCH;
        let until = if node.may_extend() || is_fresh {
            until
        } else {
            node.sent_until
        };
        let every = TimeSpan::from_millis(self.settings.worker_renew_ms);
        let report_every = TimeSpan::from_millis(self.settings.worker_report_ms);
        let node = self.workers.node_mut(worker);
        let brief = node.is_brief(now);
        if !brief {
            node.report_at = now + report_every;
        }
        node.renewing = true;
        node.renew_at = now + every;
        node.lease.note_sent(until);
        node.sent_until = node.sent_until.max(until);
        let command = RenewCommand {
            epoch: self.params.epoch,
            incarnation: node.name.incarnation,
            lease_until_ms: until.as_millis(),
            forget: node.forget.clone(),
            brief,
        };
        self.effects.push(ShardEffect::Renew {
            address,
            worker,
            command,
        });
    }

    /// Ends the attempts of workers that are gone, or whose leases ended so long ago that they have
    /// certainly stopped.
    pub fn end_stopped(&mut self, now: TimePoint) {
        for worker in self.workers.keys() {
            let node = self.workers.node(worker);
            let stopped_at = node.lease.stopped_by(&self.params.timing);
            // A worker that may still answer its first renewal may have the record of an attempt's
            // end. Its address is not known before the first VM list.
            let awaits_first_answer = node.awaits_first_answer() || !self.vm_list_applied;
            if !node.is_gone() && (now < stopped_at || awaits_first_answer) {
                continue;
            }
            let is_gone = node.is_gone();
            for task in self.tasks_on(worker) {
                let event = LifecycleEvent::AttemptOver { worker, is_gone };
                self.apply_event(task, event, now);
            }
        }
    }

    /// The tasks whose attempt may run on a worker.
    pub(super) fn tasks_on(&self, worker: WorkerKey) -> Vec<TaskKey> {
        let slot = self.policy.pool().worker(worker);
        let attempts = slot.attempts().iter().map(|attempt| attempt.task);
        attempts
            .filter(|task| {
                self.tasks.get(*task).is_some_and(|entry| {
                    entry.lifecycle.may_run() && entry.lifecycle.record().worker == Some(worker)
                })
            })
            .collect()
    }
}
