//! By how many seats a holder divides, while a change of their number spreads.
//!
//! A holder uses the least of its shares under every division that it has recorded. It adds the new
//! division at once, and drops the others only when every held seat has had the new one for longer
//! than any request runs. So at each moment there is one division that all holders keep to.

/// A seat that has a holder, and the numbers of seats that the holder divides by, sorted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatDivisions {
    /// The seat's index.
    pub seat: u32,
    /// The divisions.
    pub divisions: Vec<u32>,
}

/// What a holder does about its divisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DivisionStep {
    /// Nothing now.
    Keep,
    /// Keep to these from now on, before they are recorded.
    Add(Vec<u32>),
    /// Every held seat keeps to the new division: record it alone, if all seats have stood
    /// unchanged for longer than any request runs.
    Replace(Vec<u32>),
}

/// Decides for the holder of the seat `own`, who keeps to `kept` and is to divide by `target`.
///
/// What the holder keeps to binds it whatever the record says: a write of its own may be on its
/// way. It is dropped only with a [`DivisionStep::Replace`] that is known to have taken effect.
pub fn decide(own: u32, kept: &[u32], held: &[SeatDivisions], target: u32) -> DivisionStep {
    let Some(recorded) = held.iter().find(|other| other.seat == own) else {
        return DivisionStep::Keep;
    };
    let divisions = union(kept, &recorded.divisions);
    if !recorded.has(target) || divisions != kept {
        return DivisionStep::Add(union(&divisions, &[target]));
    }
    if divisions.len() > 1 && held.iter().all(|other| other.has(target)) {
        DivisionStep::Replace(vec![target])
    } else {
        DivisionStep::Keep
    }
}

/// The divisions that one who takes a seat keeps to: its own, and all that holders use.
pub fn divisions_on_claim(held: &[SeatDivisions], target: u32) -> Vec<u32> {
    held.iter().fold(vec![target], |in_use, other| {
        union(&in_use, &other.divisions)
    })
}

impl SeatDivisions {
    fn has(&self, target: u32) -> bool {
        self.divisions.binary_search(&target).is_ok()
    }
}

fn union(first: &[u32], second: &[u32]) -> Vec<u32> {
    let mut divisions = [first, second].concat();
    divisions.sort_unstable();
    divisions.dedup();
    divisions
}
