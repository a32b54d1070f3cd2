//! Table that a replay prints: one line for each measure, with its bound and the baselines.

use std::fmt;

use crate::replay::error::ReplayError;
use crate::replay::header::OutcomeBound;
use crate::replay::header::TraceHeader;

/// Value of a measure in the run of a baseline.
#[derive(Clone, Debug)]
pub struct BaselineFigure {
    /// Name of the baseline, as printed.
    pub name: &'static str,
    /// Value in the unit of the measure.
    pub value: f64,
}

/// One measure, with its value in each run of the trace.
#[derive(Clone, Debug)]
pub struct MeasureRow {
    /// Name of the measure, with its unit; the header refers to it by this name.
    pub measure: String,
    /// Value with the product's decisions; the only one that is checked.
    pub ours: f64,
    /// Values of simpler policies on the same trace, for comparison.
    pub baselines: Vec<BaselineFigure>,
}

/// Measures of a trace, each with its bound if the header states one.
#[derive(Clone, Debug)]
pub struct OutcomeTable {
    name: String,
    lines: Vec<TableLine>,
}

#[derive(Clone, Debug)]
struct TableLine {
    row: MeasureRow,
    bound: Option<OutcomeBound>,
}

impl OutcomeTable {
    /// Matches measures to the outcomes that the header states.
    ///
    /// # Errors
    ///
    /// [`ReplayError::UnknownMeasure`] if the header states an outcome for a measure that is not
    /// among `rows`.
    pub fn compare(header: TraceHeader, rows: Vec<MeasureRow>) -> Result<Self, ReplayError> {
        for outcome in &header.outcomes {
            if !rows.iter().any(|row| row.measure == outcome.measure) {
                return Err(ReplayError::UnknownMeasure(outcome.measure.clone()));
            }
        }
        let lines = rows
            .into_iter()
            .map(|row| {
                let outcome = header
                    .outcomes
                    .iter()
                    .find(|outcome| outcome.measure == row.measure);
                TableLine {
                    bound: outcome.map(|outcome| outcome.bound),
                    row,
                }
            })
            .collect();
        Ok(Self {
            name: header.name,
            lines,
        })
    }

    /// Whether every stated outcome is met.
    pub fn all_met(&self) -> bool {
        self.lines.iter().all(TableLine::is_met)
    }
}

impl TableLine {
    fn is_met(&self) -> bool {
        self.bound.is_none_or(|bound| bound.is_met(self.row.ours))
    }

    fn verdict(&self) -> &'static str {
        match (self.bound, self.is_met()) {
            (None, _) => "-",
            (Some(_), true) => "pass",
            (Some(_), false) => "FAIL",
        }
    }
}

impl fmt::Display for OutcomeTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "trace {}", self.name)?;
        for line in &self.lines {
            let bound = line
                .bound
                .map_or_else(|| "-".to_owned(), |bound| bound.to_string());
            write!(
                formatter,
                "  {:<44} wanted {:<12} ours {:<12.3} {:<5}",
                line.row.measure,
                bound,
                line.row.ours,
                line.verdict()
            )?;
            for figure in &line.row.baselines {
                write!(formatter, " {}={:.3}", figure.name, figure.value)?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
