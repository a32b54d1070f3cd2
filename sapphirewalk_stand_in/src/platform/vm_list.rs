//! The VM list: shows published records after a delay that a test sets.

use std::cmp;

use sapphirewalk_wire::platform as wire;

/// A published record that the list does not show yet.
#[derive(Debug)]
struct PendingRecord {
    published_at_ms: u64,
    record: wire::VmRecord,
}

/// The published records, and those of them that are old enough to be listed.
#[derive(Debug, Default)]
pub(super) struct DelayedVmList {
    /// The time from publication to listing, in milliseconds.
    pub lag_ms: u64,
    /// The latest published record of each incarnation, sorted by name, then incarnation.
    published: Vec<wire::VmRecord>,
    /// The records that the list shows, in the same order.
    visible: Vec<wire::VmRecord>,
    /// Published but not visible yet, in the order of publication.
    pending: Vec<PendingRecord>,
    /// The time whose records the last list showed, in Unix milliseconds; never falls.
    as_of_ms: u64,
    /// Rises with each record that becomes visible.
    revision: u64,
}

impl DelayedVmList {
    pub fn publish(&mut self, record: wire::VmRecord, now_ms: u64) {
        if !store(&mut self.published, &record) {
            return;
        }
        self.pending.push(PendingRecord {
            published_at_ms: now_ms,
            record,
        });
    }

    pub fn replace(&mut self, record: wire::VmRecord, now_ms: u64) {
        let earlier: Vec<wire::VmRecord> = self
            .published
            .iter()
            .filter(|vm| vm.name == record.name && vm.incarnation < record.incarnation)
            .cloned()
            .collect();
        for mut vm in earlier {
            vm.state = wire::VmState::Gone;
            self.publish(vm, now_ms);
        }
        self.publish(record, now_ms);
    }

    pub fn set_state(&mut self, name: &str, state: wire::VmState, now_ms: u64) {
        let Some(mut record) = self.newest(name).cloned() else {
            return;
        };
        record.state = state;
        self.publish(record, now_ms);
    }

    pub fn newest(&self, name: &str) -> Option<&wire::VmRecord> {
        self.published.iter().rev().find(|vm| vm.name == name)
    }

    /// The HTTP entity tag of the visible records.
    pub fn entity_tag(&self) -> String {
        format!("\"{}\"", self.revision)
    }

    pub fn list(&mut self, now_ms: u64) -> wire::VmList {
        let lag_ms = self.lag_ms;
        self.as_of_ms = self.as_of_ms.max(now_ms.saturating_sub(lag_ms));
        let due_count = self
            .pending
            .partition_point(|pending| pending.published_at_ms.saturating_add(lag_ms) <= now_ms);
        for pending in self.pending.drain(..due_count) {
            store(&mut self.visible, &pending.record);
            self.revision += 1;
        }
        wire::VmList {
            as_of_ms: self.as_of_ms,
            vms: self.visible.clone(),
        }
    }
}

/// Inserts or replaces the record of an incarnation. Returns false, without a change, when this
/// incarnation is gone already.
fn store(records: &mut Vec<wire::VmRecord>, record: &wire::VmRecord) -> bool {
    match records.binary_search_by(|known| compare(known, record)) {
        Ok(position) if records[position].state == wire::VmState::Gone => return false,
        Ok(position) => records[position] = record.clone(),
        Err(position) => records.insert(position, record.clone()),
    }
    true
}

fn compare(left: &wire::VmRecord, right: &wire::VmRecord) -> cmp::Ordering {
    let names = left.name.cmp(&right.name);
    names.then(left.incarnation.cmp(&right.incarnation))
}
