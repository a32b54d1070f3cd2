//! Tasks that no worker of this shard can run but workers of other shards can.

use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::platform::VmRecord;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;

use crate::scheduler::held::HeldShard;

impl HeldShard {
    /// Applies the capacities of all workers of the VM list, other shards' included.
    pub fn set_capacities(&mut self, records: &[VmRecord]) {
        self.capacities.clear();
        for record in records {
            let is_worker = record.role == VmRole::Worker && record.state != VmState::Gone;
            if is_worker && !self.capacities.contains(&record.resources) {
                self.capacities.push(record.resources);
            }
        }
    }

    /// Whether no listed worker of any shard can run the task; false while no worker is listed.
    /// Declared processor time and memory are hints, so they are capped at the most that workers
    /// have.
    pub(super) fn exceeds_all_workers(&self, task: TaskKey) -> bool {
        let demand = self.capped_demand(task);
        !self.capacities.is_empty()
            && !self
                .capacities
                .iter()
                .any(|capacity| demand.fits(*capacity))
    }

    /// Marks a task that no worker of this shard can run; it stays out of the queue until
    /// [`Self::requeue_unplaceable`].
    pub(super) fn set_unplaceable(&mut self, task: TaskKey) {
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.unplaceable = true;
        }
    }

    /// Puts the tasks that no worker could run back into the queue, since workers may have been
    /// added. They keep the time since which they have waited.
    pub fn requeue_unplaceable(&mut self, now: TimePoint) {
        let unplaceable: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, entry)| entry.unplaceable)
            .map(|(task, _)| task)
            .collect();
        for task in unplaceable {
            if let Some(entry) = self.tasks.get_mut(task) {
                entry.unplaceable = false;
                let since = entry.ready_at;
                if entry.lifecycle.is_ready() && entry.moving.is_none() {
                    self.enqueue(task, now);
                }
                if let Some(entry) = self.tasks.get_mut(task) {
                    entry.ready_at = since;
                }
            }
        }
    }

    /// The resources that a task declares. Processor time and memory are capped at the most that
    /// any worker with enough accelerators has. Zero if the task was removed.
    pub(super) fn capped_demand(&self, task: TaskKey) -> ResourceVector {
        let Some(entry) = self.tasks.get(task) else {
            return ResourceVector::ZERO;
        };
        let declared = entry.row.resources;
        let suitable = self
            .capacities
            .iter()
            .filter(|capacity| capacity.accelerators >= declared.accelerators);
        let max = suitable.fold(ResourceVector::ZERO, |max, capacity| max.max(*capacity));
        ResourceVector {
            cpu_millis: declared.cpu_millis.min(max.cpu_millis),
            memory_mib: declared.memory_mib.min(max.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
