//! Decides which seat of a failure domain this process may take, and on what proof.

use std::fmt;

use sapphirewalk_core::seat_division::SeatDivisions;
use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::row::SeatRow;
use sapphirewalk_wire::row::VmIncarnation;

/// A seat as read from the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatRecord {
    /// Index of the seat in its failure domain, from zero.
    pub index: u32,
    /// Version of the row, for conditional writes; `None` if there is no row yet.
    pub version: Option<u64>,
    /// Holder, epoch and divisions; `None` if there is no row yet.
    pub row: Option<SeatRow>,
}

/// Proof that no holder of a seat can send further requests, so that it may be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeatProof {
    /// The seat has no row, so it was never held.
    NeverHeld,
    /// The former holder released it.
    Released,
    /// An earlier process of the same VM held it. That one has ended, since this one has bound the
    /// request port.
    SameVm,
    /// The platform lists the holder's incarnation as gone.
    HolderGone,
    /// The platform lists a newer incarnation of the holder's VM.
    HolderReplaced,
}

/// Next action of a process that holds no seat.
#[derive(Clone, Debug)]
pub enum SeatStep {
    /// Use this seat: its row already names this process.
    Held(SeatRecord),
    /// Take this seat on this proof.
    Take(SeatRecord, SeatProof),
    /// Wait, since every seat has a holder that may be running.
    NoneFree,
}

/// Process that is to get a seat.
#[derive(Clone, Copy, Debug)]
pub struct SeatClaimant<'a> {
    /// VM that the process runs on, with its incarnation.
    pub vm: &'a VmIncarnation,
    /// Unique ID of the process; a restart changes it.
    pub process: &'a str,
    /// Whether the process listens on a fixed port, which only one process of its VM can bind.
    pub has_fixed_port: bool,
}

impl SeatRecord {
    /// Creates the record of a seat without a row.
    pub const fn absent(index: u32) -> Self {
        Self {
            index,
            version: None,
            row: None,
        }
    }

    /// Divisions that the holder complies with; `None` if the seat has no holder.
    pub fn held_division(&self) -> Option<SeatDivisions> {
        let row = self.held_row()?;
        Some(SeatDivisions {
            seat: self.index,
            divisions: row.divisions.clone(),
        })
    }

    /// The row, if the seat has a holder.
    pub fn held_row(&self) -> Option<&SeatRow> {
        self.row.as_ref().filter(|row| row.holder.is_some())
    }
}

impl SeatProof {
    /// Whether requests of a former holder may still run.
    pub const fn may_leave_requests(self) -> bool {
        match self {
            Self::NeverHeld | Self::Released => false,
            Self::SameVm | Self::HolderGone | Self::HolderReplaced => true,
        }
    }

    /// Order of preference, lowest first: seats of the same VM, then those that are usable at once.
    const fn rank(self) -> u32 {
        match self {
            Self::SameVm => 0,
            Self::Released => 1,
            Self::NeverHeld => 2,
            Self::HolderGone | Self::HolderReplaced => 3,
        }
    }
}

impl fmt::Display for SeatProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NeverHeld => "never_held",
            Self::Released => "released",
            Self::SameVm => "same_vm",
            Self::HolderGone => "holder_gone",
            Self::HolderReplaced => "holder_replaced",
        })
    }
}

/// Chooses among the first `count` seats of the claimant's failure domain. `list` is the VM list of
/// the platform.
pub fn decide(
    seats: &[SeatRecord],
    count: u32,
    claimant: SeatClaimant<'_>,
    list: &VmList,
) -> SeatStep {
    let is_own = |seat: &&SeatRecord| {
        seat.held_row()
            .is_some_and(|row| row.process == claimant.process)
    };
    if let Some(held) = seats.iter().find(is_own) {
        return SeatStep::Held(held.clone());
    }
    let candidate = seats
        .iter()
        .filter(|seat| seat.index < count)
        .filter_map(|seat| {
            let proof = find_proof(seat.row.as_ref(), claimant, list)?;
            Some((seat, proof))
        })
        .min_by_key(|(_, proof)| proof.rank());
    match candidate {
        Some((seat, proof)) => SeatStep::Take(seat.clone(), proof),
        None => SeatStep::NoneFree,
    }
}

fn find_proof(
    row: Option<&SeatRow>,
    claimant: SeatClaimant<'_>,
    list: &VmList,
) -> Option<SeatProof> {
    let Some(row) = row else {
        return Some(SeatProof::NeverHeld);
    };
    let Some(holder) = &row.holder else {
        return Some(SeatProof::Released);
    };
    if holder == claimant.vm && claimant.has_fixed_port {
        return Some(SeatProof::SameVm);
    }
    let records = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Entry && vm.name == holder.name);
    for record in records {
        if record.incarnation > holder.incarnation {
            return Some(SeatProof::HolderReplaced);
        }
        if record.incarnation == holder.incarnation && record.state == VmState::Gone {
            return Some(SeatProof::HolderGone);
        }
    }
    None
}
