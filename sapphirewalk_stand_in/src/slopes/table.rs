//! The measured points of a series, and the table that is printed of them.

use std::fmt;

use crate::slopes::fit;
use crate::slopes::fit::FitPoint;

/// A named value that was measured at one size.
#[derive(Clone, Copy, Debug)]
pub struct SizeFigure {
    /// Name of the figure, with its unit.
    pub name: &'static str,
    /// Measured value in that unit.
    pub value: f64,
}

/// All figures at one size.
#[derive(Clone, Debug)]
pub struct SizePoint {
    /// Number of units of [`SlopeSeries::size_name`].
    pub size: f64,
    /// Figures at that size, with the same names in the same order at each size.
    pub figures: Vec<SizeFigure>,
}

/// Measurements at increasing sizes of one kind of load.
#[derive(Clone, Debug)]
pub struct SlopeSeries {
    /// Name of the series, which the command line selects it by.
    pub name: &'static str,
    /// Unit of the sizes, such as endpoints.
    pub size_name: &'static str,
    /// One point for each size, in ascending order.
    pub points: Vec<SizePoint>,
}

impl fmt::Display for SlopeSeries {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "series {} by {}", self.name, self.size_name)?;
        let Some(first) = self.points.first() else {
            return Ok(());
        };
        for (index, figure) in first.figures.iter().enumerate() {
            let points: Vec<FitPoint> = self
                .points
                .iter()
                .map(|point| FitPoint {
                    size: point.size,
                    value: point.figures[index].value,
                })
                .collect();
            let line = fit::fit(&points);
            write!(formatter, "  {:<34}", figure.name)?;
            for point in &points {
                write!(formatter, " {:>6}:{:<10.3}", point.size, point.value)?;
            }
            writeln!(formatter, " base {:.3} slope {:.5}", line.base, line.slope)?;
        }
        Ok(())
    }
}
