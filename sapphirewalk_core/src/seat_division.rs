//! Transition of seat holders to a new number of seats.
//!
//! A seat is one of the parts, equal up to one unit, into which a failure domain divides the
//! capacity of each endpoint; an entry VM holds it, see
//! [`SeatGrant`](crate::slot_share::SeatGrant).
//!
//! A division is the number of seats that an endpoint's capacity is divided by. During a change, a
//! holder uses the smallest of its shares under all divisions that it has recorded. It adds the new
//! division at once. It drops the others only after every held seat has had the new one for longer
//! than any request runs. So at any time there is one division that all holders comply with.

/// A seat that has a holder, with the divisions that the holder has recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatDivisions {
    /// Index of the seat in its failure domain, from zero.
    pub seat: u32,
    /// Numbers of seats that the holder divides by, sorted; more than one during a change.
    pub divisions: Vec<u32>,
}

/// Next action of a holder on its divisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DivisionStep {
    /// Leave the divisions as they are.
    Keep,
    /// Comply with all of these from now on, then record them.
    Add(Vec<u32>),
    /// Every held seat has the new division. Record it alone, provided that no seat has changed for
    /// longer than any request runs.
    Replace(Vec<u32>),
}

/// Decides the next action of the holder of the seat `own`, which is to divide by `target`.
///
/// `applied` are the divisions that the holder complies with, and `held` are the recorded ones. The
/// applied ones bind the holder even if the record lacks them, since an earlier write may still
/// take effect. One is dropped only after a [`DivisionStep::Replace`] was confirmed as written.
pub fn decide(own: u32, applied: &[u32], held: &[SeatDivisions], target: u32) -> DivisionStep {
    let Some(recorded) = held.iter().find(|other| other.seat == own) else {
        return DivisionStep::Keep;
    };
    let divisions = merge_divisions(applied, &recorded.divisions);
    if !recorded.includes(target) || divisions != applied {
        return DivisionStep::Add(merge_divisions(&divisions, &[target]));
    }
    if divisions.len() > 1 && held.iter().all(|other| other.includes(target)) {
        DivisionStep::Replace(vec![target])
    } else {
        DivisionStep::Keep
    }
}

/// Divisions that a new holder of a seat starts with: its target and those of all current holders.
pub fn divisions_on_claim(held: &[SeatDivisions], target: u32) -> Vec<u32> {
    held.iter().fold(vec![target], |merged, other| {
        merge_divisions(&merged, &other.divisions)
    })
}

impl SeatDivisions {
    fn includes(&self, target: u32) -> bool {
        self.divisions.binary_search(&target).is_ok()
    }
}

fn merge_divisions(first: &[u32], second: &[u32]) -> Vec<u32> {
    let mut divisions = [first, second].concat();
    divisions.sort_unstable();
    divisions.dedup();
    divisions
}
