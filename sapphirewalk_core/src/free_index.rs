//! An index of workers by free processor time and memory.
//!
//! Free amounts are rounded down to levels, two for each doubling. A lookup scans the cells of a
//! fixed grid, so its cost does not grow with the number of workers.

use crate::key::ArenaKey;
use crate::key::WorkerKey;
use crate::resource::ResourceVector;

/// Levels of each resource.
const LEVEL_COUNT: usize = 32;
/// Width of the first level of processor time, in thousandths of a core.
const CPU_MILLIS_UNIT: u64 = 125;
/// Width of the first level of memory, in MiB.
const MEMORY_MIB_UNIT: u64 = 128;

/// A cell of the grid: a level of processor time and a level of memory. Ordered by processor time,
/// then memory.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct GridCell {
    cpu_level: u8,
    memory_level: u8,
}

/// An index of the workers that may get tasks, by free processor time and memory.
#[derive(Clone, Debug)]
pub struct FreeIndex {
    cells: Vec<Vec<WorkerKey>>,
    /// For each level of processor time, a bit for each memory level whose cell has workers.
    occupied: [u32; LEVEL_COUNT],
    /// Each worker's position in the grid, by its key; `None` if it is not in the index.
    entries: Vec<Option<IndexEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct IndexEntry {
    cell: GridCell,
    position: u32,
}

impl GridCell {
    /// The cell of a free or requested amount.
    pub fn of(amount: ResourceVector) -> Self {
        Self {
            cpu_level: level(amount.cpu_millis / CPU_MILLIS_UNIT),
            memory_level: level(amount.memory_mib / MEMORY_MIB_UNIT),
        }
    }

    fn offset(self) -> usize {
        usize::from(self.cpu_level) * LEVEL_COUNT + usize::from(self.memory_level)
    }
}

impl FreeIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self {
            cells: vec![Vec::new(); LEVEL_COUNT * LEVEL_COUNT],
            occupied: [0; LEVEL_COUNT],
            entries: Vec::new(),
        }
    }

    /// Inserts `worker` with its `free` amount, or moves it to the cell of the new amount.
    pub fn set(&mut self, worker: WorkerKey, free: ResourceVector) {
        let cell = GridCell::of(free);
        match self.entry(worker) {
            Some(entry) if entry.cell == cell => {}
            Some(_) => {
                self.remove(worker);
                self.insert(worker, cell);
            }
            None => self.insert(worker, cell),
        }
    }

    /// Removes `worker`; does nothing if it is not in the index.
    pub fn remove(&mut self, worker: WorkerKey) {
        let Some(entry) = self.entry(worker) else {
            return;
        };
        self.entries[worker.index()] = None;
        let position = entry.position as usize;
        let list = &mut self.cells[entry.cell.offset()];
        list.swap_remove(position);
        let moved = list.get(position).copied();
        if list.is_empty() {
            self.occupied[usize::from(entry.cell.cpu_level)] &= !(1 << entry.cell.memory_level);
        }
        if let Some(moved) = moved {
            self.entries[moved.index()] = Some(entry);
        }
    }

    /// Fills `cells` with the occupied cells whose workers may have `requested` free, least free
    /// first.
    ///
    /// Amounts are rounded down, so each worker's exact free amount is still to be checked.
    pub fn cells_for(&self, requested: ResourceVector, cells: &mut Vec<GridCell>) {
        cells.clear();
        let least = GridCell::of(requested);
        for cpu_level in least.cpu_level..LEVEL_COUNT as u8 {
            let mut mask = self.occupied[usize::from(cpu_level)] >> least.memory_level;
            while mask != 0 {
                cells.push(GridCell {
                    cpu_level,
                    memory_level: least.memory_level + mask.trailing_zeros() as u8,
                });
                mask &= mask - 1;
            }
        }
    }

    /// The workers of a cell, in no particular order.
    pub fn workers_in(&self, cell: GridCell) -> &[WorkerKey] {
        &self.cells[cell.offset()]
    }

    /// Memory in bytes that the index holds.
    pub fn memory_bytes(&self) -> usize {
        let lists: usize = self
            .cells
            .iter()
            .map(|cell| cell.capacity() * size_of::<WorkerKey>())
            .sum();
        lists
            + self.cells.capacity() * size_of::<Vec<WorkerKey>>()
            + self.entries.capacity() * size_of::<Option<IndexEntry>>()
    }

    fn entry(&self, worker: WorkerKey) -> Option<IndexEntry> {
        self.entries.get(worker.index()).copied().flatten()
    }

    fn insert(&mut self, worker: WorkerKey, cell: GridCell) {
        let list = &mut self.cells[cell.offset()];
        let position = list.len() as u32;
        list.push(worker);
        self.occupied[usize::from(cell.cpu_level)] |= 1 << cell.memory_level;
        if self.entries.len() <= worker.index() {
            self.entries.resize(worker.index() + 1, None);
        }
        self.entries[worker.index()] = Some(IndexEntry { cell, position });
    }
}

impl Default for FreeIndex {
    fn default() -> Self {
        Self::new()
    }
}

/// Zero for nothing, then two levels for each doubling; the last level has no upper end.
fn level(units: u64) -> u8 {
    let Some(log) = units.checked_ilog2() else {
        return 0;
    };
    let half = if log > 0 { (units >> (log - 1)) & 1 } else { 0 };
    let level = 1 + 2 * u64::from(log) + half;
    level.min(LEVEL_COUNT as u64 - 1) as u8
}
