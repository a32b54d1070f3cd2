//! Tasks that this shard's workers can't run but others of the fleet can.

use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::platform::VmRecord;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;

use crate::scheduler::held::HeldShard;

impl HeldShard {
    /// Takes over what the workers of the whole fleet have.
    pub fn set_fleet(&mut self, records: &[VmRecord]) {
        self.fleet.clear();
        for record in records {
            let is_worker = record.role == VmRole::Worker && record.state != VmState::Gone;
            if is_worker && !self.fleet.contains(&record.resources) {
                self.fleet.push(record.resources);
            }
        }
    }

    /// Whether no worker of the whole fleet can run a task. Unknown workers may. Declared processor
    /// time and memory are hints and are cut to what workers have.
    pub(super) fn is_larger_than_fleet(&self, task: TaskKey) -> bool {
        let demand = self.capped_demand(task);
        !self.fleet.is_empty() && !self.fleet.iter().any(|capacity| demand.fits(*capacity))
    }

    /// Sets a task aside that no worker of the shard can run.
    pub(super) fn set_unplaceable(&mut self, task: TaskKey) {
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.unplaceable = true;
        }
    }

    /// Puts tasks that were set aside back in the queue, since workers may have come.
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

    /// What a task declares, cut to the most that workers with its accelerators have.
    pub(super) fn capped_demand(&self, task: TaskKey) -> ResourceVector {
        let Some(entry) = self.tasks.get(task) else {
            return ResourceVector::ZERO;
        };
        let declared = entry.row.resources;
        let suitable = self
            .fleet
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
