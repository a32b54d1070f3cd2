//! A straight line through measured points, by least squares.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedLine {
    /// The figure at size zero.
    pub base: f64,
    /// What each unit of size adds.
    pub slope: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitPoint {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// Fits a line; a flat one through the mean when the sizes don't differ.
pub fn fit(points: &[FitPoint]) -> FittedLine {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let square_sum: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let product_sum: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let slope = if square_sum > 0.0 {
        product_sum / square_sum
    } else {
        0.0
    };
    FittedLine {
        base: mean_value - slope * mean_size,
        slope,
    }
}
