//! Amounts of a worker's resources: processor time, memory and accelerators.

use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource: a capacity, a demand or a reservation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceVector {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of whole accelerators, for example GPUs.
    #[serde(default)]
    pub accelerators: u64,
}

impl ResourceVector {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Whether no resource of `self` exceeds `free`.
    pub const fn fits(self, free: Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// `self` less `taken` for each resource; zero where `taken` is larger.
    pub const fn saturating_sub(self, taken: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(taken.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(taken.memory_mib),
            accelerators: self.accelerators.saturating_sub(taken.accelerators),
        }
    }

    /// The maximum of each resource by itself.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl ops::Add for ResourceVector {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
